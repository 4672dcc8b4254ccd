"""Fault-injecting TCP proxy.

Each direction has a plan of its own, which can be changed while connections are open. Plans can
also be set for connections of one source, which a callback recognises by the source port.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Annotated

import typer

from .program import LOOPBACK, report_listening, run_program

READ_BYTES = 64 * 1024
QUEUED_CHUNKS = 64

IdentifySource = Callable[[int], Awaitable[str]]


class ProxyMode(enum.StrEnum):
    """What happens to the bytes of one direction."""

    PASS = "pass"
    CUT = "cut"
    DROP = "drop"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class DirectionPlan:
    """Treatment of one direction.

    Attributes:
        mode: `pass` forwards. `cut` resets the connections, in both directions, and refuses
            new ones. `drop` discards, as a network partition does: nothing arrives and no end
            sees a reset. When the mode changes, connections that lost bytes and connections
            that were begun meanwhile are reset. `hold` keeps up to 4 MB a connection and
            forwards it, late, when the mode changes.
        delay_ms: Delay of each chunk in `pass`.
    """

    mode: ProxyMode = ProxyMode.PASS
    delay_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ProxyPlan:
    """Treatment of connections.

    Attributes:
        forward: From the connecting side to the target.
        backward: From the target to the connecting side.
    """

    forward: DirectionPlan = DirectionPlan()
    backward: DirectionPlan = DirectionPlan()

    @classmethod
    def both(cls, mode: ProxyMode, delay_ms: float = 0.0) -> ProxyPlan:
        """Returns a plan that treats both directions alike."""
        plan = DirectionPlan(mode, delay_ms)
        return cls(plan, plan)

    @property
    def cuts(self) -> bool:
        """Whether connections are reset."""
        return ProxyMode.CUT in (self.forward.mode, self.backward.mode)

    @property
    def drops(self) -> bool:
        """Whether a new connection cannot be made because one direction is dead."""
        return ProxyMode.DROP in (self.forward.mode, self.backward.mode)


PASS = ProxyPlan()
CUT = ProxyPlan.both(ProxyMode.CUT)
DROP = ProxyPlan.both(ProxyMode.DROP)
HOLD = ProxyPlan.both(ProxyMode.HOLD)


async def _no_source(_port: int) -> str:
    return ""


class _Connection:
    """One accepted connection and its way to the target."""

    def __init__(self, source: str, plan: ProxyPlan) -> None:
        self.source = source
        self.plan = plan
        self.lost_bytes = False
        self.task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()

    def replace_plan(self, plan: ProxyPlan) -> None:
        """Puts a plan into force; a connection that lost bytes cannot go on."""
        healed = self.plan.drops and not plan.drops
        self.plan = plan
        if self.task is not None and (plan.cuts or (healed and self.lost_bytes)):
            self.task.cancel()
        self._changed.set()
        self._changed = asyncio.Event()

    async def change(self) -> None:
        """Returns after the next change of the plan."""
        await self._changed.wait()


class FaultProxy:
    """Forwards connections to one target and injects faults.

    Args:
        target_port: Port to forward to.
        listen_port: Port to listen on; 0 chooses a free one.
        target_host: Address to forward to.
        listen_host: Address to listen on.
        identify: Names the source of a connection by its source port; the plan of that source
            applies.
    """

    def __init__(
        self,
        target_port: int,
        listen_port: int = 0,
        *,
        target_host: str = LOOPBACK,
        listen_host: str = LOOPBACK,
        identify: IdentifySource = _no_source,
    ) -> None:
        self._target = (target_host, target_port)
        self._listen = (listen_host, listen_port)
        self._identify = identify
        self._server: asyncio.Server | None = None
        self._plan = PASS
        self._plans: dict[str, ProxyPlan] = {}
        self._connections: set[_Connection] = set()
        self._accepted = 0

    @property
    def port(self) -> int:
        """Port it listens on."""
        return self._listen[1]

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def accepted(self) -> int:
        """Number of connections accepted so far."""
        return self._accepted

    def plan(self, source: str = "") -> ProxyPlan:
        """Returns the plan for a source."""
        return self._plans.get(source, self._plan)

    async def start(self) -> None:
        """Begins to listen.

        Raises:
            OSError: The address is in use.
        """
        await self._listen_again()

    async def stop(self) -> None:
        """Resets all connections and stops listening."""
        await self._stop_listening()
        tasks = [found.task for found in self._connections if found.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def set_plan(self, plan: ProxyPlan, source: str | None = None) -> None:
        """Replaces the plan for one source, or for all of them.

        While all sources are cut, the port is closed and connections are refused; a single
        source that is cut is accepted and reset at once.

        Args:
            plan: The plan.
            source: Name of the source, or None for all, which also forgets the plans of sources.
        """
        if source is None:
            self._plan = plan
            self._plans.clear()
        else:
            self._plans[source] = plan
        if self._plan.cuts:
            await self._stop_listening()
        elif self._server is None:
            await self._listen_again()
        for connection in tuple(self._connections):
            connection.replace_plan(self.plan(connection.source))

    async def _listen_again(self) -> None:
        host, port = self._listen
        self._server = await asyncio.start_server(self._accept, host, port, backlog=1024)
        self._listen = (host, self._server.sockets[0].getsockname()[1])

    async def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._accepted += 1
        source = await self._identify(writer.get_extra_info("peername")[1])
        connection = _Connection(source, self.plan(source))
        connection.task = asyncio.current_task()
        self._connections.add(connection)
        try:
            await self._connect(connection, reader, writer)
        except asyncio.CancelledError:
            _reset(writer)
        finally:
            self._connections.discard(connection)

    async def _connect(
        self, connection: _Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if connection.plan.drops:
            # No handshake completes in a partition, so its bytes must not arrive afterwards.
            while connection.plan.drops:
                await connection.change()
            _reset(writer)
            return
        if connection.plan.cuts:
            _reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)
            return
        whole = False
        try:
            async with asyncio.TaskGroup() as directions:
                directions.create_task(_carry(connection, "forward", reader, target_writer))
                directions.create_task(_carry(connection, "backward", target_reader, writer))
            whole = True
        except* OSError:
            pass
        finally:
            for end in (writer, target_writer):
                if whole:
                    end.close()
                else:
                    _reset(end)


async def _carry(
    connection: _Connection,
    direction: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    loop = asyncio.get_running_loop()
    # An empty chunk is the end of the stream, None a reset.
    queue: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue(QUEUED_CHUNKS)

    async def receive() -> None:
        chunk: bytes | None = None
        try:
            while chunk := await reader.read(READ_BYTES):
                await queue.put((loop.time(), chunk))
        except OSError:
            chunk = None
        await queue.put((loop.time(), chunk))

    async def send() -> None:
        while True:
            received, chunk = await queue.get()
            plan: DirectionPlan = getattr(connection.plan, direction)
            while plan.mode is ProxyMode.HOLD or (plan.mode is ProxyMode.DROP and not chunk):
                await connection.change()
                plan = getattr(connection.plan, direction)
            if plan.mode is ProxyMode.DROP:
                connection.lost_bytes = True
                continue
            remaining_s = received + plan.delay_ms / 1000 - loop.time()
            if remaining_s > 0:
                await asyncio.sleep(remaining_s)
            if chunk is None:
                raise ConnectionResetError
            if not chunk:
                writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()

    async with asyncio.TaskGroup() as ends:
        ends.create_task(receive())
        ends.create_task(send())


def _reset(writer: asyncio.StreamWriter) -> None:
    # With a linger time of 0 the close sends RST, which the other end cannot take for an end of
    # stream.
    linger = struct.pack("ii", 1, 0)
    # A connection that the other end has reset has no socket any more, or a closed one.
    found = writer.get_extra_info("socket")
    if found is not None:
        with contextlib.suppress(OSError):
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def main(
    target_port: Annotated[int, typer.Option(help="Port to forward to.")],
    target_host: Annotated[str, typer.Option(help="Address to forward to.")] = LOOPBACK,
    port: Annotated[int, typer.Option(help="Port to listen on; 0 chooses a free one.")] = 0,
    host: Annotated[str, typer.Option(help="Address to listen on.")] = LOOPBACK,
    mode: Annotated[ProxyMode, typer.Option(help="Treatment of both directions.")] = (
        ProxyMode.PASS
    ),
    delay_ms: Annotated[float, typer.Option(help="Delay in each direction.")] = 0.0,
) -> None:
    """Runs the proxy until SIGTERM."""

    async def body(stop: asyncio.Event) -> None:
        proxy = FaultProxy(target_port, port, target_host=target_host, listen_host=host)
        await proxy.start()
        report_listening("proxy", host, proxy.port)
        await proxy.set_plan(ProxyPlan.both(mode, delay_ms))
        await stop.wait()
        await proxy.stop()

    run_program(body)


if __name__ == "__main__":
    typer.run(main)
