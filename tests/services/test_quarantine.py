"""Tests of suspected and quarantined requests and of their reports."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress
from types import SimpleNamespace
from unittest import mock

from fescueward.kernel import Kernel
from fescueward.kernel.errors import (
    BodyTruncatedError,
    DeadlineExceededError,
    DeadlineExceededRunningError,
    InvalidRequestError,
    OutcomeLostError,
    PlatformUnavailableError,
    QuarantinedError,
    UpstreamUnavailableError,
)
from fescueward.messages import GroupId, VersionedGroup
from fescueward.messages.codec import encode_json
from fescueward.messages.group_object import decode_group
from fescueward.messages.peer import CrashReport
from fescueward.messages.request import BytesBody
from fescueward.services import crash_reports
from fescueward.services import quarantine as module
from fescueward.services.crash_records import CrashRecords, with_crashes
from fescueward.services.fingerprints import fingerprint_of
from fescueward.services.quarantine import CrashQuarantine
from fescueward.testing.waiting import wait_until

from .fakes import FakePeers, StreamedBody, StubRegistry, make_group, make_request


class Member:
    """A member with a quarantine service, in a group of two."""

    def __init__(self, name: str, **options: float) -> None:
        self.name = f"{name}:1"
        self.peers = FakePeers()
        self.upstream = SimpleNamespace(crashes=0, subscribe=lambda listener: None)
        self.view = make_group(1, f"{name}:1", "a", "b")
        self.unavailable = False
        self.writes = 0
        self.quarantine = CrashQuarantine(Kernel(), **options)
        self.quarantine.bind(
            StubRegistry(
                peers=self.peers,
                upstream=self.upstream,
                groups=SimpleNamespace(
                    view=lambda _: self.view, subscribe=lambda _: None, edit=self.edit
                ),
                membership=SimpleNamespace(
                    member_id=f"{name}:1", own_group_id=GroupId("depot", 0)
                ),
            )
        )

    async def edit(self, group_id, change):
        """Writes the group object, unless `unavailable` is set."""
        if self.unavailable:
            raise PlatformUnavailableError("down")
        changed = change(self.view.group)
        if changed is not None:
            self.writes += 1
            self.change_group(VersionedGroup(self.view.version + 1, changed))
        return self.view

    def change_group(self, view):
        self.view = view
        self.quarantine.group_changed(view)

    async def crash(self, *requests):
        """Runs requests concurrently that all fail in one upstream crash."""
        guards = [self.quarantine.guard(request) for request in requests]
        for guard in guards:
            await guard.__aenter__()
        self.upstream.crashes += 1
        for guard in guards:
            await guard.__aexit__(OutcomeLostError, OutcomeLostError("reset"), None)

    async def fail_without_response(self, request, error=OutcomeLostError):
        """Runs a request that fails without a response before a crash is detected."""
        with suppress(error):
            async with self.quarantine.guard(request):
                raise error("no response")

    def detect_crash(self):
        """Reports a crash of the upstream to the quarantine."""
        self.upstream.crashes += 1
        self.quarantine.upstream_crashed()

    async def succeed(self, request):
        async with self.quarantine.guard(request):
            pass


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.a, self.b = Member("a"), Member("b")

    async def deliver_messages(self) -> None:
        # Tasks that send reports to new members begin.
        await asyncio.sleep(0)
        await wait_until(
            lambda: (
                not any(member.quarantine._reports._pending_reports for member in (self.a, self.b))
            ),
            5,
            "all reports are sent",
        )
        for source, target in ((self.a, self.b), (self.b, self.a)):
            sent, source.peers.sent[:] = tuple(source.peers.sent), ()
            for _, message in sent:
                target.peers.handlers[type(message)](source.name, message)

    async def test_second_crash_quarantines_in_the_whole_group(self):
        """Guards against a request that crashes one upstream after another."""
        poison = make_request(path="/poison")
        await self.a.crash(poison)
        await self.deliver_messages()
        await self.b.crash(poison)  # the key has moved to `b`
        with self.assertRaises(QuarantinedError) as caught:
            await self.b.succeed(poison)
        self.assertEqual(caught.exception.label, "quarantined")
        await self.deliver_messages()
        with self.assertRaises(QuarantinedError):
            await self.a.succeed(poison)
        await self.a.succeed(make_request(path="/other"))  # other requests for the key are served

    async def test_success_clears_a_suspect_everywhere(self):
        """Guards against a quarantine of requests that only ran during the crash of another."""
        request = make_request()
        await self.a.crash(request)
        await self.deliver_messages()
        self.assertEqual(len(self.b.quarantine.suspects), 1)
        await self.b.succeed(request)
        await self.deliver_messages()
        self.assertEqual((self.a.quarantine.suspects, self.b.quarantine.suspects), ((), ()))
        await self.a.crash(request)
        await self.a.succeed(request)

    async def test_suspects_run_one_at_a_time(self):
        """Guards against a second crash that quarantines requests which did not cause it."""
        poison, other_request = make_request(path="/poison"), make_request(path="/fine")
        await self.a.crash(poison, other_request)
        running = self.a.quarantine.guard(poison)
        await running.__aenter__()
        waiting = asyncio.create_task(self.a.succeed(other_request))
        await self.a.succeed(make_request(path="/new"))  # not suspected, so it does not wait
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        self.a.upstream.crashes += 1
        await running.__aexit__(OutcomeLostError, OutcomeLostError("reset"), None)
        await waiting
        self.assertEqual(len(self.a.quarantine.quarantined), 1)
        with self.assertRaises(QuarantinedError):
            await self.a.succeed(poison)

    async def test_suspect_waits_within_its_deadline(self):
        """Guards against a suspect that waits forever, or whose wait blocks all others."""
        request, other = make_request(0.03), make_request(path="/other")
        await self.a.crash(request, other)
        async with self.a.quarantine.guard(other):
            with self.assertRaises(DeadlineExceededError):
                await self.a.succeed(request)
        await self.a.succeed(other)

    async def test_failures_without_a_crash_add_no_suspect(self):
        """Guards against suspects that result from a reset connection or a refusal."""
        for error in (OutcomeLostError("reset"), UpstreamUnavailableError("refused")):
            with self.assertRaises(type(error)):
                async with self.a.quarantine.guard(make_request()):
                    raise error
        with self.assertRaises(UpstreamUnavailableError):
            async with self.a.quarantine.guard(make_request()):
                self.a.upstream.crashes += 1
                raise UpstreamUnavailableError("never sent")
        self.assertEqual(self.a.quarantine.suspects, ())

    async def test_quarantine_ends(self):
        """Guards against a quarantine that never ends."""
        now = 0.0
        clock = SimpleNamespace(now=lambda: now, sleep=asyncio.sleep)
        with mock.patch.object(module, "_QUARANTINE_S", 10.0):
            registry = StubRegistry(
                clock=clock,
                peers=self.a.peers,
                upstream=self.a.upstream,
                groups=SimpleNamespace(view=lambda _: None, subscribe=lambda _: None, edit=None),
                membership=SimpleNamespace(member_id="a:1", own_group_id=None),
            )
            self.a.quarantine.bind(registry)
        request = make_request()
        await self.a.crash(request)
        await self.a.crash(request)
        with self.assertRaises(QuarantinedError):
            await self.a.succeed(request)
        now = 11.0
        await self.a.succeed(request)

    async def test_reports_of_non_members_are_ignored(self):
        """Guards against a client that quarantines requests without being a member."""
        report = CrashReport("a:1", quarantined=(fingerprint_of(make_request()),))
        self.a.peers.handlers[CrashReport]("client:1", report)
        await self.a.succeed(make_request())

    async def test_report_to_a_member_without_a_stream(self):
        """Guards against a third crash because the new owner got no report of the first."""
        send, unsent = self.a.peers.send, []

        def fail_first_sends(member, message):
            if len(unsent) < 2:
                unsent.append(message)
                return False
            return send(member, message)

        self.a.peers.send = fail_first_sends
        await self.a.crash(make_request())
        await wait_until(lambda: self.a.peers.sent, 2, "the report is sent")
        self.assertEqual(len(unsent), 2)

    async def test_member_that_was_not_known_at_the_crash(self):
        """Guards against a third crash at a member whose join the reporter had not received yet.

        In tests.integration.test_quarantine, an upstream crashed 4 ms before its agent received a
        group version with the other members, so they counted the next crash as the first.
        """
        poison = make_request(path="/poison")
        self.a.view = make_group(1, "a:1", "a")
        await self.a.crash(poison)
        await self.deliver_messages()
        self.a.change_group(make_group(2, "a:1", "a", "b"))
        await self.deliver_messages()
        await self.b.crash(poison)
        with self.assertRaises(QuarantinedError):
            await self.b.succeed(poison)

    async def test_member_that_joins_later(self):
        """Guards against a new member that runs requests which the others refuse."""
        poison, other = make_request(path="/poison"), make_request(path="/other")
        self.a.change_group(make_group(1, "a:1", "a"))
        await self.a.crash(poison)
        await self.a.crash(poison)
        await self.a.crash(other)
        await self.deliver_messages()
        self.a.change_group(make_group(2, "a:1", "a", "b"))
        await self.deliver_messages()
        with self.assertRaises(QuarantinedError):
            await self.b.succeed(poison)
        self.assertEqual(self.b.quarantine.suspects, (fingerprint_of(other),))

    async def test_reports_of_two_crashes_that_cross(self):
        """Guards against a third crash after two that were reported at the same time."""
        poison, other_request = make_request(path="/poison"), make_request(path="/fine")
        await asyncio.gather(self.a.crash(poison, other_request), self.b.crash(poison))
        await self.deliver_messages()
        for member in (self.a, self.b):
            with self.assertRaises(QuarantinedError):
                await member.succeed(poison)
            await member.succeed(other_request)

    async def test_response_waits_for_the_confirmations(self):
        """Guards against a retry that reaches the next owner before the crash report."""
        with mock.patch.object(crash_reports, "_CONFIRM_S", 5.0):
            crash = asyncio.create_task(self.a.crash(make_request()))
            await wait_until(lambda: self.a.peers.sent, 2, "the report is sent")
            self.assertFalse(crash.done())
            await self.deliver_messages()
            async with asyncio.timeout(2):
                await crash
        self.assertEqual(len(self.b.quarantine.suspects), 1)

    async def test_unresponsive_member_delays_a_response_for_a_bounded_time(self):
        """Guards against responses that wait for a member that cannot confirm."""
        with mock.patch.object(crash_reports, "_CONFIRM_S", 0.05):
            async with asyncio.timeout(2):
                await self.a.crash(make_request())

    async def test_report_that_a_new_member_ignores_is_repeated(self):
        """Guards against a lost report whose receiver had no group version with the sender yet."""
        self.b.view = make_group(1, "b:1", "b")
        await self.a.crash(make_request())
        await self.deliver_messages()
        self.assertEqual(self.b.quarantine.suspects, ())
        self.b.change_group(make_group(2, "b:1", "a", "b"))
        await wait_until(lambda: self.a.peers.sent, 2, "the report is sent again")
        await self.deliver_messages()
        self.assertEqual(len(self.b.quarantine.suspects), 1)

    async def test_equal_requests_of_one_crash_count_once(self):
        """Guards against a request that is refused after one crash because it was sent twice."""
        await self.a.crash(make_request(), make_request())
        await self.a.succeed(make_request())

    async def test_crash_that_is_detected_later(self):
        """Guards against not counting a crash that is detected after the run failed."""
        poison = make_request(path="/poison")
        await self.a.fail_without_response(poison)
        self.assertEqual(self.a.quarantine.suspects, ())
        self.a.detect_crash()
        self.a.detect_crash()  # without runs in between, it adds no suspect
        await self.deliver_messages()
        self.assertEqual(self.b.quarantine.suspects, (fingerprint_of(poison),))
        await self.b.fail_without_response(poison)
        self.b.detect_crash()
        with self.assertRaises(QuarantinedError):
            await self.b.succeed(poison)

    async def test_crash_without_a_reset(self):
        """Guards against not counting a crash that reset no connection."""
        unanswered = make_request(path="/poison")
        await self.a.fail_without_response(unanswered, DeadlineExceededRunningError)
        self.a.detect_crash()
        self.assertEqual(self.a.quarantine.suspects, (fingerprint_of(unanswered),))

    async def test_run_without_response_before_a_success_adds_no_suspect(self):
        """Guards against suspects from runs that failed long before a crash."""
        await self.a.fail_without_response(make_request())
        await self.a.succeed(make_request(path="/other"))
        self.a.detect_crash()
        self.assertEqual(self.a.quarantine.suspects, ())

    async def test_number_of_crashes_can_be_chosen(self):
        """Guards against quarantining other requests where the crashing one is retried quickly."""
        members = [Member(name, crash_limit=3) for name in "ab"]
        self.a, self.b = members
        poison = make_request(path="/poison")
        for member in (self.a, self.b, self.a):
            await member.fail_without_response(poison)
            member.detect_crash()
            await self.deliver_messages()
        for member in members:
            with self.assertRaises(QuarantinedError):
                await member.succeed(poison)

    async def test_request_that_runs_elsewhere_is_no_suspect(self):
        """Guards against quarantining a frequent request when three upstreams end at once."""
        self.a, self.b = (Member(name, crash_limit=3, success_window_s=60.0) for name in "ab")
        page = make_request(path="/page")
        await self.b.succeed(page)
        await self.a.fail_without_response(page)
        self.a.detect_crash()
        self.assertEqual(len(self.a.quarantine.suspects), 1)
        await self.deliver_messages()
        await self.deliver_messages()
        self.assertEqual((self.a.quarantine.suspects, self.b.quarantine.suspects), ((), ()))
        await self.b.fail_without_response(page)
        self.b.detect_crash()
        self.assertEqual(self.b.quarantine.suspects, ())

    async def test_caller_identifies_a_request(self):
        """Guards against a request that evades its quarantine with a different key."""
        request = make_request(caller="orders", key="1")
        self.assertEqual(
            fingerprint_of(request), fingerprint_of(make_request(caller="orders", key="2"))
        )
        self.assertNotEqual(fingerprint_of(request), fingerprint_of(make_request(caller="depot")))

    async def test_report_of_a_member_that_has_left(self):
        """Guards against ignoring the last report of an agent that left after a crash."""
        report = CrashReport("c:1", quarantined=(fingerprint_of(make_request()),))
        self.a.quarantine.group_changed(make_group(1, "a:1", "a", "b", "c"))
        self.a.quarantine.group_changed(make_group(2, "a:1", "a", "b"))
        self.a.peers.handlers[CrashReport]("c:1", report)
        with self.assertRaises(QuarantinedError):
            await self.a.succeed(make_request())

    async def test_fingerprint_of_streamed_bodies(self):
        """Guards against an upload that evades its quarantine by different chunk sizes."""
        buffered = make_request(body=b"ab" * 10)
        streamed = make_request(body=StreamedBody(b"ab", b"ab" * 9))
        async with self.a.quarantine.guard(streamed) as guarded:
            self.assertIsInstance(guarded.body, BytesBody)
            self.assertEqual(fingerprint_of(guarded), fingerprint_of(buffered))
        pieces = (b"x" * 40_000, b"y" * 40_000, b"z" * 40_000)
        fingerprints = set()
        for body in (StreamedBody(*pieces), StreamedBody(pieces[0] + pieces[1], pieces[2])):
            async with self.a.quarantine.guard(make_request(body=body)) as guarded:
                fingerprints.add(fingerprint_of(guarded))
                self.assertEqual(
                    b"".join([chunk async for chunk in guarded.body.chunks()]), b"".join(pieces)
                )
                self.assertTrue(guarded.body.started)
                await guarded.body.close()
                self.assertTrue(body.closed)
        self.assertEqual(len(fingerprints), 1)
        self.assertNotEqual(fingerprint_of(make_request(key="o")), fingerprint_of(make_request()))

    async def test_body_that_is_truncated_before_the_run(self):
        """Guards against an unknown outcome for a request of which no byte was forwarded."""
        body = StreamedBody(b"a", error=BodyTruncatedError("gone"))
        with self.assertRaises(InvalidRequestError):
            await self.a.succeed(make_request(body=body))


class RecordTest(unittest.IsolatedAsyncioTestCase):
    """The group object keeps crashes of requests when all agents have ended."""

    async def crash(self, member, *requests):
        await member.crash(*requests)
        # The group is written by a task.
        await asyncio.sleep(0.01)

    def next_process(self, member, **options):
        """Returns a process that knows nothing but the group object."""
        restarted = Member("a", crash_limit=3, **options)
        restarted.view = member.view
        return restarted

    async def test_quarantine_outlives_all_agents(self):
        """Guards against a request that crashes three upstreams more after each kill of all."""
        poison = make_request(path="/poison")
        member = Member("a", crash_limit=3)
        for _ in range(3):
            await self.crash(member, poison)
        for _ in range(2):
            member = self.next_process(member)
            with self.assertRaises(QuarantinedError):
                await member.succeed(poison)
            await member.succeed(make_request(path="/other"))

    async def test_crashes_on_both_sides_of_a_kill_are_counted(self):
        """Guards against kills between two crashes, after which the count begins anew."""
        poison = make_request(path="/poison")
        member = Member("a", crash_limit=3)
        for _ in range(2):
            await self.crash(member, poison)
        member = self.next_process(member)
        member.upstream.crashes = 5
        await self.crash(member, poison)
        with self.assertRaises(QuarantinedError):
            await member.succeed(poison)

    async def test_members_count_a_recorded_crash_once(self):
        """Guards against a request that is refused early, by a report and a record of a crash."""
        request = make_request()
        member, other = Member("a", crash_limit=3), Member("b", crash_limit=3)
        for _ in range(2):
            await self.crash(member, request)
        other.change_group(member.view)
        for crash in (1, 2):
            report = CrashReport("a:1", (fingerprint_of(request),), crash=crash)
            other.peers.handlers[CrashReport]("a:1", report)
        other.change_group(member.view)
        self.assertEqual(other.quarantine.quarantined, ())
        self.assertEqual(len(other.quarantine.suspects), 1)

    async def test_one_crash_writes_nothing(self):
        """Guards against writes of the store for each request in flight in each crash."""
        member = Member("a", crash_limit=3)
        await self.crash(member, *(make_request(path=f"/{number}") for number in range(12)))
        self.assertEqual(member.writes, 0)

    async def test_success_removes_the_record(self):
        """Guards against later processes that suspect a request which was cleared."""
        request = make_request()
        member = Member("a", crash_limit=3)
        for _ in range(2):
            await self.crash(member, request)
        other = Member("b", crash_limit=3)
        other.change_group(member.view)
        await member.succeed(request)
        await asyncio.sleep(0.01)
        self.assertEqual(member.view.group.crashes, {})
        other.change_group(member.view)
        self.assertEqual(other.quarantine.suspects, ())
        self.assertEqual(self.next_process(member).quarantine.suspects, ())

    async def test_record_that_is_written_after_a_success(self):
        """Guards against a record that returns because its write was delayed."""
        request = make_request()
        member = Member("a", crash_limit=3)
        member.unavailable = True
        for _ in range(2):
            await self.crash(member, request)
        await member.succeed(request)
        member.unavailable = False
        await asyncio.sleep(0.5)
        self.assertEqual(member.view.group.crashes, {})

    async def test_record_waits_for_the_platform(self):
        """Guards against a quarantine that is lost because the store was down at the crash."""
        poison = make_request(path="/poison")
        member = Member("a", crash_limit=3)
        member.unavailable = True
        for _ in range(3):
            await self.crash(member, poison)
        with self.assertRaises(QuarantinedError):
            await member.succeed(poison)
        member.unavailable = False
        await wait_until(
            lambda: [len(record.crashes) for record in member.view.group.crashes.values()] == [3],
            2,
            "the crashes are recorded",
        )
        with self.assertRaises(QuarantinedError):
            await self.next_process(member).succeed(poison)

    def test_records_expire_and_are_bounded(self):
        """Guards against records that last forever, or fill the group object."""
        group = Member("a").view.group
        for number in range(500):
            group = with_crashes(group, number, frozenset({("a:1", number)}), 0, 1000 + number)
        self.assertLess(len(group.crashes), 200)
        self.assertIn(499, group.crashes)
        self.assertIsNone(with_crashes(group, 499, frozenset({("a:1", 499)}), 0, 2000))
        records = CrashRecords(SimpleNamespace(), bool, 600.0, lambda: 1400)
        left_s = {
            fingerprint: left_s for fingerprint, (_, left_s) in records.current(group).items()
        }
        self.assertEqual(min(left_s), 401)
        self.assertEqual(left_s[499], 0.099)
        later = with_crashes(group, 7, frozenset({("a:1", 7)}), 1499, 2000)
        self.assertEqual(set(later.crashes), {7})

    def test_group_with_records_is_read_back(self):
        """Guards against fingerprints of 64 bits that the store or an agent cannot represent."""
        group = with_crashes(
            Member("a").view.group, 2**64 - 1, frozenset({("a:1", 3), ("b:2", 1)}), 0, 10**13
        )
        encoded = encode_json(group)
        self.assertEqual(decode_group(group.id.object_key, encoded), group)
