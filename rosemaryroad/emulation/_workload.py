"""The jobs that come, drawn before a play begins.

Each kind of job of each failure domain has random numbers of its own, so that
ways that are compared meet the same jobs at the same times.
"""

import collections.abc
import math
import random

import attrs

from rosemaryroad import model
from rosemaryroad.emulation import _settings
from rosemaryroad.emulation import _workers

_MS_PER_SECOND = 1000.0
_SERVICE = 'tasks'

# How often clients of a large job may come again.
_TRIES = 8

# How much more than a mean job a large one is worth at most, and how much of
# the worth doesn't depend on the work.
_MOST_WORTH = 4.0
_FIXED_WORTH = 0.3


@attrs.frozen(eq=False)
class Request:
    """One job, as its client sees it.

    Attributes:
        kind: What kind it is.
        domain: Its client's failure domain.
        at_s: When the client first sends it, from the start of the load.
        job: The job.
        work: What its tasks ask of workers.
        worth: What an answer in time is worth.
        objective_ms: Within how long an answer is in time.
        patience_ms: How long the client waits.
        picks: Random numbers from 0 to 1 that choose its entry VMs.
        leaves_after_ms: When the client leaves without an answer, or None.
    """

    kind: _settings.JobKind
    domain: str
    at_s: float
    job: model.Job
    work: tuple[_workers.TaskWork, ...]
    worth: float
    objective_ms: float
    patience_ms: float
    picks: tuple[float, ...]
    leaves_after_ms: float | None = None


def make_rng(seed: int, *names: object) -> random.Random:
    """Returns random numbers that depend on a seed and on names alone."""
    return random.Random('/'.join([str(seed), *(str(n) for n in names)]))


def queue_table(experiment: _settings.Experiment) -> model.QueueTable:
    """Returns the queues of an experiment."""
    routes = tuple(
        model.QueueRoute(
            kind.queue,
            'host',
            f'/{kind.queue}/',
            _SERVICE,
            _terms(kind),
        )
        for kind in experiment.kinds
    )
    return model.QueueTable(1, routes)


def make_workers(
    experiment: _settings.Experiment,
) -> list[tuple[model.Worker, float]]:
    """Returns the workers, each with its pace."""
    group = experiment.workers
    domains = experiment.domains
    made = []
    for number in range(group.count):
        domain = domains[number % len(domains)]
        rack = number // len(domains) // group.per_rack
        worker = model.Worker(
            id=f'worker-{number:04}',
            service=_SERVICE,
            address='127.0.0.1:1',
            failure_domain=domain,
            capacity=model.Needs(
                group.cores[number // len(domains) % len(group.cores)],
                group.memory_mb,
                0,
            ),
            labels=(f'{domain}-{rack}',),
            born=1,
        )
        pace = group.paces[number // len(domains) % len(group.paces)]
        made.append((worker, pace))
    return made


def draw(experiment: _settings.Experiment, seed: int) -> list[Request]:
    """Draws all jobs of a play, in the order in which they come."""
    requests = [
        request
        for kind in experiment.kinds
        for domain in experiment.domains
        for request in _draw_kind(experiment, kind, domain, seed)
    ]
    return sorted(requests, key=lambda request: request.at_s)


def _draw_kind(
    experiment: _settings.Experiment,
    kind: _settings.JobKind,
    domain: str,
    seed: int,
) -> collections.abc.Iterator[Request]:
    rng = make_rng(seed, 'jobs', kind.queue, domain)
    phase = make_rng(seed, 'wave', domain).random()
    rate = kind.per_s / len(experiment.domains)
    most = rate * _most_load(experiment, kind.queue)
    at_s = 0.0
    number = 0
    while True:
        at_s += rng.expovariate(most)
        if at_s >= experiment.seconds:
            return
        # Drawn also where it is passed over, so that a change of the load
        # leaves the other jobs as they are.
        name = f'{kind.queue}-{domain}-{number:05}'
        number += 1
        request = _draw_request(experiment, kind, domain, at_s, name, rng)
        load = _load_at(experiment, kind.queue, at_s, phase)
        if rng.random() * most < rate * load:
            yield request


def _draw_request(
    experiment: _settings.Experiment,
    kind: _settings.JobKind,
    domain: str,
    at_s: float,
    name: str,
    rng: random.Random,
) -> Request:
    run_ms = _draw_spread(kind.run_ms, rng)
    tasks = max(1, round(_draw_spread(kind.tasks, rng)))
    needs = model.Needs(_draw_spread(kind.cores, rng), kind.memory_mb, 0)
    poisoned = rng.random() < _share_at(experiment, 'poison', kind, at_s)
    work = tuple(
        _workers.TaskWork(
            _vary(run_ms, kind.uneven, rng),
            needs,
            poisoned or rng.random() < kind.failing_share,
        )
        for _ in range(tasks)
    )
    job = model.Job(
        id=name,
        queue=kind.queue,
        service=_SERVICE,
        payload='',
        tasks=tasks,
        needs=needs,
        estimate_ms=float(
            max(1, round(_vary(run_ms, kind.estimate_off, rng)))
        ),
        terms=_terms(kind),
    )
    terms = job.terms
    longest_ms = max(item.run_ms for item in work)
    leaves = rng.random() < _share_at(experiment, 'give_up', kind, at_s)
    objective_ms = terms.objective_ms(longest_ms)
    return Request(
        kind,
        domain,
        at_s,
        job,
        work,
        _worth(kind, work),
        objective_ms,
        terms.of_use_ms(longest_ms) + kind.patience_ms,
        tuple(rng.random() for _ in range(_TRIES)),
        objective_ms / 2 if leaves else None,
    )


def _terms(kind: _settings.JobKind) -> model.JobTerms:
    return model.JobTerms(
        kind.priority, kind.slack_factor, kind.target_ms, kind.max_attempts
    )


def _worth(
    kind: _settings.JobKind, work: tuple[_workers.TaskWork, ...]
) -> float:
    mean = kind.tasks.mean * kind.run_ms.mean * kind.cores.mean
    own = sum(item.run_ms * item.needs.cores for item in work)
    share = _FIXED_WORTH + (1 - _FIXED_WORTH) * own / mean
    return kind.worth * min(_MOST_WORTH, share)


def _draw_spread(spread: _settings.Spread, rng: random.Random) -> float:
    value = _vary(spread.mean, spread.sigma, rng)
    # Without outliers no number is drawn, so that setting none leaves the
    # numbers that a seed gives unchanged.
    if spread.tail and rng.random() < spread.tail:
        value *= spread.tail_factor
    return min(spread.most, value)


def _vary(mean: float, sigma: float, rng: random.Random) -> float:
    return mean * math.exp(rng.gauss(-sigma * sigma / 2, sigma))


def _load_at(
    experiment: _settings.Experiment, queue: str, at_s: float, phase: float
) -> float:
    wave = experiment.wave
    turn = 2 * math.pi * (at_s / wave.period_s + phase)
    load = 1 + wave.swing * math.sin(turn)
    for event in experiment.events:
        if _holds(event, 'burst', queue, at_s):
            load *= event.factor
    return load


def _most_load(experiment: _settings.Experiment, queue: str) -> float:
    most = 1 + experiment.wave.swing
    for event in experiment.events:
        if event.kind == 'burst' and event.queue in ('', queue):
            most *= max(1.0, event.factor)
    return most


def _share_at(
    experiment: _settings.Experiment,
    what: str,
    kind: _settings.JobKind,
    at_s: float,
) -> float:
    return max(
        (
            event.share
            for event in experiment.events
            if _holds(event, what, kind.queue, at_s)
        ),
        default=0.0,
    )


def _holds(event: _settings.Event, kind: str, queue: str, at_s: float) -> bool:
    if event.kind != kind or event.queue not in ('', queue):
        return False
    return event.at_s <= at_s < event.at_s + event.for_s
