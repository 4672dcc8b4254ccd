"""Command line of the platform stand-in: `python -m fescueward.testing.platform`."""

from __future__ import annotations

import asyncio
from typing import Annotated

import typer

from ..program import LOOPBACK, report_listening, run_program
from .server import PlatformStandIn


def main(
    port: Annotated[int, typer.Option(help="Port to listen on; 0 chooses a free one.")] = 0,
    host: Annotated[str, typer.Option(help="Address to listen on.")] = LOOPBACK,
) -> None:
    """Runs the platform stand-in until SIGTERM."""

    async def body(stop: asyncio.Event) -> None:
        platform = PlatformStandIn(host, port)
        await platform.start()
        report_listening("platform", host, platform.port)
        await stop.wait()
        await platform.stop()

    run_program(body)


if __name__ == "__main__":
    typer.run(main)
