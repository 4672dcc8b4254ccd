"""Runs a benchmark by name: `python -m benchmarks NAME --json`."""

from __future__ import annotations

import importlib
import pkgutil
from dataclasses import asdict
from typing import Annotated

import typer

import benchmarks
from fescueward.messages.codec import encode_json


def main(
    name: Annotated[str, typer.Argument(help="Name of the benchmark.")],
    json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Runs a benchmark and prints its figures."""
    names = sorted(
        found.name for found in pkgutil.iter_modules(benchmarks.__path__) if found.name[0] != "_"
    )
    if name not in names:
        raise typer.BadParameter(f"no benchmark {name!r}; there are {', '.join(names)}")
    figures = importlib.import_module(f"benchmarks.{name}").run()
    if json:
        typer.echo(encode_json(figures).decode())
        return
    for field, value in asdict(figures).items():
        typer.echo(f"{field}: {value}")


if __name__ == "__main__":
    typer.run(main)
