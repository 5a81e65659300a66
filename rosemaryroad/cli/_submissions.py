"""The commands that submit, wait and cancel."""

import base64
import pathlib
import sys
import typing

import typer

from rosemaryroad import client
from rosemaryroad import model
from rosemaryroad import porcelain
from rosemaryroad.cli import _context
from rosemaryroad.cli import _output

_STDIN = '-'

Session = typing.Annotated[
    str, typer.Argument(help='The session, as "submit" printed it.')
]
Name = typing.Annotated[
    str, typer.Argument(help='The name, as "submit" printed it.')
]


def submit(
    context: typer.Context,
    service: typing.Annotated[str, typer.Argument(help='The service.')],
    payload: typing.Annotated[
        list[str] | None, typer.Argument(help='One task each.')
    ] = None,
    lines: typing.Annotated[
        str | None,
        typer.Option(help='A file with one task a line; "-" for stdin.'),
    ] = None,
    file: typing.Annotated[
        list[pathlib.Path] | None,
        typer.Option(help="A file that is one task's payload."),
    ] = None,
    run_ms: typing.Annotated[
        float, typer.Option(min=0, help='The declared run time of a task.')
    ] = model.DEFAULT_RUN_MS,
    cores: typing.Annotated[
        float, typer.Option(min=0, help='Cores that a task needs.')
    ] = 1.0,
    memory_mb: typing.Annotated[
        int, typer.Option(min=0, help='Memory that a task needs.')
    ] = 0,
    accelerators: typing.Annotated[
        int, typer.Option(min=0, help='Accelerators that a task needs.')
    ] = 0,
    deadline_ms: typing.Annotated[
        float | None,
        typer.Option(min=1, help='When the answer is of no more use.'),
    ] = None,
    idempotent: typing.Annotated[
        bool, typer.Option(help='Whether running it twice does no harm.')
    ] = True,
    name: typing.Annotated[
        str | None, typer.Option(help='Its name; random by default.')
    ] = None,
    wait_for_answer: typing.Annotated[
        bool, typer.Option('--wait/--no-wait', help='Wait for the answer.')
    ] = True,
) -> None:
    """Submits a job and prints its whole answer."""
    shared = _context.shared(context)
    needs = model.Needs(cores, memory_mb, accelerators)
    payloads = _payloads(payload or [], lines, file or [])
    if not payloads:
        raise _context.usage('there is no task to submit')
    with _output.ProgressBar() as on_progress:
        state = porcelain.submit(
            shared.connection,
            service,
            [model.Task(item, run_ms, needs) for item in payloads],
            deadline_ms=deadline_ms,
            idempotent=idempotent,
            name=name,
            wait_for_answer=wait_for_answer,
            on_progress=on_progress,
        )
    _show(shared.output, state)


def wait(context: typer.Context, session: Session, name: Name) -> None:
    """Waits for the whole answer to a submission and prints it."""
    shared = _context.shared(context)
    handle = client.Handle(session, name)
    with _output.ProgressBar() as on_progress:
        whole = porcelain.wait(shared.connection, handle, on_progress)
    _show(shared.output, whole)


def cancel(context: typer.Context, session: Session, name: Name) -> None:
    """Cancels a submission."""
    shared = _context.shared(context)
    handle = client.Handle(session, name)
    cancelled = porcelain.cancel(shared.connection, handle)
    text = 'cancelled' if cancelled else 'answered before'
    _output.show(
        shared.output,
        {'cancelled': cancelled},
        _output.Table((), (), (text,)),
    )


def _payloads(
    payload: list[str], lines: str | None, files: list[pathlib.Path]
) -> list[bytes]:
    found = [item.encode() for item in payload]
    try:
        found += [path.read_bytes() for path in files]
        if lines == _STDIN:
            found += sys.stdin.buffer.read().splitlines()
        elif lines is not None:
            found += pathlib.Path(lines).read_bytes().splitlines()
    except OSError as error:
        raise _context.usage(str(error)) from error
    return found


def _show(
    output: _context.Output, state: client.Whole | client.Running
) -> None:
    raw = {
        'session': state.handle.session,
        'name': state.handle.name,
        'request_id': state.request_id,
    }
    notes = (
        f'session: {state.handle.session}',
        f'name: {state.handle.name}',
        f'request id: {state.request_id}',
    )
    if isinstance(state, client.Running):
        raw |= {'state': 'running', 'tasks': state.tasks}
        table = _output.Table((), (), ('state: running', *notes))
    else:
        results = [base64.b64encode(item).decode() for item in state.results]
        raw |= {'state': 'done', 'results': results}
        rows = tuple(
            (index, item.decode(errors='replace'))
            for index, item in enumerate(state.results)
        )
        table = _output.Table(('task', 'result'), rows, notes)
    _output.show(output, raw, table)
