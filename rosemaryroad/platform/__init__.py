"""Adapters to the platform.

``JobPlatformAdapter`` speaks to the users' platform and serves the daemon
for jobs. The table service and VM list over HTTP are those that the product
assumed before; ``rosemaryroadd`` uses them.
"""

from rosemaryroad.platform._adapter import JobPlatformAdapter
from rosemaryroad.platform._http import Timeouts
from rosemaryroad.platform._minions import MinionClient
from rosemaryroad.platform._records import VmKind
from rosemaryroad.platform._records import VmRecord
from rosemaryroad.platform._records import VmState
from rosemaryroad.platform._store import Changes
from rosemaryroad.platform._store import HistoryLost
from rosemaryroad.platform._store import StoreTables
from rosemaryroad.platform._store import WatchedTables
from rosemaryroad.platform._table import Committed
from rosemaryroad.platform._table import Conflict
from rosemaryroad.platform._table import HttpTableService
from rosemaryroad.platform._table import Put
from rosemaryroad.platform._table import Row
from rosemaryroad.platform._table import RowVersion
from rosemaryroad.platform._table import TableService
from rosemaryroad.platform._table import Transaction
from rosemaryroad.platform._vms import HttpVmList
from rosemaryroad.platform._vms import VmList

__all__ = [
    'Changes',
    'Committed',
    'Conflict',
    'HistoryLost',
    'HttpTableService',
    'HttpVmList',
    'JobPlatformAdapter',
    'MinionClient',
    'Put',
    'Row',
    'RowVersion',
    'StoreTables',
    'TableService',
    'Timeouts',
    'Transaction',
    'VmKind',
    'VmList',
    'VmRecord',
    'VmState',
    'WatchedTables',
]
