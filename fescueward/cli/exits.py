"""Exit codes of the commands, and the line on standard error that reports an error."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from contextlib import contextmanager

import typer

from ..kernel import FescuewardError
from ..kernel.errors import (
    AdministrationAnswerLostError,
    AdministrationUnavailableError,
    EntryConflictError,
    InvalidAdministrationRequestError,
    InvalidEntryError,
    InvalidEntryFileError,
    NotAuthorizedError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    SettingsError,
    UnknownNameError,
    UnknownServiceError,
)
from ..kernel.settings import BadSettingsError
from .client import AnsweredError
from .logs import LogFileError


class ExitCode(enum.IntEnum):
    """Exit codes. They are stable, because scripts depend on them."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    NO_AGENT = 4
    NOT_AUTHORIZED = 5
    UNKNOWN_SERVICE = 6
    PLATFORM_UNAVAILABLE = 7
    OUTCOME_UNKNOWN = 8


EXIT_TEXTS: dict[ExitCode, str] = {
    ExitCode.DONE: "The command succeeded.",
    ExitCode.FAILED: "Any other failure; the line on standard error has its error code.",
    ExitCode.BAD_INPUT: "An argument, a setting, a file or an entry is not valid.",
    ExitCode.CONFLICT: "The entry is at another version than the one on which the edit is based.",
    ExitCode.NO_AGENT: "None of the administration addresses responded.",
    ExitCode.NOT_AUTHORIZED: "The administration token is missing or wrong.",
    ExitCode.UNKNOWN_SERVICE: "No catalogue entry has this service name.",
    ExitCode.PLATFORM_UNAVAILABLE: "The platform did not respond; nothing was changed.",
    ExitCode.OUTCOME_UNKNOWN: "A response was lost; read the entry before trying again.",
}

_EXIT_CODES: dict[int, ExitCode] = {
    SettingsError.code: ExitCode.BAD_INPUT,
    UnknownNameError.code: ExitCode.BAD_INPUT,
    InvalidEntryError.code: ExitCode.BAD_INPUT,
    InvalidEntryFileError.code: ExitCode.BAD_INPUT,
    LogFileError.code: ExitCode.BAD_INPUT,
    InvalidAdministrationRequestError.code: ExitCode.BAD_INPUT,
    EntryConflictError.code: ExitCode.CONFLICT,
    AdministrationUnavailableError.code: ExitCode.NO_AGENT,
    NotAuthorizedError.code: ExitCode.NOT_AUTHORIZED,
    UnknownServiceError.code: ExitCode.UNKNOWN_SERVICE,
    PlatformUnavailableError.code: ExitCode.PLATFORM_UNAVAILABLE,
    OutcomeUnknownError.code: ExitCode.OUTCOME_UNKNOWN,
    AdministrationAnswerLostError.code: ExitCode.OUTCOME_UNKNOWN,
}


@contextmanager
def exit_on_error() -> Iterator[None]:
    """Prints an error of its block on standard error and exits with the matching code."""
    try:
        yield
    except FescuewardError as error:
        code, label = error.code, error.label
        if isinstance(error, AnsweredError):
            code, label = error.detail.code, error.detail.label
        if isinstance(error, BadSettingsError):
            for problem in error.problems:
                typer.echo(f"error {code} {label}: {problem}", err=True)
        else:
            text = " ".join(str(error).splitlines())
            typer.echo(f"error {code} {label}: {text}", err=True)
        raise typer.Exit(_EXIT_CODES.get(code, ExitCode.FAILED)) from error
