"""Which waiting tasks are started now, and where."""

import contextlib

from rosemaryroad import model
from rosemaryroad.decisions import _home_state
from rosemaryroad.decisions import _job
from rosemaryroad.decisions import _service


class Starter:
    """Fills the windows of the services with waiting tasks."""

    def __init__(self, state: _home_state.HomeState) -> None:
        self._state = state

    def fill_all(self, now: float) -> None:
        """Starts what can be started in any service."""
        for service in self._state.services_by_name.values():
            self.fill(service, now)

    def fill(self, service: _service.ServiceState, now: float) -> None:
        """Starts what can be started in one service."""
        if not service.queue.waiting:
            return
        window = service.window_size()
        if service.pool.outstanding >= window:
            return

        def may_start(needs: model.Needs) -> bool:
            return service.pool.may_start(needs, window)

        # Those on hold come back first, or the others would take the whole
        # window each time; a job that needs less than the room there is
        # leaves some for the next one.
        released = service.queue.release(may_start)
        self._search(service, window, now)
        while released and service.pool.outstanding < window:
            released = service.queue.release(may_start)
            self._search(service, window, now)

    def _search(
        self, service: _service.ServiceState, window: int, now: float
    ) -> None:
        with contextlib.closing(service.queue.candidates()) as candidates:
            for job in candidates:
                self._start_some(service, job, window, now)
                if service.pool.outstanding >= window:
                    return

    def _start_some(
        self,
        service: _service.ServiceState,
        job: _job.Job,
        window: int,
        now: float,
    ) -> None:
        while (
            job.waiting
            and service.pool.outstanding < window
            and service.queue.may_start(job.team)
        ):
            index = job.waiting[0]
            needs = job.submission.tasks[index].needs
            if not service.pool.may_start(needs, window):
                service.queue.hold(job, needs)
                return
            endpoint = _choose(service, job, index, now)
            if endpoint is None:
                return
            service.queue.take(job)
            self._start(service, job, index, endpoint, now)

    def _start(
        self,
        service: _service.ServiceState,
        job: _job.Job,
        index: int,
        endpoint: model.Endpoint,
        now: float,
    ) -> None:
        state = self._state
        state.last_attempt += 1
        number = state.last_attempt
        name = job.submission.service
        state.attempts_by_number[number] = _home_state.Attempt(
            job, index, endpoint, name
        )
        job.running[number] = index
        service.pool.started(endpoint.id, number, now)
        state.actions.append(
            model.StartAttempt(
                attempt=number,
                service=name,
                endpoint=endpoint,
                key=job.key,
                index=index,
                task=job.submission.tasks[index],
                deadline_ms=job.deadline - now,
                idempotent=job.submission.idempotent,
            )
        )


def _choose(
    service: _service.ServiceState, job: _job.Job, index: int, now: float
) -> model.Endpoint | None:
    needs = job.submission.tasks[index].needs
    refused_by = job.refused_by.get(index, frozenset())
    endpoint = service.pool.choose(needs, now, refused_by)
    if endpoint is None and refused_by:
        # All others are full: those that refused are better than none.
        endpoint = service.pool.choose(needs, now)
    return endpoint
