"""Ways that are compared on the same seeds."""

import collections.abc
import contextlib
import logging
import multiprocessing
import os
import random
import statistics

import attrs

from rosemaryroad.emulation import _measures
from rosemaryroad.emulation import _service
from rosemaryroad.emulation import _settings

# Sets of names are gone through in an order that follows from this. By
# default each process draws its own, and a seed can't be played again.
_HASH_SEED_VARIABLE = 'PYTHONHASHSEED'
_HASH_SEED = '0'

_RESAMPLES = 2_000
_CONFIDENCE = 0.95


@attrs.frozen
class Play:
    """What one way came to with one seed.

    Attributes:
        way: The way.
        seed: The seed.
        measures: What callers got.
        violations: The rules that were broken.
    """

    way: str
    seed: int
    measures: _measures.Measures
    violations: tuple[str, ...]


@attrs.frozen
class Difference:
    """How much a way differs from the first one, seed by seed.

    Attributes:
        mean: The mean difference.
        low: The lower end of its confidence interval.
        high: The upper end.
    """

    mean: float
    low: float
    high: float


@attrs.frozen
class _Task:
    experiment: _settings.Experiment
    way: str
    seed: int


def play_all(
    experiment: _settings.Experiment,
    seeds: collections.abc.Iterable[int],
    jobs: int,
) -> collections.abc.Iterator[Play]:
    """Plays each way with each seed, in several processes.

    Args:
        experiment: What is played.
        seeds: The seeds.
        jobs: How many processes there are.

    Yields:
        Each play as it ends.
    """
    tasks = [
        _Task(experiment, way, seed)
        for seed in seeds
        for way in experiment.ways
    ]
    context = multiprocessing.get_context('spawn')
    with _fixed_hashes():
        pool = context.Pool(jobs)
    with pool:
        yield from pool.imap_unordered(play_one, tasks)


def play_one(task: _Task) -> Play:
    """Plays one way with one seed."""
    logging.getLogger('rosemaryroad').setLevel(logging.ERROR)
    settings = task.experiment.ways[task.way]
    service = _service.play(task.experiment, task.seed, settings)
    return Play(
        task.way,
        task.seed,
        _measures.measure(service),
        tuple(
            f'{item.at:.0f} ms: {item.rule}: {item.detail}'
            for item in service.checks.violations
        ),
    )


def differ(
    plays: collections.abc.Sequence[Play],
    way: str,
    standing: str,
    value: collections.abc.Callable[[_measures.Measures], float],
) -> Difference:
    """Compares a way with the standing one, over the seeds of both.

    Args:
        plays: All plays.
        way: The way.
        standing: What it is compared with.
        value: The figure that is compared.
    """
    own = {
        play.seed: value(play.measures) for play in plays if play.way == way
    }
    others = {
        play.seed: value(play.measures)
        for play in plays
        if play.way == standing
    }
    pairs = [own[seed] - others[seed] for seed in own.keys() & others.keys()]
    return _interval(pairs)


@contextlib.contextmanager
def _fixed_hashes() -> collections.abc.Iterator[None]:
    """Has processes that begin meanwhile hash names alike."""
    before = os.environ.get(_HASH_SEED_VARIABLE)
    os.environ[_HASH_SEED_VARIABLE] = _HASH_SEED
    try:
        yield
    finally:
        if before is None:
            del os.environ[_HASH_SEED_VARIABLE]
        else:
            os.environ[_HASH_SEED_VARIABLE] = before


def _interval(values: list[float]) -> Difference:
    """Returns a mean with its interval, by resampling the pairs."""
    mean = statistics.fmean(values)
    rng = random.Random(len(values))
    means = sorted(
        statistics.fmean(rng.choices(values, k=len(values)))
        for _ in range(_RESAMPLES)
    )
    outside = int(_RESAMPLES * (1 - _CONFIDENCE) / 2)
    return Difference(mean, means[outside], means[-1 - outside])
