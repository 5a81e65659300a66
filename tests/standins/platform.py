"""A stand-in for the platform's table service and VM list.

Run it with ``python -m tests.standins.platform --ready-file PATH``; it
writes its ``IP:port`` there. ``/control`` holds the switches and counts.
"""

import argparse
import asyncio
import collections.abc
import functools
import hashlib

import attrs
import sanic
import sanic.response
import uvloop

from rosemaryroad import structure
from tests.standins import _platform_state
from tests.standins import _serve

MS_PER_SECOND = 1000.0
_STATUS_BY_DOWN = {
    _platform_state.Down.REFUSE: 503,
    _platform_state.Down.GATEWAY: 502,
    _platform_state.Down.GARBLE: 200,
}
_Part = _platform_state.Part
_State = _platform_state.PlatformState
_Reply = sanic.HTTPResponse
_Write = collections.abc.Callable[[], object]


def make_app(state: _State | None = None) -> sanic.Sanic:
    """Makes the app, over a state that a test may look at directly."""
    app = _serve.make_app('platform-standin')
    app.ctx.state = state or _State()
    app.ctx.late_writes = []
    app.register_middleware(_misbehave, 'request')
    for handler, path, methods in _ROUTES:
        app.add_route(handler, path, methods=methods)
    return app


def _state(request: sanic.Request) -> _State:
    return request.app.ctx.state


async def _misbehave(request: sanic.Request) -> _Reply | None:
    name = request.path.split('/')[1]
    if name not in set(_Part):
        return None
    part = _Part(name)
    switches = _state(request).switches_by_part[part]
    _count(request, part)
    if switches.down is _platform_state.Down.DROP:
        await _drop(request)
    if switches.down is not _platform_state.Down.NO:
        status = _STATUS_BY_DOWN[switches.down]
        return sanic.response.text('out of order', status=status)
    if switches.swallow:
        _state(request).counts_by_part[part].held += 1
        await asyncio.sleep(_serve.FOREVER_S)
    if switches.delay_ms:
        _state(request).counts_by_part[part].held += 1
        await asyncio.sleep(switches.delay_ms / MS_PER_SECOND)
    return None


def _count(request: sanic.Request, part: _Part) -> None:
    counts = _state(request).counts_by_part[part]
    if request.method == 'GET':
        counts.reads += 1
    else:
        counts.write_requests += 1


async def _drop(request: sanic.Request) -> None:
    # The loss of the connection cancels this handler, so nothing is sent.
    request.transport.abort()
    await asyncio.sleep(_serve.FOREVER_S)


async def _write(request: sanic.Request, part: _Part, write: _Write) -> object:
    """Carries out a write, and loses its answer where it is told to."""
    switches = _state(request).switches_by_part[part]
    if switches.late_writes:
        switches.late_writes -= 1
        request.app.ctx.late_writes.append(write)
        await _drop(request)
    result = write()
    if switches.lose_answers:
        switches.lose_answers -= 1
        await _drop(request)
    return result


async def _get_row(request: sanic.Request) -> _Reply:
    rows = _state(request).rows(request.args.get('table', ''))
    row = rows.get(request.args.get('key', ''))
    if row is None:
        return sanic.response.json({'error': 'no such row'}, status=404)
    return sanic.response.json(attrs.asdict(row))


async def _get_rows(request: sanic.Request) -> _Reply:
    get = request.args.get
    rows = _state(request).rows(get('table', ''))
    found = _platform_state.select(rows, get('prefix', ''), get('after', ''))
    found = found[: int(get('limit', '1000'))]
    return sanic.response.json({'rows': [attrs.asdict(row) for row in found]})


async def _post_transaction(request: sanic.Request) -> _Reply:
    state = _state(request)
    kind = _platform_state.Transaction
    transaction = structure.structure(request.json, kind)
    work = functools.partial(state.transact, transaction)
    result = await _write(request, _Part.TABLE, work)
    status = 200 if result.committed else 409
    return sanic.response.json(structure.unstructure(result), status=status)


async def _get_vms(request: sanic.Request) -> _Reply:
    state = _state(request)
    switches = state.switches_by_part[_Part.VMS]
    reply = sanic.response.json({'vms': state.listed_vms()})
    etag = f'"{hashlib.sha256(reply.body).hexdigest()}"'
    asked = request.headers.get('if-none-match')
    if switches.claim_unchanged or (switches.etags and asked == etag):
        reply = sanic.response.empty(status=304)
    if switches.etags:
        reply.headers['etag'] = etag
    state.counts_by_part[_Part.VMS].reply_bytes += _size(reply)
    return reply


def _size(reply: _Reply) -> int:
    fields = {**reply.headers, 'content-type': reply.content_type or ''}
    fields |= {'content-length': len(reply.body), 'connection': 'keep-alive'}
    lines = [f'{name}: {value}\r\n' for name, value in fields.items()]
    status = f'HTTP/1.1 {reply.status} OK\r\n\r\n'
    return len(status) + sum(map(len, lines)) + len(reply.body)


async def _put_vms(request: sanic.Request) -> _Reply:
    _state(request).vms = request.json['vms']
    return sanic.response.empty()


async def _get_control(request: sanic.Request) -> _Reply:
    counts = structure.unstructure(_state(request).counts_by_part)
    return sanic.response.json({'counts': counts})


async def _put_switches(request: sanic.Request, part: str) -> _Reply:
    # Switches that the body leaves out go back to "no fault".
    switches = structure.structure(request.json, _platform_state.Switches)
    _state(request).set_switches(_Part(part), switches)
    return sanic.response.empty()


_ROUTES = (
    (_get_row, '/table/row', ['GET']),
    (_get_rows, '/table/rows', ['GET']),
    (_post_transaction, '/table/transactions', ['POST']),
    (_get_vms, '/vms', ['GET']),
    (_get_control, '/control', ['GET']),
    (_put_vms, '/control/vms/list', ['PUT']),
    (_put_switches, '/control/<part:str>', ['PUT']),
)


async def _run(arguments: argparse.Namespace) -> None:
    serving = await _serve.start(make_app(), arguments.port)
    await _serve.until_sigterm(arguments.ready_file, serving.address)
    await serving.stop()


if __name__ == '__main__':
    uvloop.run(_run(_serve.make_parser().parse_args()))
