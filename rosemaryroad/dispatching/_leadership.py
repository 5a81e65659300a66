"""Which entry VM dispatches a cell; decided from signs of life and one row.

One VM holds the queue of all workers of a cell, since jobs that are bound to
a part of the workers wait while others stand idle. A row of the platform's
table names it together with a term that rises with each change; the term is
the fence on its orders. VMs that can't reach it choose a deputy among
themselves, which gives orders under the same term, so that neither shuts the
other out.
"""

import collections.abc
import math

from rosemaryroad import model
from rosemaryroad.dispatching import _pace
from rosemaryroad.dispatching import _roles
from rosemaryroad.dispatching import _signs
from rosemaryroad.dispatching import _strain

# How often the time is looked at; a change of dispatcher waits for it.
TICK_MS = 30.0

# A dispatcher that has just taken over is busy with learning what runs; one
# that has stepped aside stays there until its trouble is likely over.
_TENURE_MS = 3_000.0
_ASIDE_MS = 5_000.0

# After a loss, the others' next signs tell whether they still hear the
# dispatcher; they send one at once when they lose it themselves.
_AGREE_MS = 60.0

# After a start the links come up; a VM that acted before would always act
# alone.
_START_MS = 900.0

# VMs that start together come to know the workers some ten milliseconds
# apart. The first one can't tell then that a stronger one is about to; of 42
# VMs one with a quarter of the processor came to dispatch, and 70 of 100 jobs
# failed.
_INFORMED_MS = 200.0

# A VM that alone has lost the dispatcher first waits for its link to come
# back, which takes some hundred milliseconds after a reset.
_DEPUTY_MS = 400.0

# Within so long a VM that lives has given a sign, whatever it does.
_HEARD_MS = 240.0

# How long the platform's table may take to answer a claim; usually it is
# some 5 ms. Without it the VM goes ahead under a term of its own.
CLAIM_TIMEOUT_MS = 200.0

# A dispatcher that went ahead without the table writes its row later.
_MEND_AGAIN_MS = 1_000.0

# How far the fence runs ahead of the row before that is written again. After
# a loss of all VMs the row alone is known; workers refuse each lower fence.
_MOST_FENCE_LEAD = 8

# How long after a lost claim the winner has to be heard.
_LOST_CLAIM_MS = 300.0


class Leadership:
    """Decides who dispatches, as one VM sees it.

    Args:
        vm: This VM.
        now: The present time.
        cores: Its share of a processor. The dispatcher does a third of a
            millisecond's work for each task, so the strongest come first.
        started: When this VM was started, by its own time of day. Where
            VMs are restarted in turn, the one that was started last is the
            last to leave; by their names alone the next to leave often
            took over.
    """

    def __init__(
        self, vm: str, now: float, cores: float = 1.0, started: int = 0
    ) -> None:
        self._vm = vm
        self._cores = cores
        self._started = started
        self._started_at = now
        self._ticked_at = now
        self._followed_at = -math.inf
        self._unsure_until = now
        self._wait_until = now
        self._signs = _signs.Signs(self._silence_ms)
        self._silence_basis: tuple | None = None
        self._known: frozenset[str] = frozenset()
        self._most_cores = cores
        self._pace = _pace.pace_of(1)
        self._lost_at = now
        self._lost = ''
        self._lost_in_order = False
        self._claim = model.Claim.NONE
        self._claiming = False
        self._dispatcher = ''
        self._leaving = False
        self._informed = False
        self._informed_at = now
        self._strain = _strain.Strain()
        self._aside_until = now
        self._row = _roles.LeaseRow(0, '')
        self._mend_at = now
        self._claimed_at = now
        self._elsewhere = False
        self._term = 0
        self._fence = 0

    @property
    def role(self) -> _roles.Role:
        """What this VM does now."""
        return _roles.Role(self._claim, self._term, self._dispatcher)

    @property
    def fence(self) -> int:
        """The fence of orders; usually the term.

        It is higher where workers have seen a higher one, which doesn't
        make this VM the dispatcher of more than it was.
        """
        return max(self._term, self._fence)

    def may_order(self, now: float) -> bool:
        """Tells whether orders may go out now.

        A VM that was stopped for a while may have been replaced without
        knowing; its orders wait until it has heard the others, and has
        looked whom it hasn't. Orders that were due when it was stopped go out
        before its next look at the time.
        """
        if self._claim is model.Claim.NONE:
            return False
        return (
            self._ticked_at >= self._unsure_until
            and now - self._ticked_at < self._pace.pause_ms
        )

    def leads_most(self, now: float) -> bool:
        """Tells whether more than half of all VMs follow this one.

        Two dispatchers that don't hear each other may both hear most VMs,
        through some that hear both; these follow one of them. A deputy never
        does: whoever it can't hear may dispatch.
        """
        if self._claim is model.Claim.DEPUTY:
            return False
        return self._are_most(self._followers(now))

    @property
    def followed_at(self) -> float:
        """A time at which most VMs still followed this one.

        Losing them is noticed a silence later, and later still by a VM that
        was stopped; another one may dispatch meanwhile.
        """
        return self._followed_at

    def pulse(self) -> model.Pulse:
        """Returns the sign of life to send."""
        return model.Pulse(
            self._term,
            self.fence,
            self._dispatcher,
            self._claim,
            self._gives_way(self._ticked_at),
            self._informed,
            self._cores,
            self._started,
            self._is_settled(self._ticked_at),
            self._strain.is_strained(self._ticked_at),
            self._elsewhere,
        )

    def peers_known(
        self, cores_by_vm: collections.abc.Mapping[str, float]
    ) -> None:
        """Takes in which entry VMs there are, with their processors."""
        self._known = frozenset(cores_by_vm) - {self._vm}
        self._pace = _pace.pace_of(1 + len(self._known))
        self._most_cores = max(cores_by_vm.values(), default=0.0)

    def inform(self, now: float) -> bool:
        """Takes in that the workers and the other VMs are known.

        A VM that has just started behind a cut knows none; as the
        dispatcher it would refuse every job.

        Returns:
            Whether that is news.
        """
        if self._informed:
            return False
        self._informed = True
        self._informed_at = now
        return True

    def joined(self, vm: str, now: float) -> None:
        """Takes in that a link to a peer stands."""
        self._signs.joined(vm, now)

    def lost(self, vm: str, now: float) -> None:
        """Takes in that no link to a peer stands."""
        self._signs.lost(vm)
        self._evaluate(now)

    @property
    def is_acting(self) -> bool:
        """Whether this VM gives orders, or is about to."""
        return self._claiming or self._claim is not model.Claim.NONE

    def take_elsewhere(
        self, others: collections.abc.Iterable['Leadership']
    ) -> None:
        """Takes in what this VM does in the other cells.

        One that gives orders there comes after those that don't: with two
        cells at one VM, both would have half of its processor, and both
        would be lost with it. One that has stepped aside there is too slow
        here as well. Idle, it doesn't look so; VMs that slow down together
        would take each other's cells, and orders go on timing out while
        sound VMs stand by.
        """
        self._elsewhere = False
        for other in others:
            self._elsewhere = self._elsewhere or other.is_acting
            self._aside_until = max(self._aside_until, other._aside_until)

    def heard_from(self, vm: str, now: float) -> None:
        """Takes in a message that is no sign of life, and shows it as well.

        A VM that hands jobs over gives no signs beside them.
        """
        self._signs.heard_from(vm, now)

    def heard(self, vm: str, pulse: model.Pulse, now: float) -> None:
        """Takes in a sign of life."""
        known = self._signs.pulse_of(vm)
        self._signs.heard(vm, pulse, now)
        if pulse is known or pulse == known:
            # Nothing but the time has passed, which the next tick takes in;
            # in large groups a look at all peers for each sign is dear.
            return
        self._fence = max(self._fence, pulse.fence)
        self._evaluate(now)

    def row_read(self, row: _roles.LeaseRow, now: float) -> None:
        """Takes in what the row says."""
        if row.term > self._row.term:
            self._row = row
        self._fence = max(self._fence, row.term)
        self._evaluate(now)

    def fenced(self, fence: int) -> None:
        """Takes in that a worker knows a higher fence than the one given.

        Others have acted under it and can't be heard, or their row can't
        be read. Without going up, this VM could not use that worker.
        """
        self._fence = max(self._fence, fence + 1)

    def raise_fence(self) -> None:
        """Has workers refuse all orders that were given so far.

        A worker does so once a call with the higher fence has reached it.
        """
        self._fence = self.fence + 1

    def leave(self, now: float) -> None:
        """Lets another VM take over; this one is shutting down."""
        self._leaving = True
        self._evaluate(now)

    @property
    def pace(self) -> _pace.Pace:
        """How often signs of life go out."""
        return self._pace

    @property
    def pulse_every_ms(self) -> float:
        """How often this VM gives signs to all others."""
        if self._claim is not model.Claim.NONE:
            return self._pace.pulse_ms
        return self._pace.pulse_ms * self._pace.stride

    def dispatching_peers(self, now: float) -> frozenset[str]:
        """Returns the peers that give orders; they need signs at full rate."""
        return frozenset(self._signs.claiming(now))

    def silent(self, now: float) -> tuple[str, ...]:
        """Returns the peers whose links stand but carry nothing."""
        basis = (self._claim, self._dispatcher, self._pace)
        if basis != self._silence_basis:
            self._silence_basis = basis
            self._signs.limits_changed()
        return self._signs.silent(now)

    def tick(self, now: float) -> None:
        """Looks at the time; to be called every few ten milliseconds."""
        if now - self._ticked_at >= self._pace.pause_ms:
            # What was heard before the pause says nothing of the present.
            # Signs that have waited for this VM are read about now, and may
            # be older than a silence.
            self._unsure_until = now + self._pace.silent_ms + TICK_MS
            self._signs.renew(now - self._pace.silent_ms + _HEARD_MS)
        late_ms = max(0.0, now - self._ticked_at - TICK_MS)
        self._strain.looked(late_ms, now)
        # What is read right after a pause may have waited since before it.
        self._signs.reading_since(self._ticked_at)
        self._ticked_at = now
        self._note_followers(now)
        if self._should_step_aside(now):
            self._aside_until = now + _ASIDE_MS
        self._evaluate(now)

    def wants_claim(self, now: float) -> _roles.LeaseRow | None:
        """Returns the row to claim, where this VM should dispatch.

        The caller writes it under the condition that the row has not
        changed, and tells the outcome.
        """
        if self._claiming:
            return None
        wanted = self._row_to_mend(now)
        if wanted is None and self._should_claim(now):
            wanted = _roles.LeaseRow(
                max(self.fence, self._row.term) + 1, self._vm
            )
        self._claiming = wanted is not None
        return wanted

    def claim_won(self, row: _roles.LeaseRow, now: float) -> None:
        """Takes in that the row names this VM, or that none can be read."""
        self._claiming = False
        self._mend_at = now + _MEND_AGAIN_MS
        if self._is_out(now) or row.term <= self._term:
            return
        if self._claim is model.Claim.DISPATCHER:
            # The row has been mended; its term is the fence's.
            return
        if self._best_other(now) is not None:
            # Another one was heard meanwhile; it goes on, and mends the
            # row where its term is the lower one.
            return
        self._act(model.Claim.DISPATCHER, now)
        self._term = row.term
        self._evaluate(now)

    def claim_lost(self, row: _roles.LeaseRow, now: float) -> None:
        """Takes in that the row has another content."""
        self._claiming = False
        self._wait_until = now + _LOST_CLAIM_MS
        self.row_read(row, now)

    # Parts of the above.

    def _followers(self, now: float) -> dict[str, model.Pulse]:
        return {
            vm: pulse
            for vm, pulse in self._signs.fresh(now).items()
            if pulse.dispatcher == self._vm
        }

    def _note_followers(self, now: float) -> None:
        if self._claim is not model.Claim.DISPATCHER:
            return
        followers = self._followers(now)
        if not self._are_most(followers):
            return
        others = len(self._known | {self._vm}) // 2
        if not others:
            self._followed_at = now
            return
        known_at = self._signs.known_at(followers, others)
        self._followed_at = max(self._followed_at, known_at)

    def _is_out(self, now: float) -> bool:
        if now < self._aside_until:
            return True
        # Where all VMs of a part leave at once, a last one goes on for as
        # long as it lives: their clients would be refused otherwise, with
        # seconds to go. One that follows no dispatcher yet has just started
        # and would not take over at once.
        return self._leaving and any(
            pulse.informed and pulse.dispatcher and not pulse.leaving
            for pulse in self._signs.fresh(now).values()
        )

    def _gives_way(self, now: float) -> bool:
        acts = self._claim is not model.Claim.NONE
        return self._is_out(now) or (self._leaving and not acts)

    def _should_step_aside(self, now: float) -> bool:
        if self._claim is not model.Claim.DISPATCHER:
            return False
        # Time for the others to tell whether they are strained as well.
        told = self._strain.is_strained(now - _HEARD_MS)
        if now - self._claimed_at < _TENURE_MS or not told:
            return False
        # Where no other VM is better off, the load itself is too high.
        return any(
            pulse.informed and not pulse.leaving and not pulse.strained
            for pulse in self._signs.fresh(now).values()
        )

    def _row_to_mend(self, now: float) -> _roles.LeaseRow | None:
        """Returns the row as it should be, where it lags behind this VM."""
        if self._claim is not model.Claim.DISPATCHER or now < self._mend_at:
            return None
        if self._row.term < self._term:
            return _roles.LeaseRow(self._term, self._vm)
        lead = self.fence - self._row.term
        if self._row.vm != self._vm or lead < _MOST_FENCE_LEAD:
            return None
        return _roles.LeaseRow(self.fence, self._vm)

    def _silence_ms(self, vm: str) -> float:
        # A home that has lost its dispatcher hands its jobs to another one.
        # Both would start them, and callers would find their work done
        # twice, if this end took longer than the other to notice the loss.
        pulse = self._signs.pulse_of(vm)
        claims = pulse is not None and pulse.claim is not model.Claim.NONE
        acts = self._claim is not model.Claim.NONE
        if claims or acts or vm == self._dispatcher:
            return self._pace.silent_ms
        return self._pace.silent_ms * self._pace.stride

    def _best_other(self, now: float) -> str | None:
        best = None
        best_rank = None
        for vm, pulse in self._signs.claiming(now).items():
            if pulse.leaving:
                continue
            rank = _roles.rank(pulse.claim, pulse.term, vm)
            if best_rank is None or rank < best_rank:
                best, best_rank = vm, rank
        return best

    def _evaluate(self, now: float) -> None:
        best = self._best_other(now)
        if self._is_out(now):
            self._claim = model.Claim.NONE
        if best is not None:
            pulse = self._signs.pulse_of(best)
            theirs = _roles.rank(pulse.claim, pulse.term, best)
            ours = _roles.rank(self._claim, self._term, self._vm)
            if self._claim is model.Claim.NONE or theirs < ours:
                self._claim = model.Claim.NONE
                self._term = pulse.term
                self._follow(best, now)
                return
        if self._claim is not model.Claim.NONE:
            self._follow(self._vm, now)
            return
        self._follow('', now)
        if self._should_deputise(now):
            self._act(model.Claim.DEPUTY, now)
            self._follow(self._vm, now)

    def _act(self, claim: model.Claim, now: float) -> None:
        if self._claim is model.Claim.NONE:
            # So far the others gave signs less often than a dispatcher
            # expects them; they hear of this one first.
            self._signs.renew(now - self._pace.silent_ms + _HEARD_MS)
        self._claim = claim
        self._claimed_at = now

    def _follow(self, vm: str, now: float) -> None:
        if vm == self._dispatcher:
            return
        if not vm:
            self._lost = self._dispatcher
            self._lost_at = now
            pulse = self._signs.pulse_of(self._lost)
            self._lost_in_order = pulse is not None and pulse.leaving
        self._dispatcher = vm

    def _is_ready(self, now: float) -> bool:
        if self._is_out(now) or self._dispatcher or now < self._wait_until:
            return False
        if not self._informed:
            return False
        if now < self._unsure_until:
            return False
        if self._lost_in_order:
            return True
        if not self._lost and self._row.vm == self._vm:
            # This VM dispatched before it was restarted, and nobody has
            # taken over since: nobody is there. Waiting for the links
            # would cost some 400 ms after a loss of all VMs.
            return True
        if self._lost:
            return now - self._lost_at >= _AGREE_MS
        if self._are_most_back(now):
            return True
        if now - self._informed_at < _INFORMED_MS:
            return False
        if self._known and self._signs.fresh(now).keys() >= self._known:
            return True
        return now - self._started_at >= _START_MS

    def _are_most_back(self, now: float) -> bool:
        """Tells whether most VMs are here and none has a dispatcher.

        After a loss of all, those that come back last would be waited for
        otherwise, and whatever comes meanwhile is late.
        """
        fresh = self._signs.fresh(now)
        if any(pulse.dispatcher for pulse in fresh.values()):
            return False
        heard = max((pulse.cores for pulse in fresh.values()), default=0.0)
        is_strongest = self._cores >= max(heard, self._most_cores)
        return is_strongest and self._are_most(fresh)

    def _others_without(
        self, now: float
    ) -> tuple[dict[str, model.Pulse], bool]:
        """Returns the peers in the same position, and whether none objects.

        One objects that has told since that it hears a dispatcher, the lost
        one or another. After a cut has healed, links come back one by one; a
        VM that claimed before the one to the dispatcher stands would take
        all jobs away from it, and each would change hands twice.
        """
        staying = {
            vm: pulse
            for vm, pulse in self._signs.fresh(now).items()
            if self._leaving or not pulse.leaving
        }
        if self._lost_in_order:
            # All have heard the dispatcher say so, though they haven't told
            # yet. Left out, a stronger one would not be waited for.
            return staying, True
        without = {
            vm: pulse
            for vm, pulse in staying.items()
            if pulse.dispatcher in ('', self._vm)
        }
        # A sign from before the loss objects to nothing; of a VM behind the
        # same cut it is the last one for long.
        are_all = not any(
            self._signs.is_newer(vm, self._lost_at)
            for vm in staying.keys() - without.keys()
        )
        return without, are_all

    def _should_claim(self, now: float) -> bool:
        if self._claim is not model.Claim.DEPUTY and not self._is_ready(now):
            return False
        without, are_all = self._others_without(now)
        if self._claim is model.Claim.DEPUTY:
            # All that this VM hears have lost the dispatcher as well, so
            # it is gone, or parted from all of them.
            return (
                are_all and now >= self._wait_until and self._are_most(without)
            )
        if self._lost_in_order:
            # It has said so itself; no other part can have it.
            return self._is_first(without)
        if not are_all:
            return False
        if not self._lost and self._row.vm == self._vm:
            return True
        if self.fence > 0 and not self._are_most(without):
            # The others may have a dispatcher. Ours would take all of
            # their work over when they are back, and have to learn what
            # runs where; a deputy gives way to theirs.
            return False
        return self._is_first(without)

    def _is_first(self, others: dict[str, model.Pulse]) -> bool:
        """Tells whether this VM comes before others that could act."""
        ours = _roles.preference(self._vm, self.pulse())
        return not any(
            pulse.informed
            and not pulse.strained
            and _roles.preference(vm, pulse) < ours
            for vm, pulse in others.items()
        )

    def _is_settled(self, now: float) -> bool:
        # One that has just started waits for its links before it acts;
        # where it stands first, the others would wait for it.
        return now - self._started_at >= 2 * _START_MS

    def _are_most(self, others: dict[str, model.Pulse]) -> bool:
        """Tells whether this VM and others are more than half of all."""
        return 2 * (len(others) + 1) > len(self._known | {self._vm})

    def _should_deputise(self, now: float) -> bool:
        if self._claiming or not self._is_ready(now):
            return False
        if self._should_claim(now):
            return False
        without, are_all = self._others_without(now)
        # Where every VM that is heard has lost the dispatcher as well, no
        # single link is at fault, and there is nothing to wait for.
        patience = 0.0 if are_all and without else _DEPUTY_MS
        if self._lost and now - self._lost_at < patience:
            return False
        return self._is_first(without)
