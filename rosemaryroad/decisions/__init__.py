"""Pure decisions: events and the time go in, typed actions come out."""

from rosemaryroad.decisions._arrival import DRAINING_RETRY_MS
from rosemaryroad.decisions._arrival import kept_answer
from rosemaryroad.decisions._burn import BurnBook
from rosemaryroad.decisions._burn import merge as merge_burn
from rosemaryroad.decisions._burn_counts import BURN_WINDOWS
from rosemaryroad.decisions._burn_counts import BurnSnapshot
from rosemaryroad.decisions._burn_counts import BurnWindow
from rosemaryroad.decisions._burn_counts import CodeCount
from rosemaryroad.decisions._burn_counts import ServiceBurn
from rosemaryroad.decisions._burn_counts import WindowBurn
from rosemaryroad.decisions._dispatcher import Dispatcher
from rosemaryroad.decisions._dispatcher import ServiceView
from rosemaryroad.decisions._endpoint_state import EndpointPhase
from rosemaryroad.decisions._endpoint_state import EndpointView
from rosemaryroad.decisions._heartbeats import HANDOVER_MAX_MS
from rosemaryroad.decisions._heartbeats import HeartbeatComposer
from rosemaryroad.decisions._heartbeats import HeartbeatSource
from rosemaryroad.decisions._heartbeats import MAX_QUIET_MS
from rosemaryroad.decisions._job import Job
from rosemaryroad.decisions._membership import EntryVm
from rosemaryroad.decisions._membership import Gone
from rosemaryroad.decisions._membership import Local
from rosemaryroad.decisions._membership import Membership
from rosemaryroad.decisions._membership import MembershipLimits
from rosemaryroad.decisions._membership import Remote
from rosemaryroad.decisions._membership import Route
from rosemaryroad.decisions._membership import Unreachable
from rosemaryroad.decisions._memory import MemoryLimits
from rosemaryroad.decisions._pool import EndpointPool
from rosemaryroad.decisions._queue import JobQueue
from rosemaryroad.decisions._quota_shares import Share
from rosemaryroad.decisions._quota_shares import TeamView
from rosemaryroad.decisions._retries import after_attempt
from rosemaryroad.decisions._retries import backoff_ms
from rosemaryroad.decisions._retries import MOST_TRIES
from rosemaryroad.decisions._retries import RetryBudget
from rosemaryroad.decisions._retries import Verdict
from rosemaryroad.decisions._service import Policy
from rosemaryroad.decisions._sessions import SessionLimits
from rosemaryroad.decisions._versions import Handover
from rosemaryroad.decisions._versions import Versions
from rosemaryroad.decisions._window import Window

__all__ = [
    'BURN_WINDOWS',
    'DRAINING_RETRY_MS',
    'HANDOVER_MAX_MS',
    'MOST_TRIES',
    'BurnBook',
    'BurnSnapshot',
    'BurnWindow',
    'CodeCount',
    'Dispatcher',
    'EndpointPhase',
    'EndpointPool',
    'EndpointView',
    'EntryVm',
    'Gone',
    'Handover',
    'HeartbeatComposer',
    'HeartbeatSource',
    'MAX_QUIET_MS',
    'Job',
    'JobQueue',
    'Local',
    'Membership',
    'MembershipLimits',
    'MemoryLimits',
    'Policy',
    'Remote',
    'RetryBudget',
    'Route',
    'ServiceBurn',
    'ServiceView',
    'SessionLimits',
    'Share',
    'TeamView',
    'Unreachable',
    'Verdict',
    'Versions',
    'Window',
    'WindowBurn',
    'after_attempt',
    'backoff_ms',
    'kept_answer',
    'merge_burn',
]
