"""Tests of the administration API, the commands and the demo with real processes."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import unittest
from pathlib import Path

import aiohttp
import psutil

from fescueward.messages.codec import decode_json
from fescueward.messages.status import (
    AgentStatus,
    EntryAnswer,
    Explanation,
    FleetStatus,
    LeaseState,
    ProblemKind,
    Reason,
)
from fescueward.testing.harness import ADMINISTRATION_TOKEN, DeployedMember, Deployment
from fescueward.testing.platform import Faults, Mode
from fescueward.testing.specs import small_deployment
from fescueward.testing.waiting import wait_until

ROOT = Path(__file__).resolve().parents[2]
KEY = "probe"
# Bounds of the design: a changed entry is in effect within 5 s, a key is served again within 4 s.
IN_EFFECT_BOUND_S = 5.0
SERVED_AGAIN_BOUND_S = 4.0


async def run_program(*arguments: str, timeout_s: float) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *arguments,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        stdout, stderr = await asyncio.wait_for(process.communicate(), timeout_s)
    except TimeoutError:
        process.kill()
        await process.wait()
        raise
    assert process.returncode is not None
    return process.returncode, stdout.decode(), stderr.decode()


class AdministrationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = await self.enterAsyncContext(Deployment(small_deployment()))
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        await self.deployment.wait_ready()

    async def read(self, member: DeployedMember, path: str, kind):
        async with self.session.get(member.administration_url + path) as response:
            data = await response.read()
            self.assertEqual(response.status, 200, data)
            return decode_json(data, kind)

    async def put(self, member: DeployedMember, entry: dict, version: int) -> int:
        headers = {"If-Match": str(version), "Authorization": f"Bearer {ADMINISTRATION_TOKEN}"}
        url = f"{member.administration_url}/v1/entries/{entry['service']}"
        async with self.session.put(url, data=json.dumps(entry), headers=headers) as response:
            body = await response.json()
            self.assertEqual(response.status, 200, body)
            return body["version"]

    async def test_accepted_entry_is_in_effect_everywhere(self):
        """Guards against accepted changes that some agents apply late or never."""
        first, *others = self.deployment.members
        entry = {"service": "depot", "owner": "new-team", "shard_count": 64}
        current = await self.read(first, "/v1/entries/depot", EntryAnswer)
        version = await self.put(first, entry, current.version)

        async def in_effect() -> bool:
            entries = [await self.read(one, "/v1/entries/depot", EntryAnswer) for one in others]
            return all(one.version == version for one in entries)

        await wait_until(in_effect, IN_EFFECT_BOUND_S, "the entry is in effect on every agent")
        status = await self.read(others[0], "/v1/status/depot", FleetStatus)
        self.assertEqual((status.agents_answered, status.services[0].agents_applying), (4, 4))
        # The service `orders` has no members, but every agent can report its status.
        await self.put(others[1], {"service": "orders", "owner": "x"}, 0)
        status = await self.read(others[1], "/v1/status/orders", FleetStatus)
        self.assertEqual(status.services[0].problems[0].kind, ProblemKind.NO_MEMBERS)

    async def test_loss_of_an_owner_is_reported_and_explained(self):
        """Guards against a status that shows a lost agent as healthy, or never recovers."""
        lost = await self.deployment.owner("depot", KEY)
        assert lost is not None
        reporter = next(member for member in self.deployment.members if member.name != lost.name)
        path = f"/v1/explain/depot?key={KEY}"
        before = await self.read(reporter, path, Explanation)
        self.assertTrue(before.served, before.text)
        self.assertEqual(before.owner.rpartition(":")[0], lost.name)
        self.assertEqual(before.failure_domain, lost.spec.failure_domain)
        await self.deployment.kill_member(lost)
        status = await self.read(reporter, "/v1/status/depot", FleetStatus)
        kinds = {problem.kind for problem in status.services[0].problems}
        self.assertIn(ProblemKind.MEMBER_SILENT, kinds, status.services[0].problems)

        async def served_again() -> Explanation | None:
            explanation = await self.read(reporter, path, Explanation)
            return (
                explanation if explanation.served and explanation.owner != before.owner else None
            )

        after = await wait_until(served_again, SERVED_AGAIN_BOUND_S, "the key is served again")
        self.assertIn(Reason.TAKEN_OVER, after.reasons, after.text)
        self.assertGreater(after.epoch, before.epoch)
        self.assertIn(before.owner, after.text)

    async def test_platform_outage_is_reported(self):
        """Guards against an outage that operators notice only by refused edits."""
        member = self.deployment.members[1]
        await self.deployment.platform.set_faults(Faults(mode=Mode.DOWN))

        async def outage_reported() -> FleetStatus | None:
            fleet = await self.read(member, "/v1/status", FleetStatus)
            kinds = [problem.kind for problem in fleet.problems]
            return fleet if ProblemKind.PLATFORM_UNAVAILABLE in kinds else None

        status = await wait_until(outage_reported, 5.0, "the outage is reported")
        leases = {item.lease for item in status.services[0].groups[0].members}
        self.assertEqual(leases, {LeaseState.HELD})
        arguments = ("fescueward", "entry", "apply", "-f", "examples/merrimack/depot.ini")
        options = ("--url", member.administration_url, "--token", ADMINISTRATION_TOKEN)
        code, _, err = await run_program(*arguments, *options, timeout_s=20)
        self.assertEqual((code, err.split()[:2]), (7, ["error", "3003"]), err)

    async def test_commands_and_metrics(self):
        """Guards against commands that work with stand-ins but not with real agents."""
        urls = [
            argument
            for deployed in self.deployment.members
            for argument in ("--url", deployed.administration_url)
        ]
        code, out, err = await run_program("fescueward", "status", "depot", *urls, timeout_s=20)
        self.assertEqual(code, 0, err)
        self.assertIn("no problems", out)
        self.assertLessEqual(max(map(len, out.splitlines())), 80)
        member = self.deployment.members[0]
        agent = await self.read(member, "/v1/agent", AgentStatus)
        self.assertTrue(agent.lease_held)
        async with self.session.get(member.administration_url + "/metrics") as response:
            text = await response.text()
        self.assertIn('outcome="served",service="depot"', text)
        self.assertIn(f"fescueward_active_shards {len(agent.shards)}", text)


class DemoTest(unittest.IsolatedAsyncioTestCase):
    async def test_demo_ends_within_45_s_and_leaves_no_process(self):
        """Guards against a demo that hangs, fails or leaves agents behind."""
        code, out, err = await run_program("fescueward.testing.demo", timeout_s=45)
        self.assertEqual(code, 0, err)
        self.assertIn("keys that were unavailable", out)
        self.assertEqual(psutil.Process().children(recursive=True), [])
