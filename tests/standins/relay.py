"""A TCP relay that stands for the network between two processes.

As a process it prints ``port=N`` and then takes one command a line on its
standard input (``swallow``, ``silence``, ``hold``, ``cut``, ``drop``,
``delay MS``, ``heal``), answering each with ``ok``. It ends with its input.
"""

import argparse
import asyncio
import enum
import socket
import sys

import attrs

from rosemaryroad import model
from tests.standins import _watched
from tests.standins import cut_transport

_Writer = asyncio.StreamWriter
_CHUNK_BYTES = 65536
_MS_PER_SECOND = 1000.0
_LOOPBACK = '127.0.0.1'
_BACKLOG = 128

# Both ends' kernels give up a silent connection after so long. They can't
# see the silence here, as the relay's kernel acknowledges for the far end,
# so the relay resets it for them. It is what ``make_socket`` of the
# endpoints' adapter sets.
DROP_LIMIT_S = 5.0


class Mode(enum.StrEnum):
    """What the relay does with bytes and with new connections."""

    PASS = 'heal'
    # Bytes are read and thrown away, on old and on new connections.
    SWALLOW = 'swallow'
    # Bytes wait, as TCP's retransmissions do in a cut that heals.
    HOLD = 'hold'
    # Connections are reset, old ones and new ones.
    CUT = 'cut'
    # As when packets get lost: bytes wait, for five seconds at most, and
    # new connections get no answer at all.
    DROP = 'drop'


@attrs.define(eq=False)
class _Pair:
    writers: tuple[_Writer, ...]
    dead: bool = False


class Relay(_watched.Watched):
    """Passes bytes on to a target until it is told otherwise."""

    def __init__(self, target: model.Address) -> None:
        super().__init__()
        self.accepted = 0
        self.swallowed_bytes = 0
        self._target = target
        self._mode = Mode.PASS
        self._is_one_way = False
        self._delay_s = 0.0
        self._pairs: set[_Pair] = set()
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task | None = None
        self._accepted: set[asyncio.Task] = set()
        self._fillers: list[socket.socket] = []

    async def start(self) -> model.Address:
        """Starts to listen on loopback and returns the address."""
        self._listener = socket.create_server((_LOOPBACK, 0), backlog=_BACKLOG)
        self._listener.setblocking(False)
        self._accepting = asyncio.create_task(self._accept_all())
        host, port = self._listener.getsockname()[:2]
        return model.Address(host, port)

    def set_mode(self, mode: Mode, one_way: bool = False) -> None:
        """Changes what happens to bytes and connections from now on.

        Args:
            mode: What happens.
            one_way: Whether bytes towards the target pass all the same.
        """
        self._is_one_way = one_way
        if mode is Mode.DROP and self._mode is not mode:
            self._stop_accepting()
            loop = asyncio.get_running_loop()
            loop.call_later(DROP_LIMIT_S, self._end_silent, set(self._pairs))
        elif self._mode is Mode.DROP and mode is not Mode.DROP:
            self._accept_again()
        self._mode = mode
        if mode is Mode.CUT:
            for pair in list(self._pairs):
                _abort(pair)
        self._notify()

    def _stop_accepting(self) -> None:
        # A full queue of connections that nobody accepts makes the kernel
        # drop each further attempt, as a network would.
        self._accepting.cancel()
        self._listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def _accept_again(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listener.listen(_BACKLOG)
        self._accepting = asyncio.create_task(self._accept_all())

    def _end_silent(self, pairs: set[_Pair]) -> None:
        if self._mode is Mode.DROP:
            for pair in pairs:
                _abort(pair)

    async def _accept_all(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            streams = await asyncio.open_connection(sock=connection)
            task = asyncio.create_task(self._accept(*streams))
            self._accepted.add(task)
            task.add_done_callback(self._accepted.discard)

    def silence_open(self) -> None:
        """Does as a device that has lost track of its connections.

        They go silent for good; new ones work.
        """
        for pair in self._pairs:
            pair.dead = True

    def set_delay(self, ms: float) -> None:
        """Delays all bytes from now on, each direction by itself."""
        self._delay_s = ms / _MS_PER_SECOND

    async def close(self) -> None:
        self.set_mode(Mode.CUT)
        await self.wait_until(lambda: not self._pairs)
        if self._listener is not None:
            self._accepting.cancel()
            await asyncio.gather(self._accepting, return_exceptions=True)
            await asyncio.gather(*self._accepted, return_exceptions=True)
            self._listener.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: _Writer
    ) -> None:
        self.accepted += 1
        pair = _Pair((writer,))
        self._pairs.add(pair)
        self._notify()
        try:
            if self._mode is Mode.CUT:
                return
            target_reader, target_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
            pair.writers = (writer, target_writer)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pump(pair, reader, target_writer))
                tasks.create_task(self._pump(pair, target_reader, writer))
        except* OSError:
            # Either end has reset its side; so is the other one, below.
            pass
        finally:
            _abort(pair)
            self._pairs.discard(pair)
            self._notify()

    async def _pump(
        self, pair: _Pair, reader: asyncio.StreamReader, writer: _Writer
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._write(pair, queue, writer))
            loop = asyncio.get_running_loop()
            while True:
                data = await reader.read(_CHUNK_BYTES)
                queue.put_nowait((loop.time() + self._delay_s, data))
                if not data:
                    return

    async def _write(
        self, pair: _Pair, queue: asyncio.Queue, writer: _Writer
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - loop.time()))
            passes = self._is_one_way and writer is pair.writers[-1]
            while self._mode in (Mode.HOLD, Mode.DROP) and not passes:
                await self._changed.wait()
            if pair.dead or (self._mode is Mode.SWALLOW and not passes):
                # A stream with a hole in it can't be taken up again.
                pair.dead = True
                self.swallowed_bytes += len(data)
                self._notify()
            elif data:
                writer.write(data)
                await writer.drain()
            if not data:
                if not pair.dead:
                    writer.write_eof()
                return


def _abort(pair: _Pair) -> None:
    for writer in pair.writers:
        if not writer.transport.is_closing():
            cut_transport.reset(writer.transport)


async def _obey(relay: Relay) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    print(f'port={(await relay.start()).port}', flush=True)
    async for line in reader:
        command, *arguments = line.decode().split()
        if command == 'delay':
            relay.set_delay(float(arguments[0]))
        elif command == 'silence':
            relay.silence_open()
        else:
            relay.set_mode(Mode(command))
        print('ok', flush=True)
    await relay.close()


async def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('target', type=model.Address.parse)
    await _obey(Relay(parser.parse_args().target))


if __name__ == '__main__':
    asyncio.run(_main())
