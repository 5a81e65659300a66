"""What callers may ask of this entry VM, whatever they speak."""

import collections.abc
import logging

from rosemaryroad import clock as clock_module
from rosemaryroad import dispatching
from rosemaryroad import jobservice
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad.jobserver import _home
from rosemaryroad.jobserver import _metrics
from rosemaryroad.jobserver import _queues

_LOG = logging.getLogger(__name__)

# A daemon that has just started reads the queues within some 100 ms; the
# jobs that come meanwhile needn't be sent away.
_FIRST_QUEUES_MS = 400.0
_FIRST_QUEUES_POLL_MS = 10.0

# A balancer that has too few other VMs goes on giving connections to one that
# leaves. The longest jobs are refused so long before its end; short ones still
# have time.
_LAST_JOBS_MS = 1_200.0


class JobFront(jobservice.JobService):
    """Takes jobs in and tells of them.

    Attributes:
        ends_at: When the daemon has to end, or None while it needn't.

    Args:
        queues: The queues in force.
        home: The jobs held here.
        drains: The drained failure domains.
        metrics: Where answers are counted.
        clock: The clock.
        view: Returns what this VM does with the room of its cells.
    """

    def __init__(
        self,
        queues: _queues.QueueBook,
        home: _home.JobHome,
        drains: dispatching.DrainBook,
        metrics: _metrics.JobMetrics,
        clock: clock_module.Clock,
        view: collections.abc.Callable[[], dispatching.SchedulingView],
    ) -> None:
        self._queues = queues
        self._home = home
        self._drains = drains
        self._metrics = metrics
        self._clock = clock
        self._view = view
        self.ends_at: float | None = None

    def has_time_for(self, job: model.Job) -> bool:
        """Tells whether a job may end here before the daemon has to."""
        if self.ends_at is None or self._home.knows(job):
            # Of one that is here already, "not run" may be false.
            return True
        objective_ms = job.terms.objective_ms(job.estimate_ms)
        needed_ms = min(objective_ms, _LAST_JOBS_MS)
        return self._clock.now() + needed_ms < self.ends_at

    @property
    def has_queues(self) -> bool:
        """Whether any version of the queues is in force."""
        return bool(self._queues.version)

    async def wait_for_queues(self) -> bool:
        """Waits a moment for the first version of the queues."""
        until = self._clock.now() + _FIRST_QUEUES_MS
        while not self.has_queues and self._clock.now() < until:
            await self._clock.sleep(_FIRST_QUEUES_POLL_MS)
        return self.has_queues

    def find_queue(self, host: str, path: str) -> jobservice.QueueMatch | None:
        """Returns the queue that a call is for, if there is one."""
        return self._queues.find(host, path)

    async def submit(
        self, job: model.Job, left_ms: float
    ) -> jobservice.JobAnswer:
        """Has a job done and returns how it ended.

        Args:
            job: The job.
            left_ms: How long the client waits.
        """
        began = self._clock.now()
        logs.event(
            _LOG,
            logging.INFO,
            'job_received',
            request_id=job.id,
            queue=job.queue,
            tasks=job.tasks,
            cores=job.needs.cores,
            estimate_ms=job.estimate_ms,
            left_ms=left_ms,
            slack=job.terms.slack_factor,
            target_ms=job.terms.target_ms,
            queues_version=self._queues.version,
        )
        answer = await self._home.submit(job, left_ms)
        took = self._clock.now() - began
        self._metrics.answered(answer.end, took)
        logs.event(
            _LOG,
            logging.INFO,
            'job_answered',
            request_id=job.id,
            end=answer.end.value,
            cause=answer.cause,
            took_ms=took,
        )
        return answer

    def refused(self, request_id: str, cause: str) -> None:
        """Notes a refusal of what can't be served at all."""
        self._metrics.answered(model.JobEnd.NOT_RUN, 0.0)
        logs.event(
            _LOG,
            logging.INFO,
            'job_refused',
            request_id=request_id,
            cause=cause,
            queues_version=self._queues.version,
        )

    def state_of(self, job_id: str) -> bool | None:
        """Tells whether a job has started; None for one that isn't here."""
        return self._home.state_of(job_id)

    async def cancel(self, job_id: str, queue: str) -> jobservice.CancelEnd:
        """Ends a job, wherever it is; see the base class."""
        return await self._home.cancel(job_id, queue)

    def drained_domains(self) -> tuple[jobservice.DrainedDomain, ...]:
        """Returns the failure domains that are drained."""
        ages_ms = self._drains.ages_ms(self._clock.now())
        return tuple(
            jobservice.DrainedDomain(*item) for item in sorted(ages_ms.items())
        )

    def scheduling(self) -> dispatching.SchedulingView:
        """Returns what this VM does with the room that it dispatches."""
        return self._view()

    def pending(self, queue: str) -> int:
        """Returns how many jobs of a queue have not started here."""
        return self._home.pending(queue)
