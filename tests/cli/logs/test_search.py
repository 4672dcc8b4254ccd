"""Tests of the `logs` command."""

from __future__ import annotations

import json
from pathlib import Path
from unittest import mock

from fescueward.cli.exits import ExitCode
from fescueward.cli.logs import request_log_lines, search
from fescueward.cli.logs.answer import ProcessEnd, RequestLog

from ..test_commands import FilesTest, run
from .samples import line, started

ID = "f04d6c05f57db934"
OTHER = "c59304506f169fcd"


def received(at: float, request: str = ID) -> str:
    fields = {"service": "depot", "key": "150", "configuration": 2, "timeout_ms": 2000}
    return line(at, "request_received", request=request, **fields)


def sent(at: float, member: str, request: str = ID) -> str:
    return line(at, "request_sent", request=request, service="depot", key="150", member=member)


def refused(at: float, code: int, label: str, outcome: str) -> str:
    fields = {"code": code, "label": label, "outcome": outcome}
    return line(at, "request_not_served", request=ID, service="depot", key="150", **fields)


def answered(at: float, status: int, request: str = ID) -> str:
    return line(at, "request_answered", request=request, status=status)


class LogsTest(FilesTest):
    def search(self, around_s: float | None = None, **texts: str) -> RequestLog:
        """Searches files of the given names for the request."""
        paths = [Path(self.file(f"{name}.log", text)) for name, text in texts.items()]
        return search(ID, paths, around_s)

    def overloaded(self) -> dict[str, str]:
        """Returns the logs of a request that the owner of its key refuses."""
        a1 = (
            started(1, "a1")
            + line(2, "configuration_applied", version=2)
            + received(10, OTHER)
            + received(10.1)
            + sent(10.1, "b1:7")
            + refused(10.3, 2006, "overloaded", "not_run")
            + answered(10.4, 503)
            + line(10.5, "lease_expired")
        )
        b1 = (
            started(1, "b1")
            + line(2, "range_active", first=100, last=199, epoch=6)
            + line(3, "group_changed", group="depot/0", version=7, members=4)
            + line(10.2, "request_not_run", request=ID, service="depot", occupancy="full")
            + line(10.5, "range_released", first=100, last=199, epoch=6)
        )
        # The file of the owner stands first: what is known of the key must not depend on order.
        return {"x": b1, "y": a1}

    def test_lines_of_two_agents_with_beliefs(self):
        """Guards against lines by file instead of time, and beliefs of later lines."""
        found = self.search(**self.overloaded())
        self.assertEqual(
            [(one.agent, one.line.event) for one in found.lines],
            [
                ("a1", "request_received"),
                ("a1", "request_sent"),
                ("b1", "request_not_run"),
                ("a1", "request_not_served"),
                ("a1", "request_answered"),
            ],
        )
        here, there = found.lines[0].beliefs, found.lines[2].beliefs
        assert here.configuration and there.grant and there.group
        self.assertEqual(here.configuration.value, "version 2")
        self.assertIsNone(here.grant)
        self.assertIsNone(found.lines[-1].beliefs.lease)
        # The owner's line names no key: it is known from the first agent.
        self.assertEqual(there.grant.value, "range 100-199 held, epoch 6")
        self.assertEqual((there.group.value, there.group.age_s), ("version 7, 4 members", 7.2))
        self.assertIsNone(there.load)
        self.assertEqual(found.changes, ())

    def test_lines_of_one_millisecond(self):
        """Guards against an owner that seems to refuse before the request came."""
        b1 = line(3, "request_not_run", request=ID)
        a1 = started(1, "a1") + received(3) + sent(3, "b1:7") + answered(3, 503)
        summary = self.search(b1=b1, a=a1).summary
        self.assertEqual(summary.agents, ("a1", "b1"))

    def test_summary_of_a_refusal(self):
        """Guards against a summary that does not tell what the caller got and from whom."""
        summary = self.search(**self.overloaded()).summary
        self.assertEqual(
            (summary.code, summary.label, summary.outcome, summary.status),
            (2006, "overloaded", "not_run", 503),
        )
        self.assertEqual((summary.agents, summary.without_lines), (("a1", "b1"), ()))
        self.assertEqual((summary.ends, summary.lines, summary.files), ((), 5, 2))

    def test_lines_that_are_not_json(self):
        """Guards against a search that ends at a line of another program."""
        bad = "Traceback:\n\xff\n[1]\n7\n{}\n" + '{"time":"x"}\n' + '{"time":1}\n\n'
        a1 = bad + received(1) + answered(2, 200) + '{"time":"2026-04-16T16:5'
        summary = self.search(a1=a1).summary
        self.assertEqual((summary.lines, summary.not_json), (2, 9))
        self.assertEqual((summary.outcome, summary.status, summary.code), ("answered", 200, None))

    def test_long_line_is_passed_over(self):
        """Guards against a file without line ends that fills the memory."""
        with mock.patch("fescueward.cli.logs.files._LINE_BYTES", 1000):
            summary = self.search(a1="x" * 5000 + "\n" + received(1)).summary
        self.assertEqual((summary.lines, summary.not_json), (1, 1))

    def test_kept_lines_are_bounded(self):
        """Guards against a request in a loop that fills the memory."""
        with mock.patch("fescueward.cli.logs.search.MOST_LINES", 3):
            found = self.search(a1="".join(map(received, range(10))))
        self.assertEqual((len(found.lines), found.summary.not_shown), (3, 7))

    def test_lines_that_agents_left_out_are_counted(self):
        """Guards against a missing line that is taken for a request which did not arrive."""
        left_out = line(3, "log_lines_left_out", request_run=40, request_sent=2)
        self.assertEqual(self.search(a1=received(1) + left_out).summary.left_out, 42)

    def test_beliefs_of_an_earlier_process(self):
        """Guards against a lease that ended with the process before."""
        text = started(1, "a1") + line(2, "lease_held") + started(5, "a1") + received(6)
        beliefs = self.search(a=text).lines[0].beliefs
        assert beliefs.state is not None
        self.assertEqual((beliefs.state.value, beliefs.lease), ("starting", None))

    def test_lost_at_a_restart(self):
        """Guards against a request that ended with its process without a word in the summary."""
        stopped = line(4, "leaving") + line(6, "left") + line(7, "agent_stopped")
        b1 = started(1, "b1") + line(2, "group_joined")
        again = started(8, "b1")
        cases = {
            "stopped": (b1 + stopped + again, "2026-04-16T16:55:07.000+00:00", "stopped"),
            "replaced": (b1 + again, "2026-04-16T16:55:02.000+00:00", "member"),
            "silent": (b1, "2026-04-16T16:55:02.000+00:00", "member"),
        }
        a1 = started(1, "a1") + received(3) + sent(3, "b1:7")
        a1 += refused(9, 2010, "outcome_unknown", "outcome_unknown") + answered(9, 502)
        for how, (text, last_time, state) in cases.items():
            with self.subTest(how=how):
                summary = self.search(a1=a1, b=text).summary
                self.assertEqual(summary.ends, (ProcessEnd("b1", last_time, how, state),))
                self.assertEqual(summary.without_lines, ("b1",))

    def test_receiving_agent_is_lost(self):
        """Guards against a request without an answer that looks like a served one."""
        a1 = started(1, "a1") + received(3) + sent(3, "b1:7")
        b1 = started(1, "b1") + line(4, "request_run", request=ID, service="depot", key="150")
        later = started(3.5, "a1")
        summary = self.search(a1=a1 + later, b=b1).summary
        self.assertEqual((summary.outcome, summary.status), ("no_answer", None))
        self.assertEqual([(end.agent, end.how) for end in summary.ends], [("a1", "replaced")])

    def test_open_at_the_end_of_a_stop(self):
        """Guards against a request that a stopping agent cuts and no line of the answer tells."""
        a1 = started(1, "a1") + received(3) + line(4, "shutdown_phase", phase="closing", open=1)
        a1 += line(4, "request_open_at_end", request=ID) + line(5, "agent_stopped")
        found = self.search(a1=a1, b1=line(9, "lease_held"))
        beliefs = found.lines[-1].beliefs
        assert beliefs.state is not None
        self.assertEqual(beliefs.state.value, "stopping, closing")
        self.assertEqual(found.summary.outcome, "no_answer")
        self.assertEqual([end.how for end in found.summary.ends], ["stopped"])
        # It is also the last that is heard of the request if nobody writes that line.
        a1 = started(1, "a1") + received(3) + line(4, "leaving") + line(9, "lease_held")
        self.assertEqual(self.search(a1=a1).summary.ends, ())
        silent = started(1, "a1") + received(3) + line(4, "leaving")
        ends = self.search(a1=silent).summary.ends
        self.assertEqual([(end.how, end.state) for end in ends], [("silent", "leaving")])

    def test_caller_left(self):
        """Guards against a caller's own end that looks like a loss."""
        a1 = started(1, "a1") + received(3) + line(4, "caller_left", request=ID)
        summary = self.search(a1=a1, b1=line(9, "lease_held")).summary
        self.assertEqual((summary.outcome, summary.ends), ("caller_left", ()))

    def test_ends_at_other_times_are_not_of_the_request(self):
        """Guards against a restart of yesterday as the cause."""
        restarted = started(1, "b1") + line(2, "agent_stopped") + started(3, "b1")
        b1 = restarted + line(11, "request_run", request=ID) + line(20, "agent_stopped")
        a1 = started(1, "a1") + received(10) + sent(10, "b1:7") + answered(12, 200)
        self.assertEqual(self.search(a1=a1, b1=b1).summary.ends, ())

    def test_other_ranges_are_left_out(self):
        """Guards against hundreds of ranges in which the one of the key is not found."""
        others = [[number, number, "b1:7", "c1:7"] for number in range(40)]
        b1 = started(1, "b1") + line(2, "range_released", first=0, last=99, epoch=6)
        b1 += line(3, "ranges_moving", moving=[*others, [100, 199, "b1:7", "c1:7"]])
        b1 += received(4) + answered(4, 503)
        found = self.search(9, b1=b1)
        moving = [change.line.event for change in found.changes]
        self.assertEqual(moving, ["agent_started", "ranges_moving"])
        text = "\n".join(request_log_lines(found))
        self.assertIn("moving=[[100, 199, 'b1:7', 'c1:7']] and 40 others", text)

    def test_changes_near_the_request(self):
        """Guards against changes of all agents, and changes long before."""
        texts = self.overloaded()
        monitor = (
            started(1, "m1")
            + line(9, "member_taken_over", members="b1:7", group="depot/0", version=8)
            + line(10, "member_taken_over", members="c1:7", group="orders/0", version=8)
            + line(10, "peer_disconnected", peer="b1:7")
            + line(10, "group_changed", group="depot/0", version=8, members=3)
            + line(10, "lease_held")
        )
        found = self.search(1.5, **texts, m=monitor)
        self.assertEqual(
            [(change.agent, change.line.event) for change in found.changes],
            [("m1", "member_taken_over"), ("b1", "range_released"), ("a1", "lease_expired")],
        )
        self.assertEqual(found.summary.agents, ("a1", "b1"))


class LogsCommandTest(FilesTest):
    def setUp(self):
        super().setUp()
        text = started(1, "a1") + "no JSON\n" + received(2) + answered(3, 200)
        self.log = self.file("a1.log", text)

    def test_text(self):
        """Guards against lines that do not fit a terminal or lack the summary."""
        result = run("logs", ID, self.log, "--around", "2")
        self.assertEqual(result.exit_code, ExitCode.DONE, result.stderr)
        lines = result.stdout.splitlines()
        self.assertLessEqual(max(map(len, lines)), 80)
        self.assertTrue(lines[0].startswith("+ 16:55:01.000 a1 1010 agent_started"), lines[0])
        self.assertIn("16:55:02.000 a1 3712 request_received", lines)
        self.assertIn("held: state starting (1.000 s); configuration not told", result.stdout)
        self.assertIn("code none; outcome answered; status 200; through a1", lines)
        self.assertIn("2 lines in 1 files; 1 lines are not JSON", result.stdout)

    def test_json(self):
        """Guards against an answer that programs cannot read."""
        found = json.loads(run("logs", ID, self.log, "--json").stdout)
        self.assertEqual(found["request"], ID)
        self.assertEqual(found["lines"][0]["line"]["fields"]["service"], "depot")
        self.assertEqual(found["lines"][0]["beliefs"]["state"]["value"], "starting")
        self.assertEqual(found["summary"]["status"], 200)

    def test_failures(self):
        """Guards against an unknown id that looks like a request without events."""
        cases = [
            (("logs", OTHER, self.log), 6011, ExitCode.FAILED),
            (("logs", ID[:-1], self.log), 6011, ExitCode.FAILED),
            (("logs", ID, self.log, "/nonexistent"), 6010, ExitCode.BAD_INPUT),
            (("logs", ID, str(self.directory)), 6010, ExitCode.BAD_INPUT),
            (("logs", ID, "/dev/null"), 6010, ExitCode.BAD_INPUT),
        ]
        for arguments, code, exit_code in cases:
            with self.subTest(arguments=arguments):
                result = run(*arguments)
                self.assertEqual(result.exit_code, exit_code, result.stderr)
                self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)
                self.assertTrue(result.stderr.startswith(f"error {code} "), result.stderr)
        self.assertEqual(run("logs", ID).exit_code, ExitCode.BAD_INPUT)
