"""Decisions about jobs: their order, their workers, and who dispatches."""

from rosemaryroad.dispatching._actions import Action
from rosemaryroad.dispatching._actions import LookAt
from rosemaryroad.dispatching._actions import Noted
from rosemaryroad.dispatching._actions import RaiseFence
from rosemaryroad.dispatching._actions import ReadEntry
from rosemaryroad.dispatching._actions import StartTask
from rosemaryroad.dispatching._actions import StopTask
from rosemaryroad.dispatching._actions import TellHome
from rosemaryroad.dispatching._cells import Cells
from rosemaryroad.dispatching._cells import cells_for
from rosemaryroad.dispatching._cells import FirstDivision
from rosemaryroad.dispatching._cells import share_by_room
from rosemaryroad.dispatching._context import DispatchLimits
from rosemaryroad.dispatching._dispatcher import JobDispatcher
from rosemaryroad.dispatching._drains import DrainBook
from rosemaryroad.dispatching._drains import DrainChange
from rosemaryroad.dispatching._ended_jobs import EndedJob
from rosemaryroad.dispatching._ended_jobs import EndedJobs
from rosemaryroad.dispatching._ended_jobs import KEEP_ENDED_MS
from rosemaryroad.dispatching._home_messages import take_message
from rosemaryroad.dispatching._leadership import CLAIM_TIMEOUT_MS
from rosemaryroad.dispatching._leadership import Leadership
from rosemaryroad.dispatching._leadership import TICK_MS
from rosemaryroad.dispatching._load import DispatcherLoad
from rosemaryroad.dispatching._load import WorkerCondition
from rosemaryroad.dispatching._roles import LeaseRow
from rosemaryroad.dispatching._roles import Role
from rosemaryroad.dispatching._scheduling import AdmissionPolicy
from rosemaryroad.dispatching._scheduling import CellPolicy
from rosemaryroad.dispatching._scheduling import PacePolicy
from rosemaryroad.dispatching._scheduling import PlacementPolicy
from rosemaryroad.dispatching._scheduling import PlacementRule
from rosemaryroad.dispatching._scheduling import PriorityOrder
from rosemaryroad.dispatching._scheduling import PriorityPolicy
from rosemaryroad.dispatching._scheduling import SchedulingPolicy
from rosemaryroad.dispatching._scheduling import SharingKey
from rosemaryroad.dispatching._scheduling import SharingPolicy
from rosemaryroad.dispatching._sharing import KeyShare
from rosemaryroad.dispatching._view import DecisionCounts
from rosemaryroad.dispatching._view import QueueView
from rosemaryroad.dispatching._view import RefusalCause
from rosemaryroad.dispatching._view import SchedulingView
from rosemaryroad.dispatching._view import ShareView

__all__ = [
    'Action',
    'AdmissionPolicy',
    'CLAIM_TIMEOUT_MS',
    'CellPolicy',
    'Cells',
    'DecisionCounts',
    'DispatchLimits',
    'DispatcherLoad',
    'DrainBook',
    'DrainChange',
    'EndedJob',
    'EndedJobs',
    'FirstDivision',
    'JobDispatcher',
    'KEEP_ENDED_MS',
    'KeyShare',
    'Leadership',
    'LeaseRow',
    'LookAt',
    'Noted',
    'PacePolicy',
    'PlacementPolicy',
    'PlacementRule',
    'PriorityOrder',
    'PriorityPolicy',
    'QueueView',
    'RaiseFence',
    'ReadEntry',
    'RefusalCause',
    'Role',
    'SchedulingPolicy',
    'SchedulingView',
    'ShareView',
    'SharingKey',
    'SharingPolicy',
    'StartTask',
    'StopTask',
    'TICK_MS',
    'TellHome',
    'WorkerCondition',
    'cells_for',
    'share_by_room',
    'take_message',
]
