"""Plays a whole service under a load and faults, to judge its decisions.

Entry VMs run the daemon's own code: homes, dispatchers, who dispatches, the
following of the store. Links, calls to workers, workers, the store and clients
are emulated on a clock of their own. Two ways of deciding meet the same jobs
and the same faults, seed by seed.

What isn't emulated: processors and links that are full, VMs that are stopped
or slow, and lost answers of the store.
"""

from rosemaryroad.emulation._clients import Answer
from rosemaryroad.emulation._compare import differ
from rosemaryroad.emulation._compare import Difference
from rosemaryroad.emulation._compare import Play
from rosemaryroad.emulation._compare import play_all
from rosemaryroad.emulation._measures import measure
from rosemaryroad.emulation._measures import Measures
from rosemaryroad.emulation._measures import Weights
from rosemaryroad.emulation._service import EmulatedService
from rosemaryroad.emulation._service import play
from rosemaryroad.emulation._settings import Event
from rosemaryroad.emulation._settings import Experiment
from rosemaryroad.emulation._settings import JobKind
from rosemaryroad.emulation._settings import load
from rosemaryroad.emulation._settings import Spread
from rosemaryroad.emulation._settings import VmGroup
from rosemaryroad.emulation._settings import WorkerGroup

__all__ = [
    'Answer',
    'Difference',
    'EmulatedService',
    'Event',
    'Experiment',
    'JobKind',
    'Measures',
    'Play',
    'Spread',
    'VmGroup',
    'Weights',
    'WorkerGroup',
    'differ',
    'load',
    'measure',
    'play',
    'play_all',
]
