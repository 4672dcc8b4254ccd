"""Commands of `fescueward`."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import typer

from ..daemons.agent import Agent
from ..kernel.errors import (
    EntryConflictError,
    InvalidAdministrationRequestError,
    UnknownServiceError,
)
from ..kernel.settings import load_settings, setting_rows
from ..messages.codec import encode_json
from ..messages.status import EntryAnswer, ErrorDetail
from . import tables
from .client import AdministrationClient, AnsweredError
from .entries import differences, read_entry, write_entry
from .exits import reported
from .logs import request_log_lines, search

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
entry_app = typer.Typer(no_args_is_help=True, help="Reads and edits catalogue entries.")
app.add_typer(entry_app, name="entry")

ConfigOption = Annotated[Path, typer.Option("--config", help="The settings file (INI).")]
AddressConfigOption = Annotated[
    Path | None,
    typer.Option("--config", help="Settings file of an agent: its address and token are used."),
]
UrlOption = Annotated[
    list[str] | None,
    typer.Option(
        "--url",
        envvar="FESCUEWARD_ADMIN_URL",
        help="Administration address; may be repeated, the first one that answers is used.",
    ),
]
TokenOption = Annotated[
    str,
    typer.Option(
        "--token", envvar="FESCUEWARD_ADMIN_TOKEN", help="Administration token, for changes."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the answer as JSON.")]
VersionOption = Annotated[
    int | None,
    typer.Option(
        "--version",
        min=0,
        help="Version that the change is made from; by default the present one.",
    ),
]
ServiceArgument = Annotated[str, typer.Argument(help="Name of the service.")]


@app.callback()
def root() -> None:
    """Routes requests to servers that own keys exclusively."""


@app.command()
def agent(config: ConfigOption) -> None:
    """Runs the agent beside an upstream."""
    with reported():
        Agent(load_settings(config)).run()


@app.command("check-config")
def check_config(path: Annotated[Path, typer.Argument(help="The settings file (INI).")]) -> None:
    """Checks a settings file without starting anything."""
    with reported():
        settings = load_settings(path)
        Agent(settings).check()
        name, domain = settings.agent.name, settings.agent.failure_domain
        typer.echo(f"{path}: valid settings of agent {name} in {domain}")


@app.command()
def settings() -> None:
    """Lists all settings with their defaults and allowed values."""
    for section, option, default, allowed, meaning in setting_rows():
        typer.echo(f"[{section}] {option} = {default}")
        _print(tables.wrap(f"{meaning} Allowed: {allowed}.", "    "))


@app.command()
def status(
    service: Annotated[
        str | None, typer.Argument(help="Name of the service; all if left out.")
    ] = (None),
    url: UrlOption = None,
    config: AddressConfigOption = None,
    as_json: JsonOption = False,
) -> None:
    """Shows who serves what and what is wrong."""
    with reported():
        answer = _client(url, config).status(service)
        if as_json:
            typer.echo(encode_json(answer).decode())
        elif service is None:
            _print(tables.fleet_lines(answer))
        else:
            _print(tables.service_lines(answer))


@app.command()
def explain(
    service: ServiceArgument,
    key: Annotated[str, typer.Argument(help="The key.")],
    url: UrlOption = None,
    config: AddressConfigOption = None,
    as_json: JsonOption = False,
) -> None:
    """Shows where a key is, why, and whether a request to it would be served now."""
    with reported():
        answer = _client(url, config).explain(service, key)
        if as_json:
            typer.echo(encode_json(answer).decode())
        else:
            _print(tables.explanation_lines(answer))


@app.command()
def logs(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[
        list[Path], typer.Argument(help="Log files of agents (JSON lines), one for each agent.")
    ],
    around: Annotated[
        float | None,
        typer.Option(
            "--around",
            min=0,
            metavar="SECONDS",
            help="Also show beliefs that changed so near to the request.",
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Shows the lines of one request from many agents, and what each agent held then."""
    with reported():
        found = search(request, files, around)
        if as_json:
            typer.echo(encode_json(found).decode())
        else:
            _print(request_log_lines(found))


@entry_app.command("list")
def list_entries(
    url: UrlOption = None, config: AddressConfigOption = None, as_json: JsonOption = False
) -> None:
    """Lists all entries."""
    with reported():
        answer = _client(url, config).entries()
        if as_json:
            typer.echo(encode_json(answer).decode())
        else:
            _print(tables.entry_lines(answer))


@entry_app.command("get")
def get_entry(
    service: ServiceArgument,
    url: UrlOption = None,
    config: AddressConfigOption = None,
    as_json: JsonOption = False,
) -> None:
    """Prints an entry as a file that `apply` reads, with its version as a comment."""
    with reported():
        answer = _client(url, config).entry(service)
        if as_json:
            typer.echo(encode_json(answer).decode())
        else:
            typer.echo(f"# version {answer.version}")
            typer.echo(write_entry(answer.entry), nl=False)


@entry_app.command("apply")
def apply_entry(
    file: Annotated[Path, typer.Option("-f", "--file", help="Entry file, INI or JSON.")],
    version: VersionOption = None,
    dry_run: Annotated[bool, typer.Option("--dry-run", help="Show the changes only.")] = False,
    url: UrlOption = None,
    config: AddressConfigOption = None,
    token: TokenOption = "",
) -> None:
    """Creates or changes an entry and shows what changes."""
    with reported():
        document = read_entry(file)
        client = _client(url, config, token)
        present = _present(client, document.service)
        changes = differences(present.entry if present is not None else None, document)
        known = present.version if present is not None else 0
        typer.echo(f"{document.service}: {'version ' + str(known) if known else 'new entry'}")
        _print([f"  {change}" for change in changes])
        if not changes and version in (None, known):
            typer.echo("no change")
            return
        if dry_run:
            return
        with _conflicts(document.service):
            accepted = client.apply(document, known if version is None else version)
        typer.echo(f"accepted: {document.service} is at version {accepted.version}")


@entry_app.command("delete")
def delete_entry(
    service: ServiceArgument,
    version: VersionOption = None,
    yes: Annotated[bool, typer.Option("--yes", help="Do not ask.")] = False,
    url: UrlOption = None,
    config: AddressConfigOption = None,
    token: TokenOption = "",
) -> None:
    """Deletes an entry: requests to the service are refused from then on."""
    with reported():
        client = _client(url, config, token)
        present = client.entry(service)
        known = present.version if version is None else version
        if not yes:
            question = f"Delete {service} of {present.entry.owner} at version {known}?"
            typer.confirm(question, abort=True)
        with _conflicts(service):
            deleted = client.delete(service, known)
        typer.echo(f"accepted: {service} is deleted at version {deleted.version}")


@contextmanager
def _conflicts(service: str) -> Iterator[None]:
    """Shows the present entry before a conflict is reported."""
    try:
        yield
    except AnsweredError as error:
        if error.detail.code == EntryConflictError.code:
            _print_present(service, error.detail)
        raise


def _print_present(service: str, detail: ErrorDetail) -> None:
    if detail.entry is None:
        typer.echo(f"{service} does not exist now; its last version is {detail.version}")
        return
    typer.echo(f"# {service} is at version {detail.version} now")
    typer.echo(write_entry(detail.entry), nl=False)


def _present(client: AdministrationClient, service: str) -> EntryAnswer | None:
    try:
        return client.entry(service)
    except AnsweredError as error:
        if error.detail.code == UnknownServiceError.code:
            return None
        raise


def _client(urls: list[str] | None, config: Path | None, token: str = "") -> AdministrationClient:
    """Builds the client; options and environment go before the settings file."""
    given = tuple(url.rstrip("/") for url in urls or ())
    if config is not None:
        section = load_settings(config).administration
        given = given or (f"http://{section.host}:{section.port}",)
        token = token or section.token
    if not given:
        raise InvalidAdministrationRequestError(
            "no administration address; use --url, --config or FESCUEWARD_ADMIN_URL"
        )
    return AdministrationClient(given, token)


def _print(lines: Sequence[str]) -> None:
    for line in lines:
        typer.echo(line)


def main() -> None:
    """Entry point of the `fescueward` program."""
    app()
