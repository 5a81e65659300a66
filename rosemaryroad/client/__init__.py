"""The asyncio client library for callers."""

from rosemaryroad.client._client import Client
from rosemaryroad.client._replies import error_from
from rosemaryroad.client._results import Handle
from rosemaryroad.client._results import Progress
from rosemaryroad.client._results import Running
from rosemaryroad.client._results import Whole
from rosemaryroad.client._retries import Patience
from rosemaryroad.client._retries import RetryPolicy
from rosemaryroad.client._transport import HttpReply
from rosemaryroad.client._transport import Transport
from rosemaryroad.client._transport import Unanswered

__all__ = [
    'Client',
    'Handle',
    'HttpReply',
    'Patience',
    'Progress',
    'RetryPolicy',
    'Running',
    'Transport',
    'Unanswered',
    'Whole',
    'error_from',
]
