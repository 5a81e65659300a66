"""Adapters to the endpoints on which tasks run.

The modules are imported when one of their names is first used.
"""

from rosemaryroad import _lazy

_NAMES_BY_MODULE = {
    '_client': ('EndpointClient',),
    '_headers': ('Header',),
    '_http': ('HttpEndpointClient',),
    '_workers': (
        'WorkerClient',
        'WorkerDown',
        'WorkerFenced',
        'WorkerReplaced',
        'WorkerUnreachable',
    ),
}

__getattr__ = _lazy.importer(__name__, _NAMES_BY_MODULE)
__all__ = _lazy.names(_NAMES_BY_MODULE)
