"""Runs one benchmark: `python -m benchmarks NAME [--json]`."""

from __future__ import annotations

from dataclasses import asdict
from typing import Annotated

import typer

from fescueward.kernel.errors import UnknownNameError
from fescueward.messages.codec import encode_json

from .registry import find

EXIT_UNKNOWN_BENCHMARK = 2


def main(
    name: Annotated[str, typer.Argument(help="Name of the benchmark.")],
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Runs a benchmark and prints its figures, one a line or as JSON."""
    try:
        benchmark = find(name)
    except UnknownNameError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_UNKNOWN_BENCHMARK) from error
    figures = asdict(benchmark.run())
    if as_json:
        typer.echo(encode_json({"benchmark": name, **figures}).decode())
        return
    for label, value in figures.items():
        typer.echo(f"{label}: {value}")


if __name__ == "__main__":
    typer.run(main)
