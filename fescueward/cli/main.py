"""The commands of `fescueward`."""

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
from .exits import exit_on_error
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
    typer.Option(
        "--config",
        help="Settings file of an agent, whose administration address and token are used.",
    ),
]
UrlOption = Annotated[
    list[str] | None,
    typer.Option(
        "--url",
        envvar="FESCUEWARD_ADMIN_URL",
        help="Administration address; may be repeated, the first that responds is used.",
    ),
]
TokenOption = Annotated[
    str,
    typer.Option(
        "--token",
        envvar="FESCUEWARD_ADMIN_TOKEN",
        help="Administration token, needed for changes.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the result as JSON.")]
VersionOption = Annotated[
    int | None,
    typer.Option(
        "--version",
        min=0,
        help="Version on which the change is based; by default the current one.",
    ),
]
ServiceArgument = Annotated[str, typer.Argument(help="Name of the service.")]


@app.callback()
def root() -> None:
    """Routes requests to servers that own keys exclusively."""


@app.command()
def agent(config: ConfigOption) -> None:
    """Runs an agent beside its upstream."""
    with exit_on_error():
        Agent(load_settings(config)).run()


@app.command("check-config")
def check_config(path: Annotated[Path, typer.Argument(help="The settings file (INI).")]) -> None:
    """Checks a settings file without starting anything."""
    with exit_on_error():
        settings = load_settings(path)
        Agent(settings).check()
        name, domain = settings.agent.name, settings.agent.failure_domain
        typer.echo(f"{path}: valid settings of agent {name} in {domain}")


@app.command()
def settings() -> None:
    """Lists all settings with their defaults and allowed values."""
    for section, option, default, allowed, meaning in setting_rows():
        typer.echo(f"[{section}] {option} = {default}")
        _print_lines(tables.wrap(f"{meaning} Allowed: {allowed}.", "    "))


@app.command()
def status(
    service: Annotated[
        str | None, typer.Argument(help="Name of the service; all services if omitted.")
    ] = (None),
    url: UrlOption = None,
    config: AddressConfigOption = None,
    as_json: JsonOption = False,
) -> None:
    """Shows the members of each service, what they own, and all problems."""
    with exit_on_error():
        response = _client(url, config).status(service)
        if as_json:
            typer.echo(encode_json(response).decode())
        elif service is None:
            _print_lines(tables.fleet_lines(response))
        else:
            _print_lines(tables.service_lines(response))


@app.command()
def explain(
    service: ServiceArgument,
    key: Annotated[str, typer.Argument(help="The key.")],
    url: UrlOption = None,
    config: AddressConfigOption = None,
    as_json: JsonOption = False,
) -> None:
    """Shows which member owns a key, why, and whether a request for it would be served now."""
    with exit_on_error():
        response = _client(url, config).explain(service, key)
        if as_json:
            typer.echo(encode_json(response).decode())
        else:
            _print_lines(tables.explanation_lines(response))


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
            help="Also show changes of beliefs up to this long before or after the request.",
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Shows the log lines of one request from many agents, with the beliefs of each agent."""
    with exit_on_error():
        request_log = search(request, files, around)
        if as_json:
            typer.echo(encode_json(request_log).decode())
        else:
            _print_lines(request_log_lines(request_log))


@entry_app.command("list")
def list_entries(
    url: UrlOption = None, config: AddressConfigOption = None, as_json: JsonOption = False
) -> None:
    """Lists all catalogue entries."""
    with exit_on_error():
        response = _client(url, config).entries()
        if as_json:
            typer.echo(encode_json(response).decode())
        else:
            _print_lines(tables.entry_lines(response))


@entry_app.command("get")
def get_entry(
    service: ServiceArgument,
    url: UrlOption = None,
    config: AddressConfigOption = None,
    as_json: JsonOption = False,
) -> None:
    """Prints an entry in the format that `apply` reads, with its version as a comment."""
    with exit_on_error():
        response = _client(url, config).entry(service)
        if as_json:
            typer.echo(encode_json(response).decode())
        else:
            typer.echo(f"# version {response.version}")
            typer.echo(write_entry(response.entry), nl=False)


@entry_app.command("apply")
def apply_entry(
    file: Annotated[Path, typer.Option("-f", "--file", help="Entry file, INI or JSON.")],
    version: VersionOption = None,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Show the changes, but do not apply them.")
    ] = False,
    url: UrlOption = None,
    config: AddressConfigOption = None,
    token: TokenOption = "",
) -> None:
    """Creates or changes an entry and shows the changes."""
    with exit_on_error():
        document = read_entry(file)
        client = _client(url, config, token)
        current = _current_entry(client, document.service)
        changes = differences(current.entry if current is not None else None, document)
        current_version = current.version if current is not None else 0
        typer.echo(
            f"{document.service}: "
            f"{'version ' + str(current_version) if current_version else 'new entry'}"
        )
        _print_lines([f"  {change}" for change in changes])
        if not changes and version in (None, current_version):
            typer.echo("no change")
            return
        if dry_run:
            return
        with _show_entry_on_conflict(document.service):
            accepted = client.apply(document, current_version if version is None else version)
        typer.echo(f"accepted: {document.service} is at version {accepted.version}")


@entry_app.command("delete")
def delete_entry(
    service: ServiceArgument,
    version: VersionOption = None,
    yes: Annotated[bool, typer.Option("--yes", help="Do not ask for confirmation.")] = False,
    url: UrlOption = None,
    config: AddressConfigOption = None,
    token: TokenOption = "",
) -> None:
    """Deletes an entry; further requests to the service are refused."""
    with exit_on_error():
        client = _client(url, config, token)
        current = client.entry(service)
        base_version = current.version if version is None else version
        if not yes:
            question = f"Delete {service} of {current.entry.owner} at version {base_version}?"
            typer.confirm(question, abort=True)
        with _show_entry_on_conflict(service):
            deleted = client.delete(service, base_version)
        typer.echo(f"accepted: {service} is deleted at version {deleted.version}")


@contextmanager
def _show_entry_on_conflict(service: str) -> Iterator[None]:
    """Prints the current entry if a conflict error leaves the block."""
    try:
        yield
    except AnsweredError as error:
        if error.detail.code == EntryConflictError.code:
            _print_current_entry(service, error.detail)
        raise


def _print_current_entry(service: str, detail: ErrorDetail) -> None:
    if detail.entry is None:
        typer.echo(f"{service} does not exist now; its last version is {detail.version}")
        return
    typer.echo(f"# {service} is at version {detail.version} now")
    typer.echo(write_entry(detail.entry), nl=False)


def _current_entry(client: AdministrationClient, service: str) -> EntryAnswer | None:
    try:
        return client.entry(service)
    except AnsweredError as error:
        if error.detail.code == UnknownServiceError.code:
            return None
        raise


def _client(urls: list[str] | None, config: Path | None, token: str = "") -> AdministrationClient:
    """Builds the client; options and environment variables override the settings file."""
    base_urls = tuple(url.rstrip("/") for url in urls or ())
    if config is not None:
        section = load_settings(config).administration
        base_urls = base_urls or (f"http://{section.host}:{section.port}",)
        token = token or section.token
    if not base_urls:
        raise InvalidAdministrationRequestError(
            "no administration address; use --url, --config or FESCUEWARD_ADMIN_URL"
        )
    return AdministrationClient(base_urls, token)


def _print_lines(lines: Sequence[str]) -> None:
    for line in lines:
        typer.echo(line)


def main() -> None:
    """Entry point of the `fescueward` program."""
    app()
