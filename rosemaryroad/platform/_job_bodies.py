"""Jobs as callers hand them in, decoded."""

import typing

from rosemaryroad import _json_values
from rosemaryroad import model

_MILLI = 1000.0

# A dispatcher keeps a state for each task; a job without bounds would take the
# memory of all others. The largest that are planned for have 1,500.
_MOST_TASKS = 20_000

# Kinds of steps and jobs that aren't served yet; handed in, they are
# refused as never run.
_UNSERVED_JOB = ('repeat_count', 'long_running')
_UNSERVED_STEP = (
    'after',
    'gang',
    'same_rack',
    'long_running',
    'fills',
    'max_missing',
)


class Unserved(Exception):
    """A job asks for what isn't served here."""


class Malformed(Exception):
    """A body is no job."""


def read_job(job_id: str, route: model.QueueRoute, body: bytes) -> model.Job:
    """Reads a job.

    Args:
        job_id: The id that its client chose.
        route: The queue that it is for.
        body: What the client sent.

    Raises:
        Malformed: It makes no sense.
        Unserved: It isn't served here.
    """
    try:
        raw = _json_values.load(body)
    except ValueError as error:
        raise Malformed('not JSON') from error
    if not isinstance(raw, dict) or not job_id:
        raise Malformed('not a job')
    steps = raw.get('steps')
    if not isinstance(steps, list) or not steps:
        raise Malformed('steps')
    if not all(isinstance(step, dict) for step in steps):
        raise Malformed('steps')
    _check_served(raw, steps)
    return _make_job(job_id, route, raw, steps[0])


def _check_served(raw: dict[str, typing.Any], steps: list[dict]) -> None:
    # "best_effort" says that the job needn't outlive its connection.
    if not raw.get('best_effort'):
        raise Unserved('jobs that must be stored')
    if len(steps) > 1:
        raise Unserved('several steps')
    asked = [name for name in _UNSERVED_JOB if raw.get(name)]
    asked += [name for name in _UNSERVED_STEP if steps[0].get(name)]
    if asked:
        raise Unserved(', '.join(asked))


def _make_job(
    job_id: str,
    route: model.QueueRoute,
    raw: dict[str, typing.Any],
    step: dict[str, typing.Any],
) -> model.Job:
    count = _whole(step, 'count')
    if count < 1:
        raise Malformed('count')
    if count > _MOST_TASKS:
        raise Unserved(f'more than {_MOST_TASKS} tasks')
    return model.Job(
        id=job_id,
        queue=route.name,
        service=route.service,
        payload=_text(raw, 'spec'),
        tasks=count,
        needs=model.Needs(
            # "cpu" is in thousandths of a core.
            cores=_whole(step, 'cpu') / _MILLI,
            memory_mb=_whole(step, 'mem_mb'),
            accelerators=_whole(step, 'gpu'),
        ),
        estimate_ms=float(max(1, _whole(step, 'est_ms'))),
        terms=route.terms,
        label=_text(step, 'requires'),
        # "affinity" names the rack where the data is.
        rack=_text(step, 'affinity'),
        max_per_worker=_whole(step, 'max_per_server'),
    )


def _whole(raw: dict[str, typing.Any], name: str) -> int:
    value = raw.get(name, 0)
    if type(value) is float and value.is_integer():
        value = int(value)
    if not _json_values.is_whole(value):
        raise Malformed(name)
    return value


def _text(raw: dict[str, typing.Any], name: str) -> str:
    value = raw.get(name, '')
    if not _json_values.is_text(value):
        raise Malformed(name)
    return value
