"""Plain functions for all that the tool does; others may import them."""

from rosemaryroad.model import DryRun
from rosemaryroad.model import ServiceSummary
from rosemaryroad.porcelain._connection import Connection
from rosemaryroad.porcelain._operations import BurnReport
from rosemaryroad.porcelain._operations import drain
from rosemaryroad.porcelain._operations import drained_domains
from rosemaryroad.porcelain._operations import EntryStatus
from rosemaryroad.porcelain._operations import NotReached
from rosemaryroad.porcelain._operations import report_burn
from rosemaryroad.porcelain._operations import scheduling
from rosemaryroad.porcelain._operations import SchedulingReport
from rosemaryroad.porcelain._operations import status
from rosemaryroad.porcelain._operations import StatusReport
from rosemaryroad.porcelain._services import change
from rosemaryroad.porcelain._services import CURRENT
from rosemaryroad.porcelain._services import service_delete
from rosemaryroad.porcelain._services import service_get
from rosemaryroad.porcelain._services import service_history
from rosemaryroad.porcelain._services import service_list
from rosemaryroad.porcelain._services import service_put
from rosemaryroad.porcelain._services import service_validate
from rosemaryroad.porcelain._submissions import cancel
from rosemaryroad.porcelain._submissions import submit
from rosemaryroad.porcelain._submissions import wait

__all__ = [
    'CURRENT',
    'BurnReport',
    'Connection',
    'DryRun',
    'EntryStatus',
    'NotReached',
    'SchedulingReport',
    'ServiceSummary',
    'StatusReport',
    'cancel',
    'change',
    'drain',
    'drained_domains',
    'report_burn',
    'scheduling',
    'service_delete',
    'service_get',
    'service_history',
    'service_list',
    'service_put',
    'service_validate',
    'status',
    'submit',
    'wait',
]
