"""Every connection between daemons and workers goes through a relay."""

import base64
import collections.abc
import json

import attrs

from rosemaryroad import model
from tests.standins import relay

_Mode = relay.Mode
_Side = collections.abc.Collection[int]


@attrs.frozen
class Effect:
    """What a fault does to all that crosses between two sides.

    Attributes:
        daemons: The daemons of one side.
        workers: The addresses of the workers of that side, or None where
            both sides reach all.
        mode: What happens to bytes and connections.
        one_way: Whether bytes of those who connect pass all the same.
        delay_ms: How long bytes are delayed.
    """

    daemons: _Side
    workers: collections.abc.Collection[str] | None = ()
    mode: _Mode = _Mode.PASS
    one_way: bool = False
    delay_ms: float = 0.0


_NOTHING = Effect(frozenset())


class Network:
    """Relays by who connects to what.

    Daemons read the addresses of others from the store; each of them is
    shown rows that name relays of its own, so that a cut knows both ends.
    """

    def __init__(self) -> None:
        self._relay_by_ends: dict[tuple[int, str], relay.Relay] = {}
        self._address_by_ends: dict[tuple[int, str], str] = {}
        # The daemon behind each address, or None for a worker.
        self._owner_by_address: dict[str, int | None] = {}
        self._effects: list[Effect] = []
        self._effect_by_ends: dict[tuple[int, str], Effect] = {}

    async def add(
        self, address: str, daemons: _Side, owner: int | None
    ) -> None:
        """Puts relays between daemons and an address."""
        self._owner_by_address[address] = owner
        for daemon in daemons:
            passing = relay.Relay(model.Address.parse(address))
            at = await passing.start()
            self._relay_by_ends[daemon, address] = passing
            self._address_by_ends[daemon, address] = f'{at.host}:{at.port}'
        self._apply()

    def show(self, daemon: int, row: dict) -> dict:
        """Returns a row with the addresses that a daemon is to use."""
        if not isinstance(row.get('value'), str):
            return row
        try:
            value = json.loads(base64.b64decode(row['value']))
        except ValueError:
            return row
        if not isinstance(value, dict):
            return row
        at = self._address_by_ends.get((daemon, value.get('address')))
        if at is None:
            return row
        data = json.dumps(value | {'address': at}).encode()
        return row | {'value': base64.b64encode(data).decode()}

    def begin(self, effect: Effect) -> None:
        """Lets a fault begin; of several the last one counts."""
        self._effects.append(effect)
        self._apply()

    def end(self, effect: Effect) -> None:
        """Lets a fault end."""
        self._effects.remove(effect)
        self._apply()

    def silence_open(self, effect: Effect) -> None:
        """Makes the connections that are open across go silent for good."""
        for ends, passing in self._relay_by_ends.items():
            if self._crosses(ends, effect):
                passing.silence_open()

    async def close(self) -> None:
        """Ends all relays."""
        for passing in self._relay_by_ends.values():
            await passing.close()

    def _apply(self) -> None:
        for ends, passing in self._relay_by_ends.items():
            wanted = _NOTHING
            for effect in self._effects:
                if self._crosses(ends, effect):
                    wanted = effect
            if wanted is not self._effect_by_ends.get(ends, _NOTHING):
                self._effect_by_ends[ends] = wanted
                passing.set_mode(wanted.mode, wanted.one_way)
                passing.set_delay(wanted.delay_ms)

    def _crosses(self, ends: tuple[int, str], effect: Effect) -> bool:
        daemon, address = ends
        owner = self._owner_by_address[address]
        if owner is None:
            if effect.workers is None:
                return False
            is_near = address in effect.workers
        else:
            is_near = owner in effect.daemons
        return (daemon in effect.daemons) is not is_near
