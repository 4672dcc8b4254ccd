"""Settings of an agent: an INI file that is fully validated before any service starts."""

from __future__ import annotations

import configparser
from collections.abc import Callable
from dataclasses import MISSING, Field, dataclass, field, fields
from pathlib import Path
from typing import Any

from .errors import SettingsError

Parser = Callable[[str], Any]


@dataclass(frozen=True, slots=True)
class SettingProblem:
    """One bad value in a settings file.

    Attributes:
        section: Section of the file.
        option: Option of the section, or empty if the section itself is unknown.
        value: Value in the file, or None if it is missing.
        allowed: Description of the allowed values.
    """

    section: str
    option: str
    value: str | None
    allowed: str

    def __str__(self) -> str:
        fault = "is missing" if self.value is None else f"has the value {self.value!r}"
        location = f"[{self.section}] {self.option}".rstrip()
        return f"{location} {fault}; allowed: {self.allowed}"


class BadSettingsError(SettingsError):
    """The settings file has bad values; all of them are listed.

    Attributes:
        problems: Every bad value.
    """

    def __init__(self, problems: tuple[SettingProblem, ...]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class _Rule:
    parse: Parser
    allowed: str


def _integer(low: int, high: int) -> _Rule:
    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return _Rule(parse, f"a whole number from {low} to {high}")


def _string(low: int = 1, high: int = 255) -> _Rule:
    def parse(text: str) -> str:
        if not low <= len(text) <= high:
            raise ValueError(text)
        return text

    return _Rule(parse, f"a string of {low} to {high} characters")


def _name() -> _Rule:
    def parse(text: str) -> str:
        if not text or len(text) > 63 or not all(char.isalnum() or char in "-_." for char in text):
            raise ValueError(text)
        return text

    return _Rule(parse, "1 to 63 letters, digits, '-', '_' or '.'")


def _choice(*valid: str) -> _Rule:
    def parse(text: str) -> str:
        if text not in valid:
            raise ValueError(text)
        return text

    return _Rule(parse, "one of " + ", ".join(valid))


def _url() -> _Rule:
    def parse(text: str) -> str:
        if not text.startswith(("http://", "https://")) or len(text) > 500:
            raise ValueError(text)
        return text.rstrip("/")

    return _Rule(parse, "a URL that starts with http:// or https://")


def _option(rule: _Rule, meaning: str, default: Any = MISSING) -> Any:
    return field(default=default, metadata={"rule": rule, "meaning": meaning})


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSection:
    """Identity and location of this agent."""

    name: str = _option(_name(), "Name of the agent, unique in the fleet.")
    failure_domain: str = _option(_name(), "Failure domain of the VM.")
    region: str = _option(_name(), "Region of the VM.", "default")


@dataclass(frozen=True, slots=True, kw_only=True)
class CallersSection:
    """Address on which the agent accepts requests of callers."""

    host: str = _option(_string(), "Address that callers connect to.", "127.0.0.1")
    port: int = _option(_integer(1, 65_535), "Port that callers connect to.")


@dataclass(frozen=True, slots=True, kw_only=True)
class PeersSection:
    """Address and authentication of the streams between agents."""

    host: str = _option(_string(), "Address that other agents connect to.", "127.0.0.1")
    port: int = _option(_integer(1, 65_535), "Port that other agents connect to.")
    secret: str = _option(_string(16), "Secret shared by all agents and routing clients.")
    advertised_host: str = _option(
        _string(0), "Address advertised to other agents if it is not `host`.", ""
    )
    advertised_port: int = _option(
        _integer(0, 65_535),
        "Port advertised to other agents if it is not `port`; 0 means `port`.",
        0,
    )
    timeout_ms: int = _option(
        _integer(10, 60_000), "Timeout of a connection attempt or a reply, in ms.", 1000
    )
    link_kbps: int = _option(
        _integer(0, 1_000_000_000),
        "Speed of the VM's network link in kbit/s, which limits the bytes on their way; 0 means "
        "unknown.",
        0,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class AdministrationSection:
    """The administration API and the metrics page."""

    host: str = _option(_string(), "Address of the administration API.", "127.0.0.1")
    port: int = _option(_integer(1, 65_535), "Port of the administration API.")
    token: str = _option(_string(8), "Token that requests for changes must carry.")


@dataclass(frozen=True, slots=True, kw_only=True)
class AnnouncementsSection:
    """Address on which the agent accepts announcements of the upstream."""

    host: str = _option(_string(), "Address on this VM for announcements.", "127.0.0.1")
    port: int = _option(_integer(1, 65_535), "Port for announcements.")


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSection:
    """The platform's object API."""

    url: str = _option(_url(), "Base URL of the object API.")
    timeout_ms: int = _option(_integer(50, 60_000), "Timeout of one call, in ms.", 1000)
    watch_ms: int = _option(
        _integer(1000, 300_000), "Longest wait of one watch call, in ms.", 20_000
    )
    max_answer_bytes: int = _option(
        _integer(65_536, 1 << 30),
        "Largest response of the object API, in bytes.",
        32 * 1024 * 1024,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSection:
    """Limits on the upstream on this VM."""

    max_answer_bytes: int = _option(
        _integer(65_536, 1 << 40),
        "Largest response to one request, with head and framing, in bytes.",
        64 * 1024 * 1024,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseSection:
    """Ownership leases; all agents of a group must have the same values."""

    lease_ms: int = _option(_integer(200, 60_000), "Length of a lease, in ms.", 1200)
    renewal_ms: int = _option(_integer(50, 20_000), "Period of renewals, in ms.", 300)
    drift_margin_ms: int = _option(
        _integer(10, 10_000), "Allowance for clock drift between VMs, in ms.", 100
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementSection:
    """Placement of shards."""

    policy: str = _option(_name(), "Name of the placement policy.", "bounded-load")
    round_ms: int = _option(_integer(100, 600_000), "Period of placement rounds, in ms.", 2000)
    snapshot_ms: int = _option(_integer(1000, 3_600_000), "Period of snapshots, in ms.", 60_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSection:
    """Retries of requests."""

    retry_percent: int = _option(
        _integer(0, 100), "Retries permitted per 100 requests, in percent.", 10
    )
    attempts: int = _option(_integer(1, 10), "Maximum number of attempts for one request.", 4)


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSection:
    """Log lines on standard error."""

    level: str = _option(
        _choice("DEBUG", "INFO", "WARNING", "ERROR"), "Lowest level that is written.", "INFO"
    )
    format: str = _option(_choice("text", "json"), "Format of log lines.", "text")


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of an agent, one attribute per section of the file."""

    agent: AgentSection
    callers: CallersSection
    peers: PeersSection
    administration: AdministrationSection
    announcements: AnnouncementsSection
    platform: PlatformSection
    lease: LeaseSection
    placement: PlacementSection
    routing: RoutingSection
    log: LogSection
    upstream: UpstreamSection = UpstreamSection()


_SECTIONS: dict[str, type[Any]] = {
    "agent": AgentSection,
    "callers": CallersSection,
    "peers": PeersSection,
    "administration": AdministrationSection,
    "announcements": AnnouncementsSection,
    "platform": PlatformSection,
    "lease": LeaseSection,
    "placement": PlacementSection,
    "routing": RoutingSection,
    "log": LogSection,
    "upstream": UpstreamSection,
}


def load_settings(path: Path) -> Settings:
    """Reads and validates a settings file.

    Args:
        path: Path of the INI file.

    Returns:
        The settings.

    Raises:
        BadSettingsError: At least one value is bad; all bad values are listed.
        SettingsError: The file cannot be read or is not an INI file.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError(f"cannot read {path}: {error}") from error
    problems: list[SettingProblem] = []
    for section in parser.sections():
        if section not in _SECTIONS:
            valid = "the sections " + ", ".join(_SECTIONS)
            problems.append(SettingProblem(section, "", section, valid))
    sections = {
        name: _read_section(parser, name, kind, problems) for name, kind in _SECTIONS.items()
    }
    if not problems:
        problems.extend(_check_lease(sections["lease"]))
        problems.extend(_check_ports(sections))
    if problems:
        raise BadSettingsError(tuple(problems))
    return Settings(**sections)


def setting_rows() -> tuple[tuple[str, str, str, str, str], ...]:
    """Returns section, option, default, allowed values and meaning of every setting."""
    rows = []
    for section, kind in _SECTIONS.items():
        for option in fields(kind):
            default = "required" if option.default is MISSING else str(option.default)
            rule: _Rule = option.metadata["rule"]
            rows.append((section, option.name, default, rule.allowed, option.metadata["meaning"]))
    return tuple(rows)


def _read_section(
    parser: configparser.ConfigParser, name: str, kind: type[Any], problems: list[SettingProblem]
) -> Any:
    values_in_file = dict(parser[name]) if parser.has_section(name) else {}
    options: dict[str, Field[Any]] = {option.name: option for option in fields(kind)}
    for option in values_in_file:
        if option not in options:
            valid = "the options " + ", ".join(options)
            problems.append(SettingProblem(name, option, values_in_file[option], valid))
    values: dict[str, Any] = {}
    complete = True
    for option_name, option in options.items():
        rule: _Rule = option.metadata["rule"]
        text = values_in_file.get(option_name)
        if text is None:
            if option.default is MISSING:
                problems.append(SettingProblem(name, option_name, None, rule.allowed))
                complete = False
            continue
        try:
            values[option_name] = rule.parse(text)
        except ValueError:
            problems.append(SettingProblem(name, option_name, text, rule.allowed))
            complete = False
    return kind(**values) if complete else None


def _check_lease(lease: LeaseSection) -> list[SettingProblem]:
    # After a lost renewal there must be time for two more before the lease ends.
    if lease.renewal_ms * 3 <= lease.lease_ms:
        return []
    allowed = f"at most a third of lease_ms, {lease.lease_ms // 3}"
    return [SettingProblem("lease", "renewal_ms", str(lease.renewal_ms), allowed)]


def _check_ports(sections: dict[str, Any]) -> list[SettingProblem]:
    problems = []
    section_by_address: dict[tuple[str, int], str] = {}
    for name in ("callers", "peers", "administration", "announcements"):
        address = (sections[name].host, sections[name].port)
        first_section = section_by_address.setdefault(address, name)
        if first_section != name:
            allowed = f"a port that differs from that of [{first_section}]"
            problems.append(SettingProblem(name, "port", str(address[1]), allowed))
    return problems
