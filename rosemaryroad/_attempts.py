"""Makes attempts at endpoints and counts how they ended."""

import functools
import logging

import attrs

from rosemaryroad import clock as clock_module
from rosemaryroad import endpoints
from rosemaryroad import logs
from rosemaryroad import metrics as metrics_module
from rosemaryroad import model

_LOG = logging.getLogger(__name__)


class Attempts:
    """Makes attempts; each one ends with an outcome, whatever happens.

    Args:
        endpoint_client: Starts and cancels tasks.
        clock: The time.
        metrics: Where the outcomes are counted.
    """

    def __init__(
        self,
        endpoint_client: endpoints.EndpointClient,
        clock: clock_module.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._endpoint_client = endpoint_client
        self._clock = clock
        self._metrics = metrics

    async def make(
        self, start: model.StartAttempt, request_id: str, decided: float
    ) -> model.Outcome:
        """Makes one attempt.

        Args:
            start: What was decided.
            request_id: The id of the caller's request.
            decided: The clock's time of the decision, in milliseconds.
        """
        # A pause between the decision and this line would send a remaining
        # time that is longer than what is left; the endpoint would run a
        # task that nobody waits for.
        left = start.deadline_ms - (self._clock.now() - decided)
        if left <= 0:
            outcome: model.Outcome = model.NotRun(model.NotRunCause.NOT_SENT)
        else:
            start = attrs.evolve(start, deadline_ms=left)
            outcome = await self._start(start, request_id)
        self._metrics.attempt_ended(start.service, _end_of(outcome))
        return outcome

    async def cancel(self, cancel: model.CancelAttempt) -> None:
        """Asks the endpoint to stop an attempt."""
        try:
            await self._endpoint_client.cancel(cancel)
        except Exception:
            # Nobody waits for a cancellation. The error would be told by
            # the event loop alone, without an event name to search for.
            logs.fault(_LOG, 'cancel_fault')

    async def forget(self, addresses: tuple[str, ...]) -> None:
        """Closes connections to endpoints that are no longer needed."""
        await self._endpoint_client.forget(addresses)

    async def _start(
        self, start: model.StartAttempt, request_id: str
    ) -> model.Outcome:
        with logs.request_scope(request_id):
            try:
                return await self._endpoint_client.start(start, request_id)
            except Exception:
                # An attempt that never ended would hold a slot of the
                # window for good, and its caller would hear nothing before
                # the deadline; after some of them nothing would start.
                logs.fault(_LOG, 'attempt_fault')
                return model.Unknown('internal error')


@functools.singledispatch
def _end_of(outcome: model.Outcome) -> metrics_module.AttemptEnd:
    raise TypeError(f'not an outcome: {outcome!r}')


@_end_of.register
def _(_: model.NotRun) -> metrics_module.AttemptEnd:
    return metrics_module.AttemptEnd.NOT_RUN


@_end_of.register
def _(_: model.Answered) -> metrics_module.AttemptEnd:
    return metrics_module.AttemptEnd.ANSWERED


@_end_of.register
def _(_: model.Failed) -> metrics_module.AttemptEnd:
    return metrics_module.AttemptEnd.FAILED


@_end_of.register
def _(_: model.Unknown) -> metrics_module.AttemptEnd:
    return metrics_module.AttemptEnd.UNKNOWN
