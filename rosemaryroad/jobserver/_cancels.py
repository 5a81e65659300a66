"""Cancels of jobs that are held at another entry VM."""

import asyncio
import collections.abc
import itertools
import logging

from rosemaryroad import jobservice
from rosemaryroad import logs
from rosemaryroad import model

_LOG = logging.getLogger(__name__)

# An answer takes a few milliseconds. Without one the dispatcher may be gone,
# and the client asks again.
_ANSWER_S = 0.5

_Send = collections.abc.Callable[[str, model.JobMessage], bool]


class RemoteCancels:
    """Passes cancels on to the dispatcher that has the job, if any has it.

    Args:
        send: Sends a message to a VM, this one included; tells whether there
            was a way.
    """

    def __init__(self, send: _Send) -> None:
        self._send = send
        self._numbers = itertools.count(1)
        self._answer_by_number: dict[
            int, asyncio.Future[model.CancelAnswered]
        ] = {}

    async def pass_on(
        self, job_id: str, queue: str, dispatcher: str
    ) -> jobservice.CancelEnd:
        """Has a job cancelled that isn't held here.

        Args:
            job_id: The job's id.
            queue: Its queue.
            dispatcher: Who dispatches its cell, or ''.
        """
        end = jobservice.CancelEnd.UNCERTAIN
        if dispatcher:
            end = await self._ask(job_id, queue, dispatcher)
        logs.event(
            _LOG,
            logging.INFO,
            'cancel_passed_on',
            request_id=job_id,
            dispatcher=dispatcher or 'none',
            end=end.value,
        )
        return end

    def answered(self, message: model.CancelAnswered) -> None:
        """Takes in a dispatcher's answer."""
        answer = self._answer_by_number.get(message.number)
        if answer is not None and not answer.done():
            answer.set_result(message)

    async def _ask(
        self, job_id: str, queue: str, dispatcher: str
    ) -> jobservice.CancelEnd:
        number = next(self._numbers)
        answer = asyncio.get_running_loop().create_future()
        self._answer_by_number[number] = answer
        try:
            message = model.JobCancelled(job_id, queue, number)
            if not self._send(dispatcher, message):
                return jobservice.CancelEnd.UNCERTAIN
            async with asyncio.timeout(_ANSWER_S):
                return _end_of(await answer)
        except TimeoutError:
            return jobservice.CancelEnd.UNCERTAIN
        finally:
            del self._answer_by_number[number]


def _end_of(answer: model.CancelAnswered) -> jobservice.CancelEnd:
    if answer.is_known:
        return jobservice.CancelEnd.DONE
    if answer.is_certain:
        return jobservice.CancelEnd.UNKNOWN
    return jobservice.CancelEnd.UNCERTAIN
