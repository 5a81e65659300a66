"""Tests of who hands a peer what it can't read itself."""

import unittest

from rosemaryroad.jobserver import _sharing

_PATIENCE_MS = 600.0


class SharingTest(unittest.TestCase):
    """A peer that lags gets what it lacks once, and from one VM."""

    def setUp(self) -> None:
        self.now = 1_000.0
        self.sharings = {
            vm: _sharing.Sharing(vm, _PATIENCE_MS) for vm in ('a', 'b', 'c')
        }
        for vm, sharing in self.sharings.items():
            for peer in self.sharings:
                if peer != vm:
                    sharing.is_due(peer, 2, 2, self.now)

    def _senders(self, version: int = 1, hearing: str = 'abc') -> list[str]:
        """Has VMs hear that ``z`` has a version; returns who sends theirs."""
        return [
            vm
            for vm in hearing
            if self.sharings[vm].is_due('z', version, 2, self.now)
        ]

    def _count(self, ms: float, **fields) -> int:
        """Counts what is sent while ``z`` tells every 60 ms that it lags."""
        until = self.now + ms
        count = 0
        while self.now < until:
            count += len(self._senders(**fields))
            self.now += 60.0
        return count

    def test_a_peer_that_reads_it_itself_is_sent_nothing(self) -> None:
        """A large configuration is new, and VMs read it one by one.

        If all that have it sent it to all that don't, their links would be
        full for seconds, and signs of life come too late.
        """
        self.assertEqual(0, self._count(500.0))
        self.assertEqual([], self._senders(version=2))

    def test_a_peer_that_is_cut_off_is_sent_it_by_one(self) -> None:
        self.assertEqual(0, self._count(_PATIENCE_MS))
        self.assertEqual(['a'], self._senders())
        self.assertEqual(0, self._count(360.0))

    def test_another_one_helps_where_the_first_does_not_hear(self) -> None:
        """The first VM is parted from the one that lags."""
        self.assertEqual(0, self._count(1_200.0, hearing='bc'))
        self.assertIn('b', self._senders(hearing='bc'))

    def test_one_that_has_none_is_helped_at_once(self) -> None:
        self.assertEqual(['a'], self._senders(version=0))

    def test_a_peer_that_is_lost_is_no_longer_the_first(self) -> None:
        for vm in 'bc':
            self.sharings[vm].lost('a')
        self.assertEqual(['b'], self._senders(version=0, hearing='bc'))
