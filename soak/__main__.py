"""Plays seeds: ``python -m soak --first 1 --seeds 50 --keep DIR``."""

import argparse
import asyncio
import logging
import pathlib
import signal
import sys

from soak import plan
from soak import run

_SHAPE = plan.Shape()


def main() -> int:
    """Plays the seeds that the arguments name.

    Returns:
        0 when no promise was broken.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--daemons', type=int, default=_SHAPE.daemons)
    parser.add_argument('--workers', type=int, default=_SHAPE.workers)
    parser.add_argument('--cells', type=int, default=_SHAPE.cells)
    parser.add_argument('--seconds', type=float, default=_SHAPE.seconds)
    parser.add_argument('--jobs-per-s', type=float, default=_SHAPE.jobs_per_s)
    parser.add_argument('--keep', type=pathlib.Path, help='logs of failures')
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    shape = plan.Shape(
        options.daemons,
        options.workers,
        options.cells,
        options.seconds,
        options.jobs_per_s,
    )
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        outcome = asyncio.run(_play(seed, shape))
        failed += bool(outcome.broken)
        _print(outcome)
        if outcome.broken and options.keep is not None:
            _keep(outcome, options.keep)
    print(f'{options.seeds - failed} seeds passed, {failed} failed')
    return 1 if failed else 0


async def _play(seed: int, shape: plan.Shape) -> run.Outcome:
    # Ended at once, the soak would leave its daemons running.
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await run.play(seed, shape)


def _print(outcome: run.Outcome) -> None:
    kinds = sorted({fault.kind.value for fault in outcome.faults})
    word = 'BROKEN' if outcome.broken else 'kept'
    print(
        f'seed {outcome.seed}: {word}, {outcome.completed} of '
        f'{outcome.jobs} jobs done, {outcome.late} late requests, '
        f'{len(outcome.faults)} faults '
        f'({", ".join(kinds)})',
        flush=True,
    )
    for item in outcome.broken[:10]:
        print(f'  {item.promise}: {item.what}', flush=True)


def _keep(outcome: run.Outcome, folder: pathlib.Path) -> None:
    target = folder / f'seed-{outcome.seed}'
    target.mkdir(parents=True, exist_ok=True)
    for name, lines in outcome.lines.items():
        (target / f'{name}.log').write_text('\n'.join(lines))
    plan_lines = [str(fault) for fault in outcome.faults]
    plan_lines += [f'{item.promise}: {item.what}' for item in outcome.broken]
    (target / 'plan.txt').write_text('\n'.join(plan_lines))


if __name__ == '__main__':
    sys.exit(main())
