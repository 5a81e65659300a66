"""When a call is made again."""

import math
import random

import attrs

from rosemaryroad import clock as clock_module


@attrs.frozen
class RetryPolicy:
    """How patient the client is; all times in milliseconds.

    Attributes:
        give_up_ms: Refusals and lost replies are borne for so long
            without a good reply in between.
        wait_ms: How long the entry VM may hold one call. A connection
            that went silent is noticed after this and the margin.
        margin_ms: What a reply may take beyond that.
        backoff_ms: The first pause after a lost reply; it doubles.
        max_backoff_ms: The longest such pause.
    """

    give_up_ms: float = 60_000.0
    wait_ms: float = 5_000.0
    margin_ms: float = 3_000.0
    backoff_ms: float = 50.0
    max_backoff_ms: float = 2_000.0


class Patience:
    """Pauses between the calls for one submission, up to a limit.

    Args:
        policy: How patient to be.
        clock: The time.
        rng: Spreads the calls of many clients.
        expires: The clock's time after which nothing is of use, or None.
    """

    def __init__(
        self,
        policy: RetryPolicy,
        clock: clock_module.Clock,
        rng: random.Random,
        expires: float | None = None,
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._rng = rng
        self._expires = math.inf if expires is None else expires
        self._until = 0.0
        self._backoff = 0.0
        self.renew()

    def renew(self) -> None:
        """Starts anew, after a good reply."""
        give_up = self._clock.now() + self._policy.give_up_ms
        self._until = min(give_up, self._expires)
        self._backoff = self._policy.backoff_ms

    async def pause(
        self, error: Exception, retry_after_ms: float | None = None
    ) -> None:
        """Waits until the next call makes sense.

        Args:
            error: What to raise when that would be too late.
            retry_after_ms: The time that the refusal gave, or None.
        """
        delay = retry_after_ms
        if delay is None:
            # Clients that lost their entry VM at the same moment would
            # otherwise all come back at the same moment.
            delay = self._rng.uniform(self._backoff / 2, self._backoff)
            self._backoff = min(2 * self._backoff, self._policy.max_backoff_ms)
        if self._clock.now() + delay > self._until:
            raise error
        await self._clock.sleep(delay)
