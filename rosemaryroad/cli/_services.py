"""The commands on service documents."""

import pathlib
import typing

import typer

from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad import porcelain
from rosemaryroad import structure
from rosemaryroad import yamlfile
from rosemaryroad.cli import _context
from rosemaryroad.cli import _output

app = typer.Typer(no_args_is_help=True, help='Reads and changes documents.')

_VERSION_COLUMNS = (
    'service',
    'team',
    'version',
    'change',
    'change id',
    'state',
)

Service = typing.Annotated[str, typer.Argument(help='The service.')]
DocumentFile = typing.Annotated[
    pathlib.Path, typer.Argument(help='The document, in YAML or JSON.')
]

ChangeId = typing.Annotated[
    str | None, typer.Option(help='Names the change; random by default.')
]
DryRun = typing.Annotated[
    bool, typer.Option('--dry-run', help='Only show what would change.')
]


@app.command()
@_context.reporting
def put(
    context: typer.Context,
    file: DocumentFile,
    expected_version: typing.Annotated[
        int | None,
        typer.Option(
            min=0,
            help='The version that it replaces, 0 to create it; by default '
            'the one in force now.',
        ),
    ] = None,
    change_id: ChangeId = None,
    dry_run: DryRun = False,
) -> None:
    """Changes a document, unless another change came first."""
    shared = _context.shared(context)
    done = porcelain.service_put(
        shared.connection,
        _read(file),
        expected_version=_expected(expected_version),
        change_id=change_id,
        dry_run=dry_run,
    )
    _show_change(shared.output, done)


@app.command()
@_context.reporting
def delete(
    context: typer.Context,
    service: Service,
    version: typing.Annotated[
        int | None,
        typer.Option(
            min=1,
            help='The version that is deleted; by default the one in force '
            'now.',
        ),
    ] = None,
    change_id: ChangeId = None,
    dry_run: DryRun = False,
) -> None:
    """Deletes a service, unless another change came first."""
    shared = _context.shared(context)
    done = porcelain.service_delete(
        shared.connection,
        service,
        expected_version=porcelain.CURRENT if version is None else version,
        change_id=change_id,
        dry_run=dry_run,
    )
    _show_change(shared.output, done)


@app.command()
@_context.reporting
def get(context: typer.Context, service: Service) -> None:
    """Prints the document that is stored for a service."""
    shared = _context.shared(context)
    stored = porcelain.service_get(shared.connection, service)
    raw = structure.unstructure(stored)
    if shared.output is _context.Output.TABLE:
        # A table can't show a nested document; YAML can be put again.
        _output.show(
            _context.Output.YAML, raw['document'], _output.Table((), ())
        )
    else:
        _output.show(shared.output, raw, _output.Table((), ()))


@app.command('list')
@_context.reporting
def list_services(
    context: typer.Context,
    with_deleted: typing.Annotated[
        bool, typer.Option('--deleted', help='List deleted ones as well.')
    ] = False,
) -> None:
    """Lists the services of the token's team."""
    shared = _context.shared(context)
    found = porcelain.service_list(
        shared.connection, with_deleted=with_deleted
    )
    rows = tuple(
        (
            item.service,
            item.team,
            item.version,
            item.change_number,
            item.change_id,
            _state(item.deleted),
        )
        for item in found
    )
    raw = [structure.unstructure(item) for item in found]
    _output.show(shared.output, raw, _output.Table(_VERSION_COLUMNS, rows))


@app.command()
@_context.reporting
def history(context: typer.Context, service: Service) -> None:
    """Lists all versions of a document, oldest first."""
    shared = _context.shared(context)
    found = porcelain.service_history(shared.connection, service)
    raw = [structure.unstructure(item) for item in found]
    _show_versions(shared.output, found, raw)


@app.command()
@_context.reporting
def validate(
    context: typer.Context,
    file: DocumentFile,
    offline: typing.Annotated[
        bool, typer.Option('--offline', help='Check it here; ask nobody.')
    ] = False,
) -> None:
    """Checks a document without storing it."""
    shared = _context.shared(context)
    document = _read(file)
    if not offline:
        porcelain.service_validate(shared.connection, document)
    _output.show(
        shared.output,
        {'valid': True},
        _output.Table((), (), ('the document is valid',)),
    )


@app.command()
@_context.reporting
def change(
    context: typer.Context,
    change_id: typing.Annotated[str, typer.Argument(help='Its id.')],
) -> None:
    """Tells what became of a change whose answer was lost."""
    shared = _context.shared(context)
    stored = porcelain.change(shared.connection, change_id)
    _show_versions(shared.output, (stored,), structure.unstructure(stored))


def _read(path: pathlib.Path) -> model.Document:
    try:
        return structure.structure(yamlfile.load(path), model.Document)
    except errors.CheckFailed as error:
        raise errors.CheckFailed(
            error.problems, errors.ResultCode.DOCUMENT_INVALID
        ) from error


def _expected(version: int | None) -> typing.Any:
    if version is None:
        return porcelain.CURRENT
    return version or None


def _state(deleted: bool) -> str:
    return 'deleted' if deleted else 'present'


def _show_change(
    output: _context.Output, done: model.StoredDocument | porcelain.DryRun
) -> None:
    if isinstance(done, porcelain.DryRun):
        text = done.diff.rstrip('\n') or 'nothing would change'
        table = _output.Table((), (), (text,))
        _output.show(output, structure.unstructure(done), table)
    else:
        _show_versions(output, (done,), structure.unstructure(done))


def _show_versions(
    output: _context.Output,
    found: tuple[model.StoredDocument, ...],
    raw: typing.Any,
) -> None:
    rows = tuple(
        (
            item.document.service,
            item.document.team,
            item.version,
            item.change_number,
            item.change_id,
            _state(item.deleted),
        )
        for item in found
    )
    _output.show(output, raw, _output.Table(_VERSION_COLUMNS, rows))
