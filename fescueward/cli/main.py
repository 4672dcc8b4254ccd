"""Commands of `fescueward`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from ..daemons import Agent
from ..kernel.errors import SettingsError
from ..kernel.settings import Settings, load_settings

app = typer.Typer(no_args_is_help=True, add_completion=False)

EXIT_BAD_SETTINGS = 2

ConfigOption = Annotated[Path, typer.Option("--config", help="The settings file (INI).")]


@app.callback()
def root() -> None:
    """Routes requests to servers that own keys exclusively."""


@app.command()
def agent(config: ConfigOption) -> None:
    """Runs the agent beside an upstream."""
    Agent(_checked(config)).run()


def _checked(path: Path) -> Settings:
    try:
        return load_settings(path)
    except SettingsError as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error


def main() -> None:
    """Entry point of the `fescueward` program."""
    app()
