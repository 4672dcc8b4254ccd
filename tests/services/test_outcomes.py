"""Tests of tokens and retained outcomes."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from fescueward.kernel.errors import (
    AnswerNotRetainedError,
    InProgressError,
    InvalidRequestError,
    LeaseExpiredError,
    OutcomeLostError,
    OverloadedError,
)
from fescueward.messages.frames import MAX_FRAME_BYTES, FrameEncoder
from fescueward.messages.peer import Release
from fescueward.services import outcomes as module
from fescueward.services.outcomes import RetainedOutcomes

from .fakes import ScriptedCall, StreamedBody, make_request, make_response


class OutcomesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.outcomes = RetainedOutcomes()
        self.outcomes.begin_epoch(3, 7, (), 0, 0)

    async def run_token(self, token, run, shard=3, **values):
        return await self.outcomes.run_once(make_request(token=token, **values), shard, 7, run)

    async def test_repeat_gets_the_same_response_without_a_run(self):
        """Guards against charging a payment twice when the caller repeats the request."""
        token = self.outcomes.issue(3, 7)
        run = ScriptedCall(make_response(b"charged", 201))
        first = await self.run_token(token, run)
        second = await self.run_token(token, run, id="r2")
        self.assertEqual((first.status, first.body.data), (second.status, second.body.data))
        self.assertEqual(first.headers, second.headers)
        self.assertEqual(second.request_id, "r2")
        self.assertEqual(len(run.calls), 1)

    async def test_repeat_during_the_run_is_in_progress(self):
        """Guards against a second run while the first is in progress."""
        token = self.outcomes.issue(3, 7)
        running, finish = asyncio.Event(), asyncio.Event()

        async def run(request):
            running.set()
            await finish.wait()
            return make_response()

        first = asyncio.create_task(self.run_token(token, run))
        await running.wait()
        with self.assertRaises(InProgressError):
            await self.run_token(token, run)
        finish.set()
        self.assertEqual((await first).status, 200)

    async def test_only_a_request_that_did_not_run_may_run_later(self):
        """Guards against a repeat that runs after a lost, cancelled or failed first run."""
        for error, may_run_again in (
            (OverloadedError("full"), True),
            (LeaseExpiredError("not sent"), True),
            (OutcomeLostError("reset"), False),
            (asyncio.CancelledError(), False),
            (RuntimeError("unexpected"), False),
        ):
            with self.subTest(error=error):
                token = self.outcomes.issue(3, 7)
                run = ScriptedCall(error, make_response())
                with self.assertRaises(type(error)):
                    await self.run_token(token, run)
                if may_run_again:
                    self.assertEqual((await self.run_token(token, run)).status, 200)
                else:
                    with self.assertRaises(OutcomeLostError):
                        await self.run_token(token, run)
                self.assertEqual(len(run.calls), 2 if may_run_again else 1)

    async def test_token_belongs_to_one_request(self):
        """Guards against returning the response to a different request."""
        token = self.outcomes.issue(3, 7)
        run = ScriptedCall(make_response(b"secret"))
        await self.run_token(token, run, body=b"a")
        for other in (
            {"method": "PUT"},
            {"path": "/other"},
            {"key": "other"},
            {"body": b"b"},
            {"body": StreamedBody(b"a", length=1)},
        ):
            with self.subTest(other=other), self.assertRaises(InvalidRequestError):
                await self.run_token(token, run, **{"body": b"a", **other})
        self.assertEqual(len(run.calls), 1)

    async def test_unknown_tokens_never_run(self):
        """Guards against running a request with a token of another shard, epoch or lineage."""
        run = ScriptedCall(make_response())
        token = self.outcomes.issue(3, 7)
        shard, epoch, sequence, random_part = token.split(".")
        for foreign in (
            f"4.{epoch}.{sequence}.{random_part}",
            f"{shard}.6.{sequence}.{random_part}",
        ):
            with self.subTest(token=foreign), self.assertRaises(OutcomeLostError):
                await self.run_token(foreign, run)
        with self.assertRaises(OutcomeLostError):
            await self.run_token(token, run, shard=9)
        for malformed in (
            "",
            "a.b.c.d",
            "1.2.3",
            f"3.7.{10**30}.x",
            "3.7.٣.x",
            "3.7.0." + "x" * 99,
        ):
            with self.subTest(token=malformed), self.assertRaises(InvalidRequestError):
                await self.run_token(malformed, run)
        with self.assertRaises(InvalidRequestError):
            await self.run_token(f"{shard}.{epoch}.1.{random_part}", run)  # not issued yet
        self.assertEqual(run.calls, [])

    async def test_takeover_without_outcomes_refuses_older_tokens(self):
        """Guards against running a request again that the lost owner may have run."""
        token = self.outcomes.issue(3, 7)
        self.outcomes.begin_epoch(3, 8, (), 0, 0)
        run = ScriptedCall(make_response())
        with self.assertRaises(OutcomeLostError):
            await self.run_token(token, run)
        self.assertEqual((run.calls, self.outcomes.count, self.outcomes.size), ([], 0, 0))

    async def test_handover_keeps_outcomes_and_unused_tokens(self):
        """Guards against a second run, or an unnecessary refusal, after a handover."""
        used, unused = self.outcomes.issue(3, 7), self.outcomes.issue(3, 7)
        run = ScriptedCall(make_response(b"charged"))
        await self.run_token(used, run)
        exported = self.outcomes.export(3)
        self.outcomes = RetainedOutcomes()
        self.outcomes.begin_epoch(3, 8, (7,), exported.floor, exported.next_sequence)
        self.outcomes.import_outcomes(3, exported.outcomes)
        self.assertEqual((await self.run_token(used, run)).body.data, b"charged")
        self.assertEqual(len(run.calls), 1)
        await self.run_token(unused, run)
        self.assertEqual(len(run.calls), 2)
        with self.assertRaises(InvalidRequestError):
            await self.run_token(used, run, path="/other")
        self.assertNotIn(self.outcomes.issue(3, 8).split(".")[2], ("0", "1"))

    async def test_export_needs_a_record(self):
        """Guards against an empty export, with which the successor would run requests again."""
        with self.assertRaises(KeyError):
            self.outcomes.export(5)

    async def test_large_and_streamed_responses_are_not_run_again(self):
        """Guards against a second run when the first response was too large to retain."""
        for response in (
            make_response(b"x" * 70_000),
            module.Response("r1", 200, (), StreamedBody(b"x")),
        ):
            token = self.outcomes.issue(3, 7)
            run = ScriptedCall(response)
            self.assertIs(await self.run_token(token, run), response)
            with self.assertRaises(AnswerNotRetainedError):
                await self.run_token(token, run)
            self.assertEqual(len(run.calls), 1)

    async def test_release_frame_of_a_full_shard_fits(self):
        """Guards against a handover that always fails because its frame is too large."""
        run = ScriptedCall(make_response(b"x" * 60_000))
        tokens = [self.outcomes.issue(3, 7) for _ in range(40)]
        for token in tokens:
            await self.run_token(token, run)
        exported = self.outcomes.export(3)
        self.assertEqual(len(exported.outcomes), 40)
        frame = FrameEncoder().encode(
            Release(1, "depot", 0, 3, 7, "a:1", "b:1", (7,), 40, 0, exported.outcomes)
        )
        self.assertLess(len(frame), MAX_FRAME_BYTES)
        with self.assertRaises(AnswerNotRetainedError):
            await self.run_token(tokens[0], run)
        self.assertEqual(len((await self.run_token(tokens[-1], run)).body.data), 60_000)
        self.assertEqual(len(run.calls), 40)

    async def test_small_outcomes_of_a_full_shard_fit(self):
        """Guards against a frame size estimate that omits the field names."""
        run = ScriptedCall(module.Response("r1", 200, (("A", "b"),) * 4, make_response(b"").body))
        for _ in range(5000):
            await self.run_token(self.outcomes.issue(3, 7), run)
        exported = self.outcomes.export(3)
        frame = FrameEncoder().encode(
            Release(1, "depot", 0, 3, 7, "a:1", "b:1", (7,), 40, 0, exported.outcomes)
        )
        self.assertLess(len(frame), MAX_FRAME_BYTES)
        self.assertLessEqual(len(exported.outcomes), 4096)

    async def test_floor_rises_when_the_count_is_reached(self):
        """Guards against running a request whose outcome was evicted."""
        run = ScriptedCall(make_response())
        with mock.patch.object(module, "_MAX_SHARD_OUTCOMES", 3):
            tokens = [self.outcomes.issue(3, 7) for _ in range(5)]
            for token in (tokens[1], tokens[0], *tokens[2:]):
                await self.run_token(token, run)
        self.assertEqual(self.outcomes.export(3).floor, 2)
        for token in tokens[:2]:
            with self.assertRaises(OutcomeLostError):
                await self.run_token(token, run)
        for token in tokens[2:]:
            await self.run_token(token, run)
        self.assertEqual(len(run.calls), 5)

    async def test_total_limits(self):
        """Guards against unbounded memory use of an agent that owns many shards."""
        run = ScriptedCall(make_response(b"x" * 1000))
        first = self.outcomes.issue(3, 7)
        self.outcomes.begin_epoch(4, 7, (), 0, 0)
        with mock.patch.object(module, "_MAX_TOTAL_BYTES", 2500):
            await self.run_token(first, run)
            for _ in range(3):
                await self.run_token(self.outcomes.issue(4, 7), run, shard=4)
            self.assertLess(self.outcomes.size, 2500)
        with self.assertRaises(AnswerNotRetainedError):
            await self.run_token(first, run)
        with mock.patch.object(module, "_MAX_TOTAL_OUTCOMES", 3):
            await self.run_token(self.outcomes.issue(4, 7), run, shard=4)
        self.assertEqual(self.outcomes.count, 3)
        with self.assertRaises(OutcomeLostError):
            await self.run_token(first, run)
        self.outcomes.end_epoch(3)
        self.outcomes.end_epoch(4)
        self.assertEqual((self.outcomes.count, self.outcomes.size), (0, 0))

    async def test_lineage_is_bounded(self):
        """Guards against Release frames that grow with each handover of a shard."""
        for epoch in range(8, 200):
            lineage = (*self.outcomes.export(3).lineage, epoch - 1)
            self.outcomes.begin_epoch(3, epoch, lineage, 0, 0)
        self.assertEqual(len(self.outcomes.export(3).lineage), 64)
        self.assertIn(198, self.outcomes.export(3).lineage)
