"""Command line of the upstream stand-in: `python -m fescueward.testing.upstream`."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from ..program import (
    LOOPBACK,
    report_listening,
    run_program,
)
from .reports import ReportKind
from .server import UpstreamStandIn
from .switches import Switches, UpstreamOptions


def main(
    service: Annotated[str, typer.Option(help="Service that it serves.")],
    name: Annotated[str, typer.Option(help="Name in responses and journal.")] = "",
    host: Annotated[str, typer.Option(help="Address to listen on.")] = LOOPBACK,
    port: Annotated[int, typer.Option(help="Port to listen on; 0 chooses a free one.")] = 0,
    announce: Annotated[str, typer.Option(help="URL of the announcement address.")] = "",
    group: Annotated[int, typer.Option(help="Number of the group that it joins.")] = 0,
    slots: Annotated[int, typer.Option(help="Maximum number of concurrent requests.")] = 12,
    connections: Annotated[int, typer.Option(help="Maximum number of connections.")] = 130,
    no_grants: Annotated[
        bool, typer.Option("--no-grants", help="Accept requests without a grant.")
    ] = False,
    journal: Annotated[Path | None, typer.Option(help="Journal file.")] = None,
    cold_start_ms: Annotated[
        int, typer.Option(help="Time of slower execution after start, in ms.")
    ] = 0,
    work_ms: Annotated[int, typer.Option(help="Execution time of a request, in ms.")] = 0,
    report: Annotated[ReportKind, typer.Option(help="Accuracy of the health report.")] = (
        ReportKind.HONEST
    ),
    linger_ms: Annotated[int, typer.Option(help="Time to serve on while leaving, in ms.")] = 3000,
) -> None:
    """Runs an upstream stand-in until SIGTERM, when it drains and exits with status 0."""
    options = UpstreamOptions(
        service=service,
        name=name,
        host=host,
        port=port,
        announce=announce,
        group=group,
        slots=slots,
        connections=connections,
        checks_grants=not no_grants,
        journal=journal,
        cold_start_ms=cold_start_ms,
        linger_ms=linger_ms,
        switches=Switches(work_ms=work_ms, report=report),
    )

    async def body(stop: asyncio.Event) -> None:
        upstream = UpstreamStandIn(options)
        await upstream.start()
        report_listening(upstream.name, host, upstream.port)
        stop_triggers = {
            asyncio.create_task(stop.wait()),
            asyncio.create_task(upstream.wait_leaving()),
        }
        await asyncio.wait(stop_triggers, return_when=asyncio.FIRST_COMPLETED)
        await upstream.leave()
        await upstream.stop()

    run_program(body)


if __name__ == "__main__":
    typer.run(main)
