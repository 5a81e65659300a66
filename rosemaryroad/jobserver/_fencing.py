"""Brings the fence to workers that are gone, as soon as they are back.

An order that got no answer may be carried out seconds later. A worker that has
started again since has seen no fence, and would carry it out beside the next
attempt of its task; callers would find their work done twice. It refuses the
order once a call with a higher fence has reached it. Workers that are listed
get such calls anyway; this asks those that no longer are.
"""

import collections.abc
import math

import attrs

from rosemaryroad import _background
from rosemaryroad import clock as clock_module
from rosemaryroad import endpoints
from rosemaryroad import model

# How long after its entry is gone an order may still come to a worker.
_KEEP_MS = 15_000.0
_MOST_WORKERS = 256

# How often each is asked, and the pause between two calls to any of them. One
# that is down refuses the connection, which costs little.
_ASK_AGAIN_MS = 50.0
_PAUSE_MS = 25.0


@attrs.define(eq=False)
class _Gone:
    worker: model.Worker
    until: float
    ask_at: float
    is_asked: bool = False


class Fencing:
    """Asks the workers that are gone until they have answered.

    Args:
        client: Speaks to workers.
        fence: Returns the fence of orders.
        on_fenced: Hears that a worker has seen a higher one than that of a
            call.
        is_held: Tells whether a worker is asked by a session of its own.
        clock: The clock.
        on_fault: Hears of errors that nobody expects.
    """

    def __init__(
        self,
        client: endpoints.WorkerClient,
        fence: collections.abc.Callable[[], int],
        on_fenced: collections.abc.Callable[[str, int], None],
        is_held: collections.abc.Callable[[str], bool],
        clock: clock_module.Clock,
        on_fault: collections.abc.Callable[[BaseException], None],
    ) -> None:
        self._client = client
        self._fence = fence
        self._on_fenced = on_fenced
        self._is_held = is_held
        self._clock = clock
        self._listed_by_id: dict[str, model.Worker] = {}
        self._gone_by_id: dict[str, _Gone] = {}
        self._lives_changed_at = -math.inf
        self._background = _background.BackgroundTasks(on_fault)
        self._is_acting = False
        self._is_asking = False

    @property
    def gone(self) -> collections.abc.KeysView[str]:
        """The ids of the workers that are gone and haven't answered."""
        return self._gone_by_id.keys()

    @property
    def may_orders_be_late(self) -> bool:
        """Whether orders to an earlier life of a worker may still come."""
        return self._clock.now() - self._lives_changed_at < _KEEP_MS

    def act(self, acting: bool) -> None:
        """Begins to ask, or ends; what is gone is known meanwhile."""
        self._is_acting = acting
        if acting:
            self._ask_if_needed()
        else:
            self._background.cancel()
            self._is_asking = False

    def list_workers(
        self, workers: collections.abc.Iterable[model.Worker]
    ) -> None:
        """Takes in which workers are listed."""
        before = self._listed_by_id
        self._listed_by_id = {worker.id: worker for worker in workers}
        for worker_id, worker in before.items():
            listed = self._listed_by_id.get(worker_id)
            if listed is None and not worker.leaving:
                self._add(worker)
            elif listed is not None and listed.born != worker.born:
                self._lives_changed_at = self._clock.now()
        for worker_id in self._listed_by_id:
            self._gone_by_id.pop(worker_id, None)
        self._ask_if_needed()

    def _add(self, worker: model.Worker) -> None:
        while len(self._gone_by_id) >= _MOST_WORKERS:
            self._forget(next(iter(self._gone_by_id)))
        now = self._clock.now()
        self._lives_changed_at = now
        self._gone_by_id[worker.id] = _Gone(worker, now + _KEEP_MS, now)

    def _forget(self, worker_id: str) -> None:
        gone = self._gone_by_id.pop(worker_id)
        if not self._is_held(worker_id):
            self._client.forget(gone.worker)

    def _ask_if_needed(self) -> None:
        if self._is_acting and self._gone_by_id and not self._is_asking:
            self._is_asking = True
            self._background.spawn(self._ask_all())

    async def _ask_all(self) -> None:
        while self._gone_by_id:
            gone = self._next_due()
            if gone is not None:
                gone.is_asked = True
                self._background.spawn(self._ask(gone))
            await self._clock.sleep(_PAUSE_MS)
        self._is_asking = False

    def _next_due(self) -> _Gone | None:
        now = self._clock.now()
        for worker_id, gone in list(self._gone_by_id.items()):
            if now >= gone.until:
                self._forget(worker_id)
        due = [
            gone
            for worker_id, gone in self._gone_by_id.items()
            if gone.ask_at <= now
            and not gone.is_asked
            and not self._is_held(worker_id)
        ]
        return min(due, key=lambda gone: gone.ask_at, default=None)

    async def _ask(self, gone: _Gone) -> None:
        worker = gone.worker
        fence = self._fence()
        is_over = False
        try:
            await self._client.hold(worker, fence, 0, 0.0, prolong=False)
            is_over = True
        except endpoints.WorkerReplaced:
            # Orders name the worker, and another one refuses them.
            is_over = True
        except endpoints.WorkerFenced:
            self._on_fenced(worker.id, fence)
        except endpoints.WorkerUnreachable:
            pass
        finally:
            gone.is_asked = False
            gone.ask_at = self._clock.now() + _ASK_AGAIN_MS
        if is_over and self._gone_by_id.get(worker.id) is gone:
            self._forget(worker.id)
