"""Fault-injecting TCP proxy.

Each direction has its own plan, which can be changed while connections are open. A plan can also
be set for the connections of one source, which a callback identifies by the source port.
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
MAX_QUEUED_CHUNKS = 64

IdentifySource = Callable[[int], Awaitable[str]]


class ProxyMode(enum.StrEnum):
    """Treatment of the bytes of one direction."""

    PASS = "pass"
    CUT = "cut"
    DROP = "drop"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class DirectionPlan:
    """Treatment of one direction.

    Attributes:
        mode: `pass` forwards all bytes. `cut` resets the connections, in both directions, and
            refuses new ones. `drop` discards all bytes without a reset, like a network
            partition; when the mode changes, connections that lost bytes and connections that
            were opened meanwhile are reset. `hold` buffers up to 4 MB per connection and forwards
            them when the mode changes.
        delay_ms: Delay of each chunk in mode `pass`, in milliseconds.
    """

    mode: ProxyMode = ProxyMode.PASS
    delay_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ProxyPlan:
    """Treatment of both directions of connections.

    Attributes:
        forward: Direction from the connecting side to the target.
        backward: Direction from the target to the connecting side.
    """

    forward: DirectionPlan = DirectionPlan()
    backward: DirectionPlan = DirectionPlan()

    @classmethod
    def both(cls, mode: ProxyMode, delay_ms: float = 0.0) -> ProxyPlan:
        """Returns a plan with the same treatment of both directions."""
        plan = DirectionPlan(mode, delay_ms)
        return cls(plan, plan)

    @property
    def cuts(self) -> bool:
        """Whether connections are reset, because a direction is cut."""
        return ProxyMode.CUT in (self.forward.mode, self.backward.mode)

    @property
    def drops(self) -> bool:
        """Whether no new connection can be established, because a direction drops all bytes."""
        return ProxyMode.DROP in (self.forward.mode, self.backward.mode)


PASS = ProxyPlan()
CUT = ProxyPlan.both(ProxyMode.CUT)
DROP = ProxyPlan.both(ProxyMode.DROP)
HOLD = ProxyPlan.both(ProxyMode.HOLD)


async def _unknown_source(_port: int) -> str:
    return ""


class _Connection:
    """One accepted connection with the plan that applies to it."""

    def __init__(self, source: str, plan: ProxyPlan) -> None:
        self.source = source
        self.plan = plan
        self.lost_bytes = False
        self.task: asyncio.Task[None] | None = None
        self._plan_changed = asyncio.Event()

    def replace_plan(self, plan: ProxyPlan) -> None:
        """Applies a plan; a cut, or the end of a drop that lost bytes, resets the connection."""
        drop_ended = self.plan.drops and not plan.drops
        self.plan = plan
        if self.task is not None and (plan.cuts or (drop_ended and self.lost_bytes)):
            self.task.cancel()
        self._plan_changed.set()
        self._plan_changed = asyncio.Event()

    async def wait_for_plan_change(self) -> None:
        """Waits for the next change of the plan."""
        await self._plan_changed.wait()


class FaultProxy:
    """Forwards connections to one target and injects faults.

    Args:
        target_port: Port to forward to.
        listen_port: Port to listen on; 0 chooses a free one.
        target_host: Address to forward to.
        listen_host: Address to listen on.
        identify: Returns the name of a connection's source for its source port; the plan of that
            source applies to the connection.
    """

    def __init__(
        self,
        target_port: int,
        listen_port: int = 0,
        *,
        target_host: str = LOOPBACK,
        listen_host: str = LOOPBACK,
        identify: IdentifySource = _unknown_source,
    ) -> None:
        self._target_address = (target_host, target_port)
        self._listen_address = (listen_host, listen_port)
        self._identify = identify
        self._server: asyncio.Server | None = None
        self._plan = PASS
        self._source_plans: dict[str, ProxyPlan] = {}
        self._connections: set[_Connection] = set()
        self._accepted = 0

    @property
    def port(self) -> int:
        """Port that the proxy listens on."""
        return self._listen_address[1]

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def accepted(self) -> int:
        """Number of connections accepted since the start."""
        return self._accepted

    def plan(self, source: str = "") -> ProxyPlan:
        """Returns the plan that applies to a source: its own, or else the common one."""
        return self._source_plans.get(source, self._plan)

    async def start(self) -> None:
        """Starts to listen.

        Raises:
            OSError: The address is in use.
        """
        await self._start_listening()

    async def stop(self) -> None:
        """Resets all connections and stops listening."""
        await self._stop_listening()
        tasks = [
            connection.task for connection in self._connections if connection.task is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def set_plan(self, plan: ProxyPlan, source: str | None = None) -> None:
        """Replaces the plan for one source, or for all of them.

        While all sources are cut, the port is closed and connections are refused. If a single
        source is cut, its connections are accepted and reset at once.

        Args:
            plan: The new plan.
            source: Name of the source; None for all, which also removes the plans of single
                sources.
        """
        if source is None:
            self._plan = plan
            self._source_plans.clear()
        else:
            self._source_plans[source] = plan
        if self._plan.cuts:
            await self._stop_listening()
        elif self._server is None:
            await self._start_listening()
        for connection in tuple(self._connections):
            connection.replace_plan(self.plan(connection.source))

    async def _start_listening(self) -> None:
        host, port = self._listen_address
        self._server = await asyncio.start_server(self._accept, host, port, backlog=1024)
        self._listen_address = (host, self._server.sockets[0].getsockname()[1])

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
            # During a partition no handshake completes, so bytes that were sent on this
            # connection must not reach the target afterwards.
            while connection.plan.drops:
                await connection.wait_for_plan_change()
            _reset(writer)
            return
        if connection.plan.cuts:
            _reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target_address)
        except OSError:
            _reset(writer)
            return
        closed_cleanly = False
        try:
            async with asyncio.TaskGroup() as directions:
                directions.create_task(
                    _forward_direction(connection, "forward", reader, target_writer)
                )
                directions.create_task(
                    _forward_direction(connection, "backward", target_reader, writer)
                )
            closed_cleanly = True
        except* OSError:
            pass
        finally:
            for side in (writer, target_writer):
                if closed_cleanly:
                    side.close()
                else:
                    _reset(side)


async def _forward_direction(
    connection: _Connection,
    direction: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    loop = asyncio.get_running_loop()
    # An empty chunk stands for the end of the stream, None for a reset.
    queue: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue(MAX_QUEUED_CHUNKS)

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
            received_s, chunk = await queue.get()
            plan: DirectionPlan = getattr(connection.plan, direction)
            while plan.mode is ProxyMode.HOLD or (plan.mode is ProxyMode.DROP and not chunk):
                await connection.wait_for_plan_change()
                plan = getattr(connection.plan, direction)
            if plan.mode is ProxyMode.DROP:
                connection.lost_bytes = True
                continue
            remaining_s = received_s + plan.delay_ms / 1000 - loop.time()
            if remaining_s > 0:
                await asyncio.sleep(remaining_s)
            if chunk is None:
                raise ConnectionResetError
            try:
                if not chunk:
                    writer.write_eof()
                    return
                writer.write(chunk)
            except RuntimeError as error:
                # uvloop raises it for a connection that was reset.
                raise ConnectionResetError(str(error)) from error
            await writer.drain()

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(receive())
        tasks.create_task(send())


def _reset(writer: asyncio.StreamWriter) -> None:
    # With a linger time of 0 the close sends RST, which the peer cannot mistake for the end of
    # the stream.
    linger = struct.pack("ii", 1, 0)
    # If the peer has already reset the connection, the socket is None or closed.
    connection_socket = writer.get_extra_info("socket")
    if connection_socket is not None:
        with contextlib.suppress(OSError):
            connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
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
