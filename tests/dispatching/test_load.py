"""Tests of what callers get under load, played into the decisions alone."""

import time
import unittest

from tests.dispatching import played_load


class LoadTest(unittest.TestCase):
    """24 workers under the users' kinds of request."""

    def _play(self, **fields) -> dict[str, played_load.Tally]:
        return played_load.PlayedLoad(3, seconds=12.0, **fields).play()

    def test_the_usual_load_is_served_in_time(self) -> None:
        tallies = self._play(load=1.0)
        for queue, tally in tallies.items():
            with self.subTest(queue):
                self.assertGreater(tally.share, 0.95)
                self.assertEqual(tally.jobs, tally.served)

    def test_a_burst_costs_little_and_no_kind_starves(self) -> None:
        """Half as many jobs again as usual come for four seconds.

        In the order in which they come, every job would be late until the
        burst has been worked off: half of the worth would be lost.
        """
        tallies = self._play(load_at=lambda s: 1.5 if 2 < s < 6 else 1.0)
        whole = played_load.total(tallies)
        self.assertGreater(whole.share, 0.9)
        for queue, tally in tallies.items():
            with self.subTest(queue):
                self.assertGreater(tally.share, 0.8)
                self.assertGreater(tally.served, 0.95 * tally.jobs)

    def test_a_short_loss_of_the_dispatcher_costs_few_answers(self) -> None:
        """Nobody dispatches for 0.4 s, at a fifth more than the usual load.

        What came meanwhile is late already. Behind all that goes on coming
        in time, many get no answer of use: 46 of these loads' 7,188 jobs
        got none, 23 get none now.
        """
        jobs = of_use = 0
        for seed in range(8):
            played = played_load.PlayedLoad(
                seed,
                seconds=12.0,
                load_at=lambda s: 1.2 if 2 < s < 6 else 1.0,
                away=(4.0, 4.4),
            )
            whole = played_load.total(played.play())
            jobs += whole.jobs
            of_use += whole.of_use
        self.assertGreater(of_use, 0.9955 * jobs)

    def test_refusals_come_in_time_to_go_elsewhere(self) -> None:
        """Twice the usual load comes, far over what the workers can do.

        A job that is held to its client's end without having started is
        lost to its client as well as to everybody else.
        """
        tallies = self._play(load_at=lambda s: 2.0 if 2 < s < 6 else 1.0)
        whole = played_load.total(tallies)
        self.assertEqual(0.0, whole.held)
        self.assertGreater(whole.share, 0.75)
        self.assertGreater(whole.served, 0.9 * whole.jobs)

    def test_answers_that_are_too_late_hold_up_no_others(self) -> None:
        """Half as many jobs again come as the workers can carry.

        Jobs wait so long that some can't end within three times their
        objective, when their callers have left. Run before others that
        are merely late, they cost these theirs: 0.898 of the worth was
        earned of this seed's load, 0.923 is now.
        """
        whole = played_load.total(self._play(load=1.5))
        self.assertGreater(whole.share, 0.91)


class LargeServiceTest(unittest.TestCase):
    """176 workers at one dispatcher."""

    def test_the_processor_keeps_up_with_a_long_queue(self) -> None:
        """Half as many jobs again come as the workers can carry.

        Looking at every worker and every waiting job for each answer took
        8.8 ms of processor time a job, so that a dispatcher with a whole
        core fell behind at 110 jobs a second and its orders timed out;
        looking at what has changed takes 0.7 ms.
        """
        played = played_load.PlayedLoad(3, load=1.5, seconds=1.5, workers=176)
        began = time.process_time()
        tallies = played.play()
        took_ms = 1_000.0 * (time.process_time() - began)
        whole = played_load.total(tallies)
        self.assertGreater(whole.share, 0.9)
        # The playing itself takes about as long as the decisions.
        self.assertLess(took_ms / whole.jobs, 4.0)
