"""Tests of journals and verdicts."""

from __future__ import annotations

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from fescueward.kernel.errors import Outcome
from fescueward.testing.errors import JournalError
from fescueward.testing.journal import EventKind, JournalEvent, JournalWriter, read_journal
from fescueward.testing.load import Record
from fescueward.testing.verdicts import Rule, judge

START, END, ABORTED, EXIT = EventKind.START, EventKind.END, EventKind.ABORTED, EventKind.EXIT


def _event(kind, at_ns, run=1, upstream="one", epoch=1, **details):
    details = {"request_id": f"{upstream}-{run}", "key": "k", "shard": 3, **details}
    pid = {"one": 1, "two": 2}[upstream]
    return JournalEvent(
        kind=kind,
        time_ns=at_ns,
        upstream=upstream,
        pid=pid,
        port=9,
        service="depot",
        run=run,
        epoch=epoch,
        **details,
    )


def _record(request_id, **details):
    values = {
        "begun_s": 0.0,
        "start_s": 0.0,
        "end_s": 1.0,
        "final": True,
        "target": "t",
        "request_id": request_id,
        "key": "k",
        "token": None,
        "status": 200,
        "label": "",
        "outcome": None,
        "served_by": "one",
        "run_request_id": request_id,
        "digest_ok": True,
        "succeeded": True,
    }
    return Record(**{**values, **details})


FIRST = (_event(START, 10), _event(END, 20))
SECOND = (
    _event(START, 30, upstream="two", epoch=2),
    _event(END, 40, upstream="two", epoch=2),
)


class VerdictTest(unittest.TestCase):
    def _violated_rules(self, events, records=()):
        return [violation.rule for violation in judge(events, records).violations]

    def test_clean_handover_holds(self):
        """Guards against verdicts that report a handover of a key as a violation."""
        verdict = judge(FIRST + SECOND, [_record("one-1"), _record("two-1")])
        self.assertTrue(verdict.holds, str(verdict))
        self.assertEqual((verdict.runs, verdict.completed, verdict.runs_per_request), (2, 2, 1.0))

    def test_overlap_of_two_owners(self):
        """Guards against undetected overlaps of two owners, also when a run has no end."""
        overlap = (_event(START, 10), _event(END, 31), *SECOND)
        self.assertEqual(self._violated_rules(overlap), [Rule.TWO_OWNERS])
        self.assertEqual(self._violated_rules((_event(START, 10), *SECOND)), [Rule.TWO_OWNERS])
        other_key = replace(overlap[0], key="j")
        self.assertEqual(self._violated_rules((other_key, *overlap[1:])), [])
        long_and_short = (_event(START, 10), _event(START, 11, run=2), _event(END, 12, run=2))
        long_run_overlaps = (*long_and_short, _event(END, 35), *SECOND)
        self.assertEqual(self._violated_rules(long_run_overlaps), [Rule.TWO_OWNERS])

    def test_ends_of_processes_and_grants_end_runs(self):
        """Guards against false violations for killed and for paused upstreams."""
        exit_event = _event(EXIT, 25, run=0)
        self.assertEqual(self._violated_rules((_event(START, 10), exit_event, *SECOND)), [])
        start = _event(START, 10, valid_until_ns=28)
        aborted = _event(ABORTED, 50, valid_until_ns=28, reason="expired")
        self.assertEqual(self._violated_rules((start, *SECOND, aborted)), [])
        self.assertEqual(self._violated_rules((start, *SECOND, _event(EXIT, 60, run=0))), [])
        renewed = _event(EventKind.GRANT, 15, run=0, valid_until_ns=58)
        killed = (start, renewed, *SECOND, _event(EXIT, 60, run=0))
        self.assertEqual(self._violated_rules(killed), [Rule.TWO_OWNERS])

    def test_epochs(self):
        """Guards against a resumed owner that runs requests below the new epoch."""
        stale = (_event(START, 50, run=2, epoch=1), _event(END, 51, run=2, epoch=1))
        self.assertEqual(self._violated_rules((*FIRST, *SECOND, *stale)), [Rule.EPOCH_REVERTED])
        shared = tuple(replace(event, epoch=1) for event in SECOND)
        self.assertEqual(self._violated_rules((*FIRST, *shared)), [Rule.EPOCH_SHARED])

    def test_end_after_the_grant(self):
        """Guards against effects after the expiry of a grant."""
        late = (_event(START, 10, valid_until_ns=15), _event(END, 20, valid_until_ns=15))
        self.assertEqual(self._violated_rules(late), [Rule.OUTSIDE_GRANT])

    def test_tokens(self):
        """Guards against payments that run twice, also when the first run was aborted."""
        twice = [replace(event, token="t") for event in FIRST + SECOND]
        self.assertEqual(self._violated_rules(twice), [Rule.TOKEN_RAN_TWICE])
        twice[1] = replace(twice[1], kind=ABORTED)
        self.assertEqual(self._violated_rules(twice), [Rule.TOKEN_RAN_TWICE])

    def test_records_against_runs(self):
        """Guards against undetected responses that are wrong, without a run, or deny a run."""
        cases = (
            (_record("one-1", digest_ok=False), [Rule.WRONG_ANSWER]),
            (_record("other"), [Rule.ANSWER_WITHOUT_RUN]),
            (_record("other", token="t"), []),
            (
                _record("one-1", digest_ok=None, outcome=Outcome.NOT_RUN),
                [Rule.RAN_THOUGH_NOT_RUN],
            ),
            (_record("one-1", digest_ok=None, outcome=Outcome.OUTCOME_UNKNOWN), []),
        )
        events = [replace(event, token="t") for event in FIRST]
        for record, expected in cases:
            self.assertEqual(self._violated_rules(events, [record]), expected, record)


class JournalTest(unittest.TestCase):
    def test_written_events_can_be_read(self):
        """Guards against journals that lose fields, and against undetected malformed lines."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "journal"
            self.assertEqual(read_journal(path), ())
            for event in FIRST:
                writer = JournalWriter(path)
                writer.append(event)
                writer.close()
            self.assertEqual(read_journal(path), FIRST)
            path.write_text('{"kind":"start"}\n')
            with self.assertRaises(JournalError):
                read_journal(path)
