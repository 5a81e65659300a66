"""Emulated clients: they hand jobs in, wait, and come again."""

import asyncio
import collections.abc
import functools
import math

import attrs

from rosemaryroad import jobservice
from rosemaryroad import model
from rosemaryroad.emulation import _network
from rosemaryroad.emulation import _settings
from rosemaryroad.emulation import _vm
from rosemaryroad.emulation import _workload

_MS_PER_SECOND = 1000.0
_CLIENT_MS = 1.0

# The balancer asks each VM once a second, and takes two misses.
_PROBE_MS = 1_000.0
_MOST_MISSES = 2


@attrs.define(eq=False)
class Answer:
    """What a client got.

    Attributes:
        request: What it asked for.
        end: How the job ended for it, or None where it got no answer.
        took_ms: How long it waited for that.
        tries: How often it sent the job.
    """

    request: _workload.Request
    end: model.JobEnd | None = None
    took_ms: float = math.inf
    tries: int = 0

    @property
    def is_served(self) -> bool:
        """Whether it got a whole answer before it left."""
        if self.end is not model.JobEnd.COMPLETED:
            return False
        return self.took_ms <= self.request.patience_ms

    @property
    def is_owed(self) -> bool:
        """Whether the service owed it an answer."""
        return self.request.leaves_after_ms is None


class Balancer:
    """Chooses entry VMs for clients.

    Args:
        vms: All entry VMs.
        network: What lies between failure domains.
    """

    def __init__(
        self,
        vms: collections.abc.Sequence[_vm.EmulatedVm],
        network: _network.Network,
    ) -> None:
        self._vms = vms
        self._network = network
        self._misses_by_vm: dict[str, int] = {}

    async def run(self) -> None:
        """Asks the VMs from time to time."""
        while True:
            for vm in self._vms:
                is_ready = vm.front is not None and vm.front.is_ready
                misses = self._misses_by_vm.get(vm.name, 0)
                self._misses_by_vm[vm.name] = 0 if is_ready else misses + 1
            await asyncio.sleep(_PROBE_MS / _MS_PER_SECOND)

    def pick(self, domain: str, at: float) -> _vm.EmulatedVm:
        """Chooses a VM.

        Args:
            domain: The client's failure domain.
            at: A random number from 0 to 1.
        """
        there = [vm for vm in self._vms if vm.domain == domain]
        ready = [vm for vm in there if self._is_in_rotation(vm)]
        if not ready:
            there = [vm for vm in self._vms if self._is_in_rotation(vm)]
            ready = there
        chosen = ready if 2 * len(ready) >= len(there) else there
        chosen = chosen or list(self._vms)
        return chosen[int(at * len(chosen))]

    def _is_in_rotation(self, vm: _vm.EmulatedVm) -> bool:
        return self._misses_by_vm.get(vm.name, 0) < _MOST_MISSES


class Clients:
    """Hands jobs in and keeps what came of them.

    Attributes:
        answers: What the clients got, by job.

    Args:
        experiment: How patient they are.
        balancer: Chooses their entry VMs.
    """

    def __init__(
        self, experiment: _settings.Experiment, balancer: Balancer
    ) -> None:
        self.answers: dict[str, Answer] = {}
        self._resend_ms = experiment.resend_ms
        self._balancer = balancer

    def expect(
        self, requests: collections.abc.Iterable[_workload.Request]
    ) -> None:
        """Has jobs handed in at their times, counted from now."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for request in requests:
            answer = Answer(request)
            self.answers[request.job.id] = answer
            due_s = start_s + request.at_s
            loop.call_at(due_s, self._send, answer, due_s)

    def _send(self, answer: Answer, first_s: float) -> None:
        request = answer.request
        left_ms = request.patience_ms - _age_ms(first_s)
        if left_ms <= 0 or answer.tries >= len(request.picks):
            return
        pick = request.picks[answer.tries]
        answer.tries += 1
        vm = self._balancer.pick(request.domain, pick)
        front = vm.front
        if front is None:
            self._send_again(answer, first_s)
            return
        task = vm.spawn(_hand_in(front, request.job, left_ms))
        task.add_done_callback(
            functools.partial(self._answered, answer, first_s)
        )
        if request.leaves_after_ms is not None:
            loop = asyncio.get_running_loop()
            leaves_s = request.leaves_after_ms / _MS_PER_SECOND
            loop.call_at(first_s + leaves_s, task.cancel)

    def _answered(
        self, answer: Answer, first_s: float, task: asyncio.Task
    ) -> None:
        if task.cancelled():
            # The VM was lost, or the client has left.
            if answer.is_owed:
                self._send_again(answer, first_s)
            return
        told = task.result()
        if told.end is model.JobEnd.GIVEN_UP:
            self._send_again(answer, first_s)
            return
        answer.end = told.end
        answer.took_ms = _age_ms(first_s) + 2 * _CLIENT_MS

    def _send_again(self, answer: Answer, first_s: float) -> None:
        asyncio.get_running_loop().call_later(
            self._resend_ms / _MS_PER_SECOND, self._send, answer, first_s
        )


async def _hand_in(
    front: jobservice.JobService, job: model.Job, left_ms: float
) -> jobservice.JobAnswer:
    not_run = jobservice.JobAnswer(model.JobEnd.NOT_RUN)
    if not front.has_queues and not await front.wait_for_queues():
        return not_run
    if not front.has_time_for(job):
        return not_run
    return await front.submit(job, left_ms)


def _age_ms(first_s: float) -> float:
    now_s = asyncio.get_running_loop().time()
    return (now_s - first_s) * _MS_PER_SECOND
