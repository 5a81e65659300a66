"""Plays workers that crash and start again, beside orders that come late.

A worker is down for up to five seconds, returns under its id and may then be
of another kind; its entry may be dropped meanwhile. Some orders to start get
no answer and are carried out seconds later, by whichever life then listens.
Clients come again, so that a task may run while a late order for it is still
under way.
"""

import collections.abc

from tests.dispatching import drawn_returns

_KINDS = ('a', 'b')
_LABELS = ('', 'a', 'b')
_LATE_SHARES = (0.05, 0.2, 0.5)
_LATE_MS = (2_000, 12_000)
_DOWN_MS = (0, 400, 1_500, 3_000, 4_500, 5_000)

# An entry is dropped after three heartbeats of silence.
_EXPIRES_MS = (3_000, 3_700, 4_500)
_LISTED_AFTER_MS = (0, 5, 150, 1_500)
_PAUSES_MS = (100, 300, 800, 1_600, 2_500)
_LAST_PAUSES_MS = (3_000, 6_000)


class DrawnLives(drawn_returns.DrawnReturns):
    """One play: lives of workers, late orders, and who dispatches."""

    LABELS = _KINDS

    async def play(self) -> None:
        """Plays crashes and other faults while orders come late, and heals."""
        draw = self._draw
        share = draw.choice(_LATE_SHARES)
        await self._begin()
        self.service.delay_some(lambda: self._draw_lateness(share))
        await self._submit_for(draw.choice(_PAUSES_MS))
        await self._play_faults(draw.randint(3, 6), _FAULTS, _PAUSES_MS)
        await self._submit_for(draw.choice(_LAST_PAUSES_MS))
        await self._finish(_LAST_PAUSES_MS)

    def _draw_lateness(self, share: float) -> float | None:
        if self._draw.random() >= share:
            return None
        return self._draw.uniform(*_LATE_MS)

    def _job_fields(self) -> dict[str, object]:
        return {'label': self._draw.choice(_LABELS)}

    # Faults, each at a VM.

    def _crash(self, worker: str) -> None:
        draw = self._draw
        if not self.service.worker_by_id[worker].is_up:
            return
        self.service.crash(
            worker,
            draw.choice(_DOWN_MS),
            draw.choice(_EXPIRES_MS),
            draw.choice(_LISTED_AFTER_MS),
            (draw.choice(_KINDS),),
        )

    def _crash_one(self, _: str) -> None:
        self._crash(self._draw.choice(sorted(self.service.worker_by_id)))

    def _crash_some(self, _: str) -> None:
        for worker in sorted(self._some_workers()):
            self._crash(worker)

    def _crash_twice(self, _: str) -> None:
        """Has a second new life begin while orders to the first are late."""
        worker = self._draw.choice(sorted(self.service.worker_by_id))
        self._crash(worker)
        again_ms = self._draw.choice((1_000, 3_500, 6_000))
        self.service.call_later(again_ms, self._crash, worker)

    def _kill_dispatcher(self, vm: str) -> None:
        dispatcher = self.service.dispatcher()
        self._kill(dispatcher if dispatcher in self._names() else vm)


_Fault = collections.abc.Callable[[DrawnLives, str], None]

# Their order belongs to the seeds.
_FAULTS: tuple[_Fault, ...] = (
    DrawnLives._crash_one,
    DrawnLives._crash_some,
    DrawnLives._crash_some,
    DrawnLives._crash_twice,
    DrawnLives._kill_dispatcher,
    DrawnLives._part_domain,
    DrawnLives._part_alone,
    DrawnLives._freeze,
    DrawnLives._delay_stops,
    DrawnLives._heal_one,
)
