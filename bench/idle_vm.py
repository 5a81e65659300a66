"""Measures what an entry VM that dispatches nothing spends on the others.

``python -m bench.idle_vm`` prints the processor time a second of its looks
at the time and of the signs of life that it takes in, by the numbers of entry
VMs and cells. Links and store are stand-ins, so that reading and writing on
connections isn't in it.
"""

import collections.abc
import time

import attrs

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.standins import group

_SIZES = ((6, 1), (37, 3), (97, 5), (300, 15))
_SECONDS = 6
_MS_PER_SECOND = 1000.0
_FIRST_SIGN_SPREAD_MS = 10.0


@attrs.frozen
class Cost:
    """Processor time, in ms a second.

    Attributes:
        looks: Of looks at the time.
        signs: Of signs of life.
        signs_a_second: How many signs came.
    """

    looks: float
    signs: float
    signs_a_second: float


class _Signs:
    """Gives the signs of life of all peers when they are due."""

    def __init__(self, played: group.Group) -> None:
        self._played = played
        leadership = dispatching.Leadership('', 0.0)
        names = ('', *played.peers)
        leadership.peers_known(dict.fromkeys(names, 1.0))
        self._pace = leadership.pace
        self._sign_by_vm = {
            name: played.make_sign(name) for name in played.peers
        }
        now = played.clock.now()
        self._due_by_vm = {
            name: now + _FIRST_SIGN_SPREAD_MS * place
            for place, name in enumerate(played.peers)
        }

    def due(self) -> collections.abc.Iterator[tuple[str, model.Pulses]]:
        now = self._played.clock.now()
        for name, due_at in self._due_by_vm.items():
            if now < due_at:
                continue
            acts = name in self._played.dispatchers
            stride = 1 if acts else self._pace.stride
            self._due_by_vm[name] = now + self._pace.pulse_ms * stride
            yield name, self._sign_by_vm[name]


def measure(vms: int, cells: int) -> Cost:
    """Lets some seconds pass at one VM.

    Args:
        vms: How many entry VMs there are.
        cells: How many cells there are.
    """
    played = group.Group(vms, cells)
    members = played.members
    signs = _Signs(played)
    count = 0
    looks_s = signs_s = 0.0
    until = played.clock.now() + _SECONDS * _MS_PER_SECOND
    while played.clock.now() < until:
        played.clock.advance(dispatching.TICK_MS)
        played.links.sent.clear()
        began = time.process_time()
        for name, sign in signs.due():
            members.receive(name, sign)
            count += 1
        heard = time.process_time()
        members.tick()
        signs_s += heard - began
        looks_s += time.process_time() - heard
    rate = _MS_PER_SECOND / _SECONDS
    return Cost(looks_s * rate, signs_s * rate, count / _SECONDS)


def main() -> None:
    """Prints the table."""
    print(f'{"VMs":>5}{"cells":>7}{"looks ms/s":>12}{"signs ms/s":>12}')
    for vms, cells in _SIZES:
        cost = measure(vms, cells)
        print(
            f'{vms:5d}{cells:7d}{cost.looks:12.2f}{cost.signs:12.2f}'
            f'  ({cost.signs_a_second:.0f} signs a second)'
        )


if __name__ == '__main__':
    main()
