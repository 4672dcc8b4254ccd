"""Tests of the commands."""

from __future__ import annotations

import io
import json
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

from typer.testing import CliRunner, Result

from fescueward.cli import app
from fescueward.cli.entries import read_entry, write_entry
from fescueward.cli.exits import EXIT_TEXTS, ExitCode
from fescueward.kernel import configure_logging
from fescueward.kernel.errors import InvalidEntryFileError, PlatformUnavailableError
from fescueward.kernel.settings import setting_rows
from fescueward.messages import RequestClass, Weight
from fescueward.messages.status import (
    EntryDocument,
    FleetStatus,
    GroupStatus,
    LeaseState,
    MemberStatus,
    MoveStatus,
    Problem,
    ProblemKind,
    ServiceStatus,
)
from fescueward.testing.ports import PortReservations

from ..services.administration_fakes import SETTINGS, TOKEN, AdministrationThread

UNREACHABLE_URL = "http://127.0.0.1:1"
CLEARED_VARIABLES = {"FESCUEWARD_ADMIN_URL": None, "FESCUEWARD_ADMIN_TOKEN": None}


def run(*arguments: str, stdin_text: str = "", **variables: str) -> Result:
    return CliRunner().invoke(
        app, list(arguments), input=stdin_text, env=CLEARED_VARIABLES | variables
    )


class FilesTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def file(self, name: str, text: str) -> str:
        path = self.directory / name
        path.write_text(text)
        return str(path)


class EntryCommandTest(FilesTest):
    def setUp(self):
        super().setUp()
        configure_logging("ERROR", "text", io.StringIO())
        self.server = AdministrationThread()
        self.addCleanup(self.server.close)
        self.platform = self.server.fake.platform
        self.url = self.server.fake.url
        self.depot = self.file("depot.ini", "[entry]\nservice = depot\nowner = siphon-works\n")

    def call(self, *arguments: str, stdin_text: str = "") -> Result:
        return run(
            *arguments,
            stdin_text=stdin_text,
            FESCUEWARD_ADMIN_URL=self.url,
            FESCUEWARD_ADMIN_TOKEN=TOKEN,
        )

    def test_apply_get_and_delete(self):
        """Guards against changes that are not shown, and `get` output that `apply` cannot read."""
        created = self.call("entry", "apply", "-f", self.depot)
        self.assertEqual(created.exit_code, ExitCode.DONE, created.stderr)
        self.assertIn("accepted: depot is at version 1", created.stdout)
        printed = self.call("entry", "get", "depot")
        self.assertTrue(printed.stdout.startswith("# version 1\n"))
        edited = printed.stdout.replace("deadline_ms = 5000", "deadline_ms = 700")
        path = self.file("edited.ini", edited)
        dry_run = self.call("entry", "apply", "-f", path, "--dry-run")
        self.assertIn("  limits.deadline_ms: 5000 -> 700", dry_run.stdout)
        self.assertEqual(self.platform.revision, 1)
        self.assertIn("version 2", self.call("entry", "apply", "-f", path).stdout)
        repeated = self.call("entry", "apply", "-f", path)
        self.assertEqual((repeated.exit_code, self.platform.revision), (ExitCode.DONE, 2))
        self.assertIn("no change", repeated.stdout)
        self.assertIn("depot", self.call("entry", "list").stdout)
        declined = self.call("entry", "delete", "depot", stdin_text="n\n")
        self.assertEqual((declined.exit_code, self.platform.revision), (ExitCode.FAILED, 2))
        deleted = self.call("entry", "delete", "depot", "--yes")
        self.assertIn("depot is deleted at version 3", deleted.stdout)
        deleted_entry = self.call("entry", "get", "depot")
        self.assertEqual(deleted_entry.exit_code, ExitCode.UNKNOWN_SERVICE)

    def test_conflict_shows_the_present_entry(self):
        """Guards against an edit that overwrites a concurrent edit."""
        self.call("entry", "apply", "-f", self.depot)
        other = self.file("other.json", '{"service": "depot", "owner": "others"}')
        self.assertEqual(self.call("entry", "apply", "-f", other).exit_code, ExitCode.DONE)
        conflict = self.call("entry", "apply", "-f", self.depot, "--version", "1")
        self.assertEqual(conflict.exit_code, ExitCode.CONFLICT)
        self.assertIn("# depot is at version 2 now", conflict.stdout)
        self.assertIn("owner = others", conflict.stdout)
        self.assertIn("error 6001 entry_conflict", conflict.stderr)
        conflict = self.call("entry", "delete", "depot", "--version", "1", "--yes")
        self.assertEqual(conflict.exit_code, ExitCode.CONFLICT)

    def test_errors_are_one_line_with_a_code(self):
        """Guards against stack traces, and exit codes that do not distinguish the errors."""
        self.call("entry", "apply", "-f", self.depot)
        bad = self.file("bad.ini", "[entry]\nservice = depot\nowner = x\nweight = cost\n")
        unknown = self.file("unknown.ini", "[entry]\nservice = depot\nowner = x\n[limit]\n")
        url = f"--url={self.url}"
        token = f"--token={TOKEN}"
        cases = [
            (("entry", "apply", "-f", bad, url, token), 6007, ExitCode.BAD_INPUT),
            (("entry", "apply", "-f", unknown, url, token), 6007, ExitCode.BAD_INPUT),
            (("entry", "apply", "-f", "/nonexistent", url, token), 6007, ExitCode.BAD_INPUT),
            (("entry", "delete", "depot", "--yes", url), 6003, ExitCode.NOT_AUTHORIZED),
            (("entry", "get", "../../x", url), 2001, ExitCode.UNKNOWN_SERVICE),
            (("status", "--url", UNREACHABLE_URL), 6004, ExitCode.NO_AGENT),
            (
                ("entry", "delete", "depot", "--yes", "--url", UNREACHABLE_URL),
                6004,
                ExitCode.NO_AGENT,
            ),
            (("status",), 6005, ExitCode.BAD_INPUT),
            (("status", "--url", "nonsense"), 6004, ExitCode.NO_AGENT),
            (("explain", "depot", "", url), 6005, ExitCode.BAD_INPUT),
            (("agent", "--config", "/nonexistent"), 1001, ExitCode.BAD_INPUT),
        ]
        for arguments, code, exit_code in cases:
            with self.subTest(arguments=arguments):
                result = run(*arguments)
                self.assertEqual(result.exit_code, exit_code, result.stderr)
                self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
                self.assertTrue(result.stderr.startswith(f"error {code} "), result.stderr)

    def test_platform_failures(self):
        """Guards against an unknown outcome that is reported as a refusal."""
        self.call("entry", "apply", "-f", self.depot)
        other = self.file("other.json", '{"service": "depot", "owner": "others"}')
        self.platform.down = True
        result = self.call("entry", "apply", "-f", other)
        self.assertEqual(result.exit_code, ExitCode.PLATFORM_UNAVAILABLE)
        self.assertIn(f"error {PlatformUnavailableError.code} ", result.stderr)
        self.platform.down = False
        self.platform.lose_responses = self.platform.down_after_loss = True
        result = self.call("entry", "apply", "-f", other)
        self.assertEqual(result.exit_code, ExitCode.OUTCOME_UNKNOWN)

    def test_first_agent_that_responds_is_used(self):
        """Guards against commands that fail because one of several agents is unreachable."""
        urls = ("--url", UNREACHABLE_URL, "--url", self.url)
        self.assertEqual(run("status", *urls).exit_code, ExitCode.DONE)
        apply = ("entry", "apply", "-f", self.depot, "--token", TOKEN)
        self.assertEqual(run(*apply, *urls).exit_code, ExitCode.DONE)
        both_urls = f"{UNREACHABLE_URL} {self.url}"
        self.assertEqual(
            run("entry", "list", FESCUEWARD_ADMIN_URL=both_urls).exit_code, ExitCode.DONE
        )
        port = self.url.rpartition(":")[2]
        config = self.file("a.ini", SETTINGS.format(port=port))
        other = self.file("other.json", '{"service": "depot", "owner": "others"}')
        result = run("entry", "apply", "-f", other, "--config", config)
        self.assertEqual(result.exit_code, ExitCode.DONE, result.stderr)

    def test_agent_whose_port_is_taken(self):
        """Guards against an agent that exits with a stack trace if its port is in use."""
        port = self.url.rpartition(":")[2]
        ports = PortReservations()
        self.addCleanup(ports.close)
        text = SETTINGS.format(port=port)
        for number in (1, 2, 3):
            text = text.replace(f"port = {number}\n", f"port = {ports.reserve()}\n")
        config = self.file("a.ini", text)
        result = run("agent", "--config", config)
        self.assertEqual(result.exit_code, ExitCode.FAILED)
        last_line = result.stderr.splitlines()[-1]
        self.assertTrue(
            last_line.startswith("error 1005 service_failed: administration did"), last_line
        )

    def test_status_and_explanation(self):
        """Guards against JSON output that cannot be parsed, and explanations without a reason."""
        self.assertEqual(json.loads(self.call("status", "--json").stdout)["told_by"], "a1:1")
        explanation = self.call("explain", "depot", "k")
        self.assertIn("no (no_owner)", explanation.stdout)

    def test_status_fits_80_columns(self):
        """Guards against tables that are wider than 80 columns if names are of maximum length."""
        member = MemberStatus(
            "m" * 63 + ":1796373447531", "d" * 63, "leaving", 100_000, 4160, True, LeaseState.HELD
        )
        group = GroupStatus(
            f"{'s' * 63}/99999",
            10**12,
            False,
            (replace(member, in_flight=99_999, entry_version=10**12), member),
            4160,
            64,
            tuple(MoveStatus(number, member.id, member.id, 3.25) for number in range(20)),
            (member.id,),
        )
        problem = Problem(ProblemKind.NO_OWNER, f"shard 3 of {'s' * 63} has no owner " * 5, 2.1)
        service = ServiceStatus(
            "s" * 63,
            "o" * 200,
            RequestClass.ONCE,
            Weight.UNAVAILABILITY,
            10**12,
            256,
            255,
            (group,),
            1,
            (problem,),
        )
        self.server.fake.reports.status = FleetStatus(
            member.id, 12.5, 256, 255, (service,), (problem,)
        )
        for arguments in (("status",), ("status", "depot")):
            lines = self.call(*arguments).stdout.splitlines()
            self.assertLessEqual(max(map(len, lines)), 80)
            self.assertIn("has no owner", "\n".join(lines))


class CheckConfigTest(FilesTest):
    def test_every_bad_value_is_named(self):
        """Guards against a check that stops at the first bad value, or that starts the agent."""
        text = SETTINGS.format(port=0).replace("lowell", "low/ell") + "[leases]\n[lease]\nx = 1\n"
        with mock.patch("fescueward.daemons.Agent.run") as run_agent:
            result = run("check-config", self.file("a.ini", text))
        self.assertEqual(result.exit_code, ExitCode.BAD_INPUT)
        for expected in (
            "[administration] port has the value '0'; allowed: a whole number from 1 to 65535",
            "[agent] failure_domain has the value 'low/ell'; allowed: 1 to 63 letters",
            "[leases] has the value 'leases'; allowed: the sections agent,",
            "[lease] x has the value '1'; allowed: the options lease_ms,",
        ):
            self.assertIn(expected, result.stderr)
        run_agent.assert_not_called()

    def test_values_that_contradict_each_other(self):
        """Guards against settings that are valid one by one but fail together at the start."""
        valid = SETTINGS.format(port=4)
        self.assertEqual(run("check-config", self.file("a.ini", valid)).exit_code, ExitCode.DONE)
        cases = [
            (SETTINGS.format(port=3), "differs from that of [administration]"),
            (valid + "[lease]\nrenewal_ms = 500\n", "at most a third of lease_ms, 400"),
            (valid + "[placement]\npolicy = random\n", "valid names are: bounded-load"),
        ]
        for text, expected in cases:
            result = run("check-config", self.file("a.ini", text))
            self.assertEqual(result.exit_code, ExitCode.BAD_INPUT)
            self.assertIn(expected, result.stderr)

    def test_settings_lists_all(self):
        """Guards against settings that the command does not list."""
        output = run("settings").stdout
        for section, option, default, _, _ in setting_rows():
            self.assertIn(f"[{section}] {option} = {default}", output)

    def test_exit_codes_are_documented(self):
        """Guards against exit codes without a documented meaning."""
        self.assertEqual(set(EXIT_TEXTS), set(ExitCode))


class EntryFileTest(FilesTest):
    def test_written_files_are_read_again(self):
        """Guards against values that are lost when a written entry file is read again."""
        document = EntryDocument("depot", "a team = 50%", RequestClass.ONCE, recovery=3)
        self.assertEqual(read_entry(Path(self.file("e", write_entry(document)))), document)

    def test_bad_files(self):
        """Guards against bad files that raise anything but `InvalidEntryFileError`."""
        entry = "[entry]\nservice = depot\nowner = x\n"
        for text, expected in (
            ("", "section [entry] is missing"),
            ("service = depot", "no section headers"),
            (entry + "groups = many\n", "groups is 'many'; allowed: `int`"),
            (entry + "groups = 0\n", "groups is '0'; allowed: `int` >= 1"),
            (entry + "[limits]\nqueue = 1\n", "unknown field limits.queue"),
            (entry + entry, "already exists"),
            ("{", "no JSON"),
        ):
            with (
                self.subTest(expected=expected),
                self.assertRaisesRegex(InvalidEntryFileError, expected.replace("[", r"\[")),
            ):
                read_entry(Path(self.file("e", text)))
