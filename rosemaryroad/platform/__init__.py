"""Adapters to the platform.

``JobPlatformAdapter`` speaks to the users' platform and serves the daemon
for jobs. The table service and VM list over HTTP are those that the product
assumed before; ``rosemaryroadd`` uses them.

The modules are imported when one of their names is first used.
"""

from rosemaryroad import _lazy

_NAMES_BY_MODULE = {
    '_adapter': ('JobPlatformAdapter',),
    '_http': ('Timeouts',),
    '_minions': ('MinionClient',),
    '_records': (
        'VmKind',
        'VmRecord',
        'VmState',
    ),
    '_row_reader': ('RowReader',),
    '_store': (
        'Changes',
        'HistoryLost',
        'StoreTables',
        'WatchedTables',
    ),
    '_table': (
        'Committed',
        'Conflict',
        'HttpTableService',
        'Put',
        'Row',
        'RowVersion',
        'TableService',
        'Transaction',
    ),
    '_vms': (
        'HttpVmList',
        'VmList',
    ),
}

__getattr__ = _lazy.importer(__name__, _NAMES_BY_MODULE)
__all__ = _lazy.names(_NAMES_BY_MODULE)
