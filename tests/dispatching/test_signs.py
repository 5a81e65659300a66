"""Tests of what is kept of other VMs' signs of life."""

import random
import unittest

from rosemaryroad import model
from rosemaryroad.dispatching import _signs

_LIMIT_MS = 480.0
_LONG_LIMIT_MS = 1_560.0


def _pulse(claim: model.Claim = model.Claim.NONE) -> model.Pulse:
    return model.Pulse(1, 1, 'a', claim, False, True)


class SignsTest(unittest.TestCase):
    """Peers give signs, give orders, go silent and come back."""

    def setUp(self) -> None:
        self.limit_by_vm: dict[str, float] = {}
        self.signs = _signs.Signs(
            lambda vm: self.limit_by_vm.get(vm, _LIMIT_MS)
        )

    def _hear(self, vm: str, now: float, pulse: model.Pulse) -> None:
        self.signs.heard(vm, pulse, now)

    def test_a_silence_is_told_as_soon_as_it_is_one(self) -> None:
        self._hear('a', 0.0, _pulse())
        self._hear('b', 30.0, _pulse())
        self.assertEqual((), self.signs.silent(479.0))
        self.assertEqual(('a',), self.signs.silent(480.0))
        self.assertEqual(('a', 'b'), self.signs.silent(510.0))
        self.signs.lost('a')
        self.assertEqual(('b',), self.signs.silent(511.0))

    def test_whoever_is_heard_again_is_not_silent(self) -> None:
        self._hear('a', 0.0, _pulse())
        self.signs.silent(400.0)
        self.signs.heard_from('a', 470.0)
        self.assertEqual((), self.signs.silent(940.0))
        self.assertEqual(('a',), self.signs.silent(950.0))

    def test_a_limit_that_has_become_shorter_counts(self) -> None:
        """A VM that comes to dispatch is to be missed sooner.

        Its clients' jobs would wait for as long as for an idle VM.
        """
        self.limit_by_vm['a'] = _LONG_LIMIT_MS
        self._hear('a', 0.0, _pulse())
        self.assertEqual((), self.signs.silent(10.0))
        del self.limit_by_vm['a']
        self._hear('a', 20.0, _pulse(model.Claim.DISPATCHER))
        self.assertEqual((), self.signs.silent(30.0))
        self.assertEqual(('a',), self.signs.silent(500.0))

    def test_a_peer_that_joins_may_be_the_first_to_be_silent(self) -> None:
        self.limit_by_vm['a'] = _LONG_LIMIT_MS
        self._hear('a', 0.0, _pulse())
        self.signs.silent(10.0)
        self.signs.joined('b', 20.0)
        self.assertEqual(('b',), self.signs.silent(500.0))

    def test_only_peers_that_give_orders_are_claiming(self) -> None:
        self._hear('a', 0.0, _pulse(model.Claim.DEPUTY))
        self._hear('b', 0.0, _pulse())
        self.assertEqual({'a'}, self.signs.claiming(10.0).keys())
        self._hear('a', 20.0, _pulse())
        self._hear('b', 20.0, _pulse(model.Claim.DISPATCHER))
        self.assertEqual({'b'}, self.signs.claiming(30.0).keys())
        self.assertEqual(set(), self.signs.claiming(500.0).keys())
        self.signs.joined('b', 510.0)
        self.assertEqual(set(), self.signs.claiming(520.0).keys())

    def test_what_is_kept_agrees_with_a_look_at_all(self) -> None:
        """What is skipped must never hide a silent or a claiming peer."""
        draw = random.Random(7)
        heard_at: dict[str, float] = {}
        claims: dict[str, model.Claim] = {}
        now = 0.0
        for _ in range(20_000):
            now += draw.choice((0.0, 1.0, 30.0, 90.0))
            vm = draw.choice('abcdef')
            event = draw.choice(('heard', 'heard_from', 'lost', 'joined'))
            if event == 'heard':
                claims[vm] = draw.choice(list(model.Claim))
                heard_at[vm] = now
                self._hear(vm, now, _pulse(claims[vm]))
            elif event == 'heard_from' and vm in heard_at:
                heard_at[vm] = now
                self.signs.heard_from(vm, now)
            elif event == 'lost':
                heard_at.pop(vm, None)
                claims.pop(vm, None)
                self.signs.lost(vm)
            elif event == 'joined':
                heard_at[vm] = now
                claims.pop(vm, None)
                self.signs.joined(vm, now)
            silent = {
                vm for vm, at in heard_at.items() if now - at >= _LIMIT_MS
            }
            self.assertEqual(silent, set(self.signs.silent(now)))
            claiming = {
                vm
                for vm, claim in claims.items()
                if claim is not model.Claim.NONE and vm not in silent
            }
            self.assertEqual(claiming, self.signs.claiming(now).keys())


if __name__ == '__main__':
    unittest.main()
