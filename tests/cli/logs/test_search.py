"""Tests of the `logs` command."""

from __future__ import annotations

import json
from pathlib import Path
from unittest import mock

from fescueward.cli.exits import ExitCode
from fescueward.cli.logs import request_log_lines, search
from fescueward.cli.logs.answer import ProcessEnd, RequestLog

from ..test_commands import FilesTest, run
from .samples import line, start_line

REQUEST_ID = "f04d6c05f57db934"
OTHER_REQUEST_ID = "c59304506f169fcd"


def received_line(at_s: float, request: str = REQUEST_ID) -> str:
    fields = {"service": "depot", "key": "150", "configuration": 2, "timeout_ms": 2000}
    return line(at_s, "request_received", request=request, **fields)


def sent_line(at_s: float, member: str, request: str = REQUEST_ID) -> str:
    return line(at_s, "request_sent", request=request, service="depot", key="150", member=member)


def refused_line(at_s: float, code: int, label: str, outcome: str) -> str:
    fields = {"code": code, "label": label, "outcome": outcome}
    return line(
        at_s, "request_not_served", request=REQUEST_ID, service="depot", key="150", **fields
    )


def answered_line(at_s: float, status: int, request: str = REQUEST_ID) -> str:
    return line(at_s, "request_answered", request=request, status=status)


class LogsTest(FilesTest):
    def search(self, around_s: float | None = None, **texts: str) -> RequestLog:
        """Searches for the request in files with the names and texts of `texts`."""
        paths = [Path(self.file(f"{name}.log", text)) for name, text in texts.items()]
        return search(REQUEST_ID, paths, around_s)

    def overloaded(self) -> dict[str, str]:
        """Returns the logs of a request that the owner of its key refuses, by file name."""
        a1 = (
            start_line(1, "a1")
            + line(2, "configuration_applied", version=2)
            + received_line(10, OTHER_REQUEST_ID)
            + received_line(10.1)
            + sent_line(10.1, "b1:7")
            + refused_line(10.3, 2006, "overloaded", "not_run")
            + answered_line(10.4, 503)
            + line(10.5, "lease_expired")
        )
        b1 = (
            start_line(1, "b1")
            + line(2, "range_active", first=100, last=199, epoch=6)
            + line(3, "group_changed", group="depot/0", version=7, members=4)
            + line(10.2, "request_not_run", request=REQUEST_ID, service="depot", occupancy="full")
            + line(10.5, "range_released", first=100, last=199, epoch=6)
        )
        # The file of the owner comes first: the key must be found for any order of the files.
        return {"x": b1, "y": a1}

    def test_lines_of_two_agents_with_beliefs(self):
        """Guards against lines that are sorted by file, and beliefs from later lines."""
        result = self.search(**self.overloaded())
        self.assertEqual(
            [(entry.agent, entry.line.event) for entry in result.lines],
            [
                ("a1", "request_received"),
                ("a1", "request_sent"),
                ("b1", "request_not_run"),
                ("a1", "request_not_served"),
                ("a1", "request_answered"),
            ],
        )
        receiver, owner = result.lines[0].beliefs, result.lines[2].beliefs
        assert receiver.configuration and owner.grant and owner.group
        self.assertEqual(receiver.configuration.value, "version 2")
        self.assertIsNone(receiver.grant)
        self.assertIsNone(result.lines[-1].beliefs.lease)
        # The line of the owner has no key; the key comes from the line of the receiving agent.
        self.assertEqual(owner.grant.value, "range 100-199 held, epoch 6")
        self.assertEqual((owner.group.value, owner.group.age_s), ("version 7, 4 members", 7.2))
        self.assertIsNone(owner.load)
        self.assertEqual(result.changes, ())

    def test_lines_of_one_millisecond(self):
        """Guards against an owner's refusal that is sorted before the receipt of the request."""
        b1 = line(3, "request_not_run", request=REQUEST_ID)
        a1 = start_line(1, "a1") + received_line(3) + sent_line(3, "b1:7") + answered_line(3, 503)
        summary = self.search(b1=b1, a=a1).summary
        self.assertEqual(summary.agents, ("a1", "b1"))

    def test_summary_of_a_refusal(self):
        """Guards against a summary without the caller's response or the agents of the route."""
        summary = self.search(**self.overloaded()).summary
        self.assertEqual(
            (summary.code, summary.label, summary.outcome, summary.status),
            (2006, "overloaded", "not_run", 503),
        )
        self.assertEqual((summary.agents, summary.without_lines), (("a1", "b1"), ()))
        self.assertEqual((summary.ends, summary.lines, summary.files), ((), 5, 2))

    def test_lines_that_are_not_json(self):
        """Guards against a search that stops at a line that no agent wrote."""
        malformed = "Traceback:\n\xff\n[1]\n7\n{}\n" + '{"time":"x"}\n' + '{"time":1}\n\n'
        a1 = malformed + received_line(1) + answered_line(2, 200) + '{"time":"2026-04-16T16:5'
        summary = self.search(a1=a1).summary
        self.assertEqual((summary.lines, summary.not_json), (2, 9))
        self.assertEqual((summary.outcome, summary.status, summary.code), ("answered", 200, None))

    def test_long_line_is_skipped(self):
        """Guards against a file without line ends that exhausts the memory."""
        with mock.patch("fescueward.cli.logs.files._MAX_LINE_BYTES", 1000):
            summary = self.search(a1="x" * 5000 + "\n" + received_line(1)).summary
        self.assertEqual((summary.lines, summary.not_json), (1, 1))

    def test_kept_lines_are_bounded(self):
        """Guards against a request in a forwarding loop that exhausts the memory."""
        with mock.patch("fescueward.cli.logs.search.MAX_LINES", 3):
            result = self.search(a1="".join(map(received_line, range(10))))
        self.assertEqual((len(result.lines), result.summary.not_shown), (3, 7))

    def test_lines_that_agents_left_out_are_counted(self):
        """Guards against a dropped line that looks like a request that did not arrive."""
        dropped = line(3, "log_lines_left_out", request_run=40, request_sent=2)
        self.assertEqual(self.search(a1=received_line(1) + dropped).summary.left_out, 42)

    def test_beliefs_of_an_earlier_process(self):
        """Guards against a lease that is carried over from the previous process."""
        text = start_line(1, "a1") + line(2, "lease_held") + start_line(5, "a1") + received_line(6)
        beliefs = self.search(a=text).lines[0].beliefs
        assert beliefs.state is not None
        self.assertEqual((beliefs.state.value, beliefs.lease), ("starting", None))

    def test_lost_at_a_restart(self):
        """Guards against a summary that omits the end of the process with the request."""
        stopped = line(4, "leaving") + line(6, "left") + line(7, "agent_stopped")
        b1 = start_line(1, "b1") + line(2, "group_joined")
        restart = start_line(8, "b1")
        cases = {
            "stopped": (b1 + stopped + restart, "2026-04-16T16:55:07.000+00:00", "stopped"),
            "replaced": (b1 + restart, "2026-04-16T16:55:02.000+00:00", "member"),
            "silent": (b1, "2026-04-16T16:55:02.000+00:00", "member"),
        }
        a1 = start_line(1, "a1") + received_line(3) + sent_line(3, "b1:7")
        a1 += refused_line(9, 2010, "outcome_unknown", "outcome_unknown") + answered_line(9, 502)
        for how, (text, last_time, state) in cases.items():
            with self.subTest(how=how):
                summary = self.search(a1=a1, b=text).summary
                self.assertEqual(summary.ends, (ProcessEnd("b1", last_time, how, state),))
                self.assertEqual(summary.without_lines, ("b1",))

    def test_receiving_agent_is_lost(self):
        """Guards against a request without a response that looks like a served one."""
        a1 = start_line(1, "a1") + received_line(3) + sent_line(3, "b1:7")
        b1 = start_line(1, "b1") + line(
            4, "request_run", request=REQUEST_ID, service="depot", key="150"
        )
        restart = start_line(3.5, "a1")
        summary = self.search(a1=a1 + restart, b=b1).summary
        self.assertEqual((summary.outcome, summary.status), ("no_answer", None))
        self.assertEqual([(end.agent, end.how) for end in summary.ends], [("a1", "replaced")])

    def test_open_at_the_end_of_a_stop(self):
        """Guards against a request that a stopping agent aborts without a sign in the summary."""
        a1 = (
            start_line(1, "a1")
            + received_line(3)
            + line(4, "shutdown_phase", phase="closing", open=1)
        )
        a1 += line(4, "request_open_at_end", request=REQUEST_ID) + line(5, "agent_stopped")
        result = self.search(a1=a1, b1=line(9, "lease_held"))
        beliefs = result.lines[-1].beliefs
        assert beliefs.state is not None
        self.assertEqual(beliefs.state.value, "stopping, closing")
        self.assertEqual(result.summary.outcome, "no_answer")
        self.assertEqual([end.how for end in result.summary.ends], ["stopped"])
        # Without that line, the process counts as ended if it logs nothing after the deadline.
        a1 = start_line(1, "a1") + received_line(3) + line(4, "leaving") + line(9, "lease_held")
        self.assertEqual(self.search(a1=a1).summary.ends, ())
        silent = start_line(1, "a1") + received_line(3) + line(4, "leaving")
        ends = self.search(a1=silent).summary.ends
        self.assertEqual([(end.how, end.state) for end in ends], [("silent", "leaving")])

    def test_caller_left(self):
        """Guards against a disconnect of the caller that looks like a lost request."""
        a1 = start_line(1, "a1") + received_line(3) + line(4, "caller_left", request=REQUEST_ID)
        summary = self.search(a1=a1, b1=line(9, "lease_held")).summary
        self.assertEqual((summary.outcome, summary.ends), ("caller_left", ()))

    def test_ends_at_other_times_are_not_of_the_request(self):
        """Guards against a restart at another time that is reported as the cause."""
        restarted = start_line(1, "b1") + line(2, "agent_stopped") + start_line(3, "b1")
        b1 = restarted + line(11, "request_run", request=REQUEST_ID) + line(20, "agent_stopped")
        a1 = (
            start_line(1, "a1")
            + received_line(10)
            + sent_line(10, "b1:7")
            + answered_line(12, 200)
        )
        self.assertEqual(self.search(a1=a1, b1=b1).summary.ends, ())

    def test_other_ranges_are_left_out(self):
        """Guards against output in which the range of the key is lost among hundreds of others."""
        others = [[number, number, "b1:7", "c1:7"] for number in range(40)]
        b1 = start_line(1, "b1") + line(2, "range_released", first=0, last=99, epoch=6)
        b1 += line(3, "ranges_moving", moving=[*others, [100, 199, "b1:7", "c1:7"]])
        b1 += received_line(4) + answered_line(4, 503)
        result = self.search(9, b1=b1)
        moving = [change.line.event for change in result.changes]
        self.assertEqual(moving, ["agent_started", "ranges_moving"])
        text = "\n".join(request_log_lines(result))
        self.assertIn("moving=[[100, 199, 'b1:7', 'c1:7']] and 40 others", text)

    def test_changes_near_the_request(self):
        """Guards against changes of agents off the route, and changes at other times."""
        texts = self.overloaded()
        monitor = (
            start_line(1, "m1")
            + line(9, "member_taken_over", members="b1:7", group="depot/0", version=8)
            + line(10, "member_taken_over", members="c1:7", group="orders/0", version=8)
            + line(10, "peer_disconnected", peer="b1:7")
            + line(10, "group_changed", group="depot/0", version=8, members=3)
            + line(10, "lease_held")
        )
        result = self.search(1.5, **texts, m=monitor)
        self.assertEqual(
            [(change.agent, change.line.event) for change in result.changes],
            [("m1", "member_taken_over"), ("b1", "range_released"), ("a1", "lease_expired")],
        )
        self.assertEqual(result.summary.agents, ("a1", "b1"))


class LogsCommandTest(FilesTest):
    def setUp(self):
        super().setUp()
        text = start_line(1, "a1") + "no JSON\n" + received_line(2) + answered_line(3, 200)
        self.log = self.file("a1.log", text)

    def test_text(self):
        """Guards against lines wider than 80 columns and a missing summary."""
        result = run("logs", REQUEST_ID, self.log, "--around", "2")
        self.assertEqual(result.exit_code, ExitCode.DONE, result.stderr)
        lines = result.stdout.splitlines()
        self.assertLessEqual(max(map(len, lines)), 80)
        self.assertTrue(lines[0].startswith("+ 16:55:01.000 a1 1010 agent_started"), lines[0])
        self.assertIn("16:55:02.000 a1 3712 request_received", lines)
        self.assertIn("beliefs: state starting (1.000 s); configuration unknown", result.stdout)
        self.assertIn("code none; outcome answered; status 200; through a1", lines)
        self.assertIn("2 lines in 1 files; 1 lines are not JSON", result.stdout)

    def test_json(self):
        """Guards against JSON output without the documented keys."""
        result = json.loads(run("logs", REQUEST_ID, self.log, "--json").stdout)
        self.assertEqual(result["request"], REQUEST_ID)
        self.assertEqual(result["lines"][0]["line"]["fields"]["service"], "depot")
        self.assertEqual(result["lines"][0]["beliefs"]["state"]["value"], "starting")
        self.assertEqual(result["summary"]["status"], 200)

    def test_failures(self):
        """Guards against an unknown id or an unreadable file that gives an empty result."""
        cases = [
            (("logs", OTHER_REQUEST_ID, self.log), 6011, ExitCode.FAILED),
            (("logs", REQUEST_ID[:-1], self.log), 6011, ExitCode.FAILED),
            (("logs", REQUEST_ID, self.log, "/nonexistent"), 6010, ExitCode.BAD_INPUT),
            (("logs", REQUEST_ID, str(self.directory)), 6010, ExitCode.BAD_INPUT),
            (("logs", REQUEST_ID, "/dev/null"), 6010, ExitCode.BAD_INPUT),
        ]
        for arguments, code, exit_code in cases:
            with self.subTest(arguments=arguments):
                result = run(*arguments)
                self.assertEqual(result.exit_code, exit_code, result.stderr)
                self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
                self.assertTrue(result.stderr.startswith(f"error {code} "), result.stderr)
        self.assertEqual(run("logs", REQUEST_ID).exit_code, ExitCode.BAD_INPUT)
