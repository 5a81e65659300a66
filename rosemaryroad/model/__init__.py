"""The data that travels between the parts of rosemaryroad."""

from rosemaryroad.model._administration import DryRun
from rosemaryroad.model._administration import ServiceSummary
from rosemaryroad.model._documents import Document
from rosemaryroad.model._documents import EndpointSource
from rosemaryroad.model._documents import EndpointsPolicy
from rosemaryroad.model._documents import Objective
from rosemaryroad.model._documents import Quota
from rosemaryroad.model._documents import StoredDocument
from rosemaryroad.model._documents import tombstone
from rosemaryroad.model._endpoints import Address
from rosemaryroad.model._endpoints import Endpoint
from rosemaryroad.model._events import Action
from rosemaryroad.model._events import AttemptEnded
from rosemaryroad.model._events import CancelAttempt
from rosemaryroad.model._events import CancelRequested
from rosemaryroad.model._events import DemandReported
from rosemaryroad.model._events import DocumentApplied
from rosemaryroad.model._events import DocumentDeleted
from rosemaryroad.model._events import DrainStarted
from rosemaryroad.model._events import EndpointLeaving
from rosemaryroad.model._events import EndpointsListed
from rosemaryroad.model._events import Event
from rosemaryroad.model._events import ForgetService
from rosemaryroad.model._events import HeartbeatSent
from rosemaryroad.model._events import QuarantineReported
from rosemaryroad.model._events import Refuse
from rosemaryroad.model._events import Replay
from rosemaryroad.model._events import SessionEnded
from rosemaryroad.model._events import Settle
from rosemaryroad.model._events import StartAttempt
from rosemaryroad.model._events import SubmissionArrived
from rosemaryroad.model._events import TeamDemandReported
from rosemaryroad.model._events import Tick
from rosemaryroad.model._identity import Incarnation
from rosemaryroad.model._identity import is_name
from rosemaryroad.model._identity import SessionId
from rosemaryroad.model._identity import SubmissionKey
from rosemaryroad.model._job_messages import Claim
from rosemaryroad.model._job_messages import DirectoryShared
from rosemaryroad.model._job_messages import DomainDrains
from rosemaryroad.model._job_messages import EntryVm
from rosemaryroad.model._job_messages import JobMessage
from rosemaryroad.model._job_messages import JobProgress
from rosemaryroad.model._job_messages import JobReleased
from rosemaryroad.model._job_messages import JobSettled
from rosemaryroad.model._job_messages import JobSubmitted
from rosemaryroad.model._job_messages import JobWithdrawn
from rosemaryroad.model._job_messages import Placement
from rosemaryroad.model._job_messages import PlacementsRecorded
from rosemaryroad.model._job_messages import Pulse
from rosemaryroad.model._job_messages import Pulses
from rosemaryroad.model._job_messages import QueuesShared
from rosemaryroad.model._jobs import EndedTask
from rosemaryroad.model._jobs import is_earlier_life
from rosemaryroad.model._jobs import Job
from rosemaryroad.model._jobs import JobEnd
from rosemaryroad.model._jobs import JobTerms
from rosemaryroad.model._jobs import OrderReply
from rosemaryroad.model._jobs import OrderResult
from rosemaryroad.model._jobs import QueueRoute
from rosemaryroad.model._jobs import QueueTable
from rosemaryroad.model._jobs import RunningTask
from rosemaryroad.model._jobs import TaskEnd
from rosemaryroad.model._jobs import TaskId
from rosemaryroad.model._jobs import Worker
from rosemaryroad.model._jobs import WorkerReport
from rosemaryroad.model._messages import CancelForward
from rosemaryroad.model._messages import Forward
from rosemaryroad.model._messages import ForwardAnswer
from rosemaryroad.model._messages import Heartbeat
from rosemaryroad.model._messages import Hello
from rosemaryroad.model._messages import PeerMessage
from rosemaryroad.model._messages import ServiceDemand
from rosemaryroad.model._messages import team_key
from rosemaryroad.model._messages import TeamDemand
from rosemaryroad.model._outcomes import Answer
from rosemaryroad.model._outcomes import Answered
from rosemaryroad.model._outcomes import Failed
from rosemaryroad.model._outcomes import Failure
from rosemaryroad.model._outcomes import NotRun
from rosemaryroad.model._outcomes import NotRunCause
from rosemaryroad.model._outcomes import Outcome
from rosemaryroad.model._outcomes import Unknown
from rosemaryroad.model._work import DEFAULT_RUN_MS
from rosemaryroad.model._work import JOB_RECORD_BYTES
from rosemaryroad.model._work import Kind
from rosemaryroad.model._work import Needs
from rosemaryroad.model._work import Submission
from rosemaryroad.model._work import Task
from rosemaryroad.model._work import TASK_RECORD_BYTES

__all__ = [
    'Action',
    'Address',
    'Answer',
    'Answered',
    'AttemptEnded',
    'CancelAttempt',
    'CancelForward',
    'CancelRequested',
    'Claim',
    'DEFAULT_RUN_MS',
    'DemandReported',
    'Document',
    'DirectoryShared',
    'DocumentApplied',
    'DocumentDeleted',
    'DomainDrains',
    'DrainStarted',
    'DryRun',
    'EndedTask',
    'Endpoint',
    'EndpointLeaving',
    'EndpointSource',
    'EndpointsListed',
    'EndpointsPolicy',
    'EntryVm',
    'Event',
    'Failed',
    'Failure',
    'ForgetService',
    'Forward',
    'ForwardAnswer',
    'Heartbeat',
    'HeartbeatSent',
    'Hello',
    'Incarnation',
    'JOB_RECORD_BYTES',
    'Job',
    'JobEnd',
    'JobMessage',
    'JobProgress',
    'JobReleased',
    'JobSettled',
    'JobSubmitted',
    'JobTerms',
    'JobWithdrawn',
    'Kind',
    'Needs',
    'NotRun',
    'NotRunCause',
    'Objective',
    'OrderReply',
    'OrderResult',
    'Outcome',
    'PeerMessage',
    'Placement',
    'PlacementsRecorded',
    'Pulse',
    'Pulses',
    'QuarantineReported',
    'QueueRoute',
    'QueueTable',
    'QueuesShared',
    'Quota',
    'Refuse',
    'Replay',
    'RunningTask',
    'ServiceDemand',
    'ServiceSummary',
    'SessionEnded',
    'SessionId',
    'Settle',
    'StartAttempt',
    'StoredDocument',
    'Submission',
    'SubmissionArrived',
    'SubmissionKey',
    'TASK_RECORD_BYTES',
    'Task',
    'TaskEnd',
    'TaskId',
    'TeamDemand',
    'TeamDemandReported',
    'Tick',
    'Unknown',
    'Worker',
    'WorkerReport',
    'is_earlier_life',
    'is_name',
    'team_key',
    'tombstone',
]
