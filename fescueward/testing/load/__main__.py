"""Command line of the load generator: `python -m fescueward.testing.load`."""

from __future__ import annotations

import asyncio
import enum
from pathlib import Path
from typing import Annotated

import typer

from ...messages.codec import encode_json
from ..program import run_program
from .generator import LoadGenerator, LoadPlan
from .keys import KeyDistribution, MovingHotKey, UniformKeys, ZipfKeys
from .paces import ClosedLoop, OpenLoop
from .records import write_records


class DistributionKind(enum.StrEnum):
    """Key distributions that the command line offers."""

    UNIFORM = "uniform"
    ZIPF = "zipf"
    HOT = "hot"


_DISTRIBUTIONS: dict[DistributionKind, type[KeyDistribution]] = {
    DistributionKind.UNIFORM: UniformKeys,
    DistributionKind.ZIPF: ZipfKeys,
    DistributionKind.HOT: MovingHotKey,
}


def main(
    target: Annotated[list[str], typer.Option(help="URL of an agent; may be repeated.")],
    service: Annotated[str, typer.Option(help="Service of the requests.")],
    keys: Annotated[int, typer.Option(help="Number of keys.")] = 100,
    distribution: Annotated[DistributionKind, typer.Option(help="Distribution of keys.")] = (
        DistributionKind.UNIFORM
    ),
    callers: Annotated[int, typer.Option(help="Concurrent callers of a closed loop.")] = 4,
    rate: Annotated[
        float, typer.Option(help="Requests/s of an open loop; 0 runs a closed loop.")
    ] = 0.0,
    seconds: Annotated[float, typer.Option(help="Duration.")] = 10.0,
    method: Annotated[str, typer.Option(help="HTTP method.")] = "GET",
    query: Annotated[list[str] | None, typer.Option(help="NAME=VALUE; may be repeated.")] = None,
    body_bytes: Annotated[int, typer.Option(help="Size of the request body.")] = 0,
    deadline_ms: Annotated[int | None, typer.Option(help="Deadline of each attempt.")] = None,
    resends: Annotated[int, typer.Option(help="How often a failed request is sent again.")] = 0,
    seed: Annotated[int, typer.Option(help="Seed of the choice of keys.")] = 0,
    records: Annotated[Path | None, typer.Option(help="File for records, JSON lines.")] = None,
) -> None:
    """Sends requests and prints the summary as JSON."""
    pairs = (pair.partition("=") for pair in query or [])
    plan = LoadPlan(
        targets=tuple(target),
        service=service,
        keys=_DISTRIBUTIONS[distribution](keys),
        pace=OpenLoop(rate, seed=seed) if rate else ClosedLoop(callers),
        duration_s=seconds,
        method=method,
        query=tuple((name, value) for name, _, value in pairs),
        body=b"x" * body_bytes,
        deadline_ms=deadline_ms,
        resends=resends,
        seed=seed,
    )
    generator = LoadGenerator(plan)

    async def body(stop: asyncio.Event) -> None:
        async def watch_stop() -> None:
            await stop.wait()
            generator.stop()

        stop_watch = asyncio.create_task(watch_stop())
        await generator.run()
        stop_watch.cancel()

    run_program(body)
    if records is not None:
        write_records(records, generator.records)
    typer.echo(encode_json(generator.summary).decode())


if __name__ == "__main__":
    typer.run(main)
