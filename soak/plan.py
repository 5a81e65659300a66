"""Which faults come when; the same ones for the same seed."""

import enum
import random

import attrs

from harness import jobs

# Faults are drawn so that two or three overlap most of the time.
_MEAN_GAP_S = 0.9
_LENGTHS_S = (0.3, 0.8, 1.5, 3.0)

# How many seeds have daemons that are lost or parted again and again.
_CHANGES_SHARE = 0.8

# How often a fault comes again right after its end, as in a series.
_SERIES_SHARE = 0.25


class Kind(enum.StrEnum):
    """What goes wrong."""

    KILL = 'kill'
    LEAVE = 'leave'
    FREEZE = 'freeze'
    STORE_DOWN = 'store down'
    STORE_SILENT = 'store silent'
    STORE_SLOW = 'store slow'
    STORE_LOSES = 'store loses answers'
    STORE_GARBLES = 'store garbles'
    STORE_FORGETS = 'store forgets'
    CUT = 'cut'
    PARTED = 'daemons parted'
    SILENCE = 'silence'
    ONE_WAY = 'one way'
    DROP = 'drop'
    DELAY = 'delay'
    LINKS_DIE = 'links die'
    WORKER_CRASHES = 'worker crashes'
    WORKER_RESTARTS = 'worker starts again'
    WORKER_LEAVES = 'worker leaves'
    WORKER_LOSES = 'worker loses answers'
    WORKER_FAILS = 'worker fails all'
    WORKER_HANGS = 'worker hangs'
    WORKER_REFUSES = 'worker refuses'
    ORDERS_LOST = 'orders to workers lost'
    QUEUES = 'queues change'
    DAMAGED_ROW = 'damaged row'


# Faults of daemons, and of the network between them.
DAEMON_KINDS = (Kind.KILL, Kind.LEAVE, Kind.FREEZE)
NETWORK_KINDS = (
    Kind.CUT,
    Kind.PARTED,
    Kind.SILENCE,
    Kind.ONE_WAY,
    Kind.DROP,
    Kind.DELAY,
    Kind.LINKS_DIE,
)

# These make two dispatchers out of one, or let one's orders get lost; the cut
# of a failure domain makes one of them take tasks for lapsed meanwhile.
_KINDS_BESIDE_A_CUT = (Kind.ORDERS_LOST, Kind.PARTED)
_CUT_KINDS = (Kind.CUT, Kind.SILENCE, Kind.DROP)
_CUT_LENGTHS_S = (1.5, 3.0)


@attrs.frozen
class Shape:
    """The size of what is played.

    Attributes:
        daemons: How many daemons there are.
        workers: How many workers.
        cells: How many cells.
        seconds: For how long faults come.
        jobs_per_s: How many jobs come.
    """

    daemons: int = 4
    workers: int = 8
    cells: int = 1
    seconds: float = 10.0
    jobs_per_s: float = 18.0


@attrs.frozen
class Fault:
    """One fault.

    Attributes:
        at_s: When it begins.
        for_s: How long it lasts.
        kind: What goes wrong.
        daemons: The daemons that it concerns, by number.
        worker: The worker that it concerns, by number.
    """

    at_s: float
    for_s: float
    kind: Kind
    daemons: frozenset[int] = frozenset()
    worker: int = 0

    @property
    def ends_s(self) -> float:
        """When it ends."""
        return self.at_s + self.for_s


def draw(seed: int, shape: Shape) -> tuple[Fault, ...]:
    """Returns the faults of a seed, in the order of their beginning."""
    rng = random.Random(seed)
    # Each seed has a taste of its own, so that rare pairs come often in one.
    # Most have daemons that are lost or parted, since promises are hardest
    # to keep while a dispatcher changes.
    kinds = rng.sample(list(Kind), k=rng.randint(2, 7))
    if rng.random() < _CHANGES_SHARE:
        kinds += 2 * [rng.choice(DAEMON_KINDS + NETWORK_KINDS)]
    found = []
    at_s = rng.uniform(0.2, 1.0)
    while at_s < shape.seconds:
        fault = _draw_one(rng, shape, at_s, rng.choice(kinds))
        found.append(fault)
        if fault.kind in _KINDS_BESIDE_A_CUT:
            found.append(_draw_cut_beside(rng, shape, fault))
        while rng.random() < _SERIES_SHARE and fault.ends_s < shape.seconds:
            gap_s = rng.uniform(0.05, 1.0)
            fault = attrs.evolve(fault, at_s=fault.ends_s + gap_s)
            found.append(fault)
        at_s += rng.expovariate(1 / _MEAN_GAP_S)
    return tuple(sorted(found, key=lambda fault: fault.at_s))


def _draw_one(
    rng: random.Random, shape: Shape, at_s: float, kind: Kind
) -> Fault:
    everyone = range(shape.daemons)
    most = shape.daemons if rng.random() < 0.3 else 1
    if kind in NETWORK_KINDS:
        # With all daemons on one side there is no cut.
        most = max(1, shape.daemons - 1)
    chosen = rng.sample(everyone, k=rng.randint(1, most))
    return Fault(
        round(at_s, 3),
        rng.choice(_LENGTHS_S),
        kind,
        frozenset(chosen),
        rng.randrange(shape.workers),
    )


def _draw_cut_beside(rng: random.Random, shape: Shape, fault: Fault) -> Fault:
    """Draws the cut of a failure domain that begins during a fault."""
    everyone = range(shape.daemons)
    domain = jobs.domain_of(rng.choice(everyone))
    return Fault(
        round(fault.at_s + rng.uniform(0.0, fault.for_s), 3),
        rng.choice(_CUT_LENGTHS_S),
        rng.choice(_CUT_KINDS),
        frozenset(n for n in everyone if jobs.domain_of(n) == domain),
    )
