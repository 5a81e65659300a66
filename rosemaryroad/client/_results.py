"""What a caller is given."""

import base64
import collections.abc
import typing

import attrs


@attrs.frozen
class Handle:
    """What names a submission, for waiting and cancelling later.

    Attributes:
        session: The session's id.
        name: The submission's name in it.
    """

    session: str
    name: str

    @property
    def path(self) -> str:
        """The path of the submission at any entry VM."""
        return f'/v1/sessions/{self.session}/submissions/{self.name}'


@attrs.frozen
class Whole:
    """The whole answer to a submission.

    Attributes:
        handle: The submission.
        results: One result for each task, in the order submitted.
        request_id: The id to look for in the logs of the entry VMs.
    """

    handle: Handle
    results: tuple[bytes, ...]
    request_id: str = ''


@attrs.frozen
class Running:
    """A submission has no answer yet.

    Attributes:
        handle: The submission.
        done_tasks: Tasks with a result, or None where it is not known.
        tasks: Tasks in all, or None where it is not known.
        request_id: The id to look for in the logs of the entry VMs.
    """

    handle: Handle
    done_tasks: int | None = None
    tasks: int | None = None
    request_id: str = ''


Progress: typing.TypeAlias = collections.abc.Callable[[Running], None]


def read(
    handle: Handle, body: dict[str, typing.Any], request_id: str
) -> Whole | Running:
    """Reads the body of a reply that is no error."""
    if body.get('state') == 'done':
        results = tuple(base64.b64decode(item) for item in body['results'])
        return Whole(handle, results, request_id)
    return Running(
        handle, body.get('done_tasks'), body.get('tasks'), request_id
    )
