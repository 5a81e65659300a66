"""The commands of operators: status, drain and reports."""

import collections.abc
import pathlib
import typing

import typer

from rosemaryroad import dispatching
from rosemaryroad import errors
from rosemaryroad import porcelain
from rosemaryroad import structure
from rosemaryroad.cli import _context
from rosemaryroad.cli import _output

report_app = typer.Typer(no_args_is_help=True, help='Reports.')

_STATUS_COLUMNS = (
    'vm',
    'domain',
    'state',
    'head',
    'peers',
    'service',
    'version',
    'waiting',
    'out',
    'window',
    'endpoints',
)
_DRAIN_COLUMNS = ('entry VM', 'failure domain', 'drained for s')
_QUEUE_COLUMNS = (
    'queue',
    'tasks waiting',
    'cores in use',
    'jobs refused',
    'tasks preempted',
    'expected wait ms',
)
_SHARE_COLUMNS = ('cores in use', 'share', 'over its share', 'weight')
_BURN_COLUMNS = (
    'service',
    'window',
    'answers',
    'bad',
    'budget',
    'rate',
    'late',
    'failed',
    'refused',
    'by code',
)


def status(context: typer.Context) -> None:
    """Shows peers, services, queues and windows of every entry VM."""
    shared = _context.shared(context)
    report = porcelain.status(shared.connection)
    rows = tuple(
        row for entry in report.reached for row in _status_rows(entry.body)
    )
    _show_report(shared, report, _STATUS_COLUMNS, rows)


def drains(context: typer.Context) -> None:
    """Shows the drained failure domains, and for how long they are.

    Asks the entry VMs at their addresses for operators. One that has not
    heard of a drain yet doesn't show it.
    """
    shared = _context.shared(context)
    report = porcelain.drained_domains(shared.connection)
    rows = tuple(
        (entry.address, item['failure_domain'], f'{item["age_ms"] / 1e3:.1f}')
        for entry in report.reached
        for item in entry.body['drains']
    )
    _show_report(shared, report, _DRAIN_COLUMNS, rows)


def scheduling(context: typer.Context) -> None:
    """Shows who waits, who has room and who was refused, by queue.

    Asks the entry VMs at their addresses for operators, and adds up what
    their dispatchers do. Refusals count since a dispatcher began.
    """
    shared = _context.shared(context)
    report = porcelain.scheduling(shared.connection)
    raw = structure.unstructure(report.view) | {
        'reached': list(report.reached),
        'not_reached': [
            structure.unstructure(item) for item in report.not_reached
        ],
    }
    _output.show(shared.output, raw, *_scheduling_tables(report))
    _fail_if_nobody(bool(report.reached))


def drain(context: typer.Context) -> None:
    """Has the one entry VM at --address answer what it holds and end."""
    shared = _context.shared(context)
    if len(shared.addresses) != 1:
        raise _context.usage('drain needs exactly one --address')
    porcelain.drain(shared.connection)
    _output.show(
        shared.output,
        {'state': 'draining'},
        _output.Table((), (), ('draining',)),
    )


@report_app.command()
@_context.reporting
def burn(
    context: typer.Context,
    page: typing.Annotated[
        pathlib.Path | None,
        typer.Option('--html', help='Write a page with plots there too.'),
    ] = None,
) -> None:
    """Shows how fast each service spends its error budget."""
    # Only this command needs the plotting library, which takes long to
    # import.
    from rosemaryroad import burn_report

    shared = _context.shared(context)
    report = porcelain.report_burn(shared.connection)
    found = burn_report.rows(report)
    if page is not None:
        page.write_text(burn_report.page(report), encoding='utf-8')
    rows = tuple(
        (
            row.service,
            row.window,
            row.answers,
            row.bad,
            f'{row.budget:.3%}',
            f'{row.rate:.2f}',
            row.late,
            row.failed,
            row.refused,
            ', '.join(row.by_code),
        )
        for row in found
    )
    raw = {
        'rows': [structure.unstructure(row) for row in found],
        'reached': list(report.reached),
        'not_reached': [
            structure.unstructure(item) for item in report.not_reached
        ],
    }
    table = _output.Table(_BURN_COLUMNS, rows, _missing(report.not_reached))
    _output.show(shared.output, raw, table)
    _fail_if_nobody(bool(report.reached))


def _show_report(
    shared: _context.Shared,
    report: porcelain.StatusReport,
    columns: tuple[str, ...],
    rows: tuple[tuple[object, ...], ...],
) -> None:
    raw = {
        'reached': [
            {'address': entry.address, **entry.body}
            for entry in report.reached
        ],
        'not_reached': [
            structure.unstructure(item) for item in report.not_reached
        ],
    }
    table = _output.Table(columns, rows, _missing(report.not_reached))
    _output.show(shared.output, raw, table)
    _fail_if_nobody(bool(report.reached))


def _scheduling_tables(
    report: porcelain.SchedulingReport,
) -> collections.abc.Iterator[_output.Table]:
    view = report.view
    queues = tuple(
        _queue_row(name, queue)
        for name, queue in sorted(
            view.queue_by_name.items(),
            key=lambda item: (-item[1].waiting_tasks, item[0]),
        )
    )
    in_use = sum(queue.cores for queue in view.queue_by_name.values())
    note = (
        f'{in_use:.1f} of {view.cores:.1f} cores in use by queues, '
        f'{view.unassigned_cores:.1f} by attempts without a job'
    )
    yield _output.Table(_QUEUE_COLUMNS, queues, (note,))
    shares = tuple(
        (
            name,
            f'{share.cores:.1f}',
            f'{share.share:.1%}',
            'yes' if share.is_over else 'no',
            f'{share.weight:g}',
        )
        for name, share in sorted(view.share_by_name.items())
    )
    columns = (view.sharing.value, *_SHARE_COLUMNS)
    yield _output.Table(columns, shares, _missing(report.not_reached))


def _queue_row(name: str, queue: dispatching.QueueView) -> tuple[object, ...]:
    refused = ', '.join(
        f'{count} {cause.value}'
        for cause, count in sorted(queue.refusals_by_cause.items())
    )
    return (
        name,
        queue.waiting_tasks,
        f'{queue.cores:.1f}',
        refused,
        queue.preempted_tasks,
        f'{queue.expected_wait_ms:.0f}',
    )


def _status_rows(
    body: dict[str, typing.Any],
) -> collections.abc.Iterator[tuple[object, ...]]:
    peers = body.get('peers', [])
    heard = sum(1 for peer in peers if peer.get('heard'))
    head = (
        body.get('vm'),
        body.get('failure_domain'),
        'draining' if body.get('draining') else 'serving',
        body.get('head'),
        f'{heard}/{len(peers)}',
    )
    services = body.get('services', [])
    for service in services:
        view = service.get('view', {})
        endpoints = view.get('endpoints', [])
        yield (
            *head,
            view.get('service'),
            service.get('version'),
            view.get('waiting'),
            view.get('outstanding'),
            view.get('window'),
            _endpoint_states(endpoints),
        )
    if not services:
        yield (*head, *('' for _ in _STATUS_COLUMNS[len(head) :]))


def _endpoint_states(endpoints: list[dict[str, typing.Any]]) -> str:
    counts: dict[str, int] = {}
    for endpoint in endpoints:
        state = str(endpoint.get('state'))
        counts[state] = counts.get(state, 0) + 1
    return ', '.join(f'{count} {state}' for state, count in counts.items())


def _missing(
    not_reached: tuple[porcelain.NotReached, ...],
) -> tuple[str, ...]:
    return tuple(
        f'not reached: {item.address} ({item.detail})' for item in not_reached
    )


def _fail_if_nobody(reached: bool) -> None:
    if not reached:
        raise errors.RosemaryroadError(
            'no entry VM was reached', errors.ResultCode.DAEMON_UNREACHABLE
        )
