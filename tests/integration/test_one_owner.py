"""Tests of invariant 1: a key has at most one owner, and is served again within 4 s of a loss."""

from __future__ import annotations

from fescueward.messages import Limits
from fescueward.testing.platform import Faults, Mode
from fescueward.testing.scenarios import run_under_load, unavailable_ms
from fescueward.testing.waiting import wait_until

from .base import (
    DeploymentTestCase,
    deployment_spec,
    is_member,
    is_removed,
    member_ids,
    renewal_count,
    wait,
)

UNAVAILABLE_BOUND_MS = 4000


class LossTest(DeploymentTestCase):
    async def test_killed_owner(self):
        """Guards against keys that have no owner, or two owners, after a kill."""
        deployment = await self.deploy(deployment_spec())
        victim = deployment.members[0]
        others = tuple(member.url for member in deployment.members[1:])

        async def kill() -> None:
            await deployment.kill_member(victim)
            await wait_until(
                lambda: is_removed(deployment, victim.name), 10, "the victim is removed"
            )

        result = await run_under_load(deployment, kill, targets=others, tail_s=2.0, resends=5)
        self.assert_holds(result)
        self.assertLess(max(unavailable_ms(result.records).values()), UNAVAILABLE_BOUND_MS)

    async def test_owner_paused_past_its_lease(self):
        """Guards against a resumed owner that runs buffered requests after its lease has ended."""
        deployment = await self.deploy(deployment_spec())
        victim = deployment.members[0]

        async def pause() -> None:
            await deployment.pause_member(victim)
            await wait_until(
                lambda: is_removed(deployment, victim.name), 10, "the victim is removed"
            )
            deployment.resume_member(victim)
            await wait_until(lambda: is_member(deployment, victim.name), 10, "the victim is back")

        result = await run_under_load(deployment, pause, tail_s=1.0, resends=5)
        self.assert_holds(result)

    async def test_failure_domain_lost(self):
        """Guards against takeovers that need a monitor of the lost failure domain."""
        deployment = await self.deploy(deployment_spec(members=6, domains=3))
        lost = deployment.members_in_domain("domain-0")
        others = tuple(member.url for member in deployment.members if member not in lost)

        async def lose() -> None:
            for member in lost:
                await deployment.kill_member(member)
            for member in lost:
                name = member.name
                await wait_until(
                    lambda name=name: is_removed(deployment, name), 10, f"{name} removed"
                )

        result = await run_under_load(deployment, lose, targets=others, tail_s=2.0, resends=5)
        self.assert_holds(result)
        self.assertLess(max(unavailable_ms(result.records).values()), UNAVAILABLE_BOUND_MS)

    async def test_owner_isolated(self):
        """Guards against an owner that continues to serve while only its callers can reach it."""
        deployment = await self.deploy(deployment_spec(proxy_peers=True, proxy_platform=True))
        victim = deployment.members[0]

        async def isolate() -> None:
            await deployment.isolate(victim.name)
            await wait_until(
                lambda: is_removed(deployment, victim.name), 10, "the victim is removed"
            )
            await deployment.heal()
            await wait_until(lambda: is_member(deployment, victim.name), 20, "the victim is back")

        result = await run_under_load(deployment, isolate, tail_s=1.0, resends=5)
        self.assert_holds(result)

    async def test_cut_from_monitors_only(self):
        """Guards against a takeover of an owner that can still renew by its own writes."""
        deployment = await self.deploy(deployment_spec(proxy_peers=True, proxy_platform=True))
        victim = deployment.members[0]
        before = await member_ids(deployment)

        async def cut() -> None:
            others = [member.name for member in deployment.members[1:]]
            await deployment.partition([victim.name], others)
            start = await renewal_count(deployment, victim.name)

            async def renewed() -> bool:
                return await renewal_count(deployment, victim.name) >= start + 5

            await wait_until(renewed, 10, "the victim renews its lease by writes")
            await deployment.heal()

        result = await run_under_load(deployment, cut, targets=(victim.url,), resends=5)
        self.assert_holds(result)
        self.assertEqual(await member_ids(deployment), before)


class OutageTest(DeploymentTestCase):
    async def test_platform_down_and_owner_lost(self):
        """Guards against leases that end in a platform outage, and against a loss that spreads."""
        deployment = await self.deploy(deployment_spec())
        victim = deployment.members[0]
        victim_keys = set()
        for number in range(60):
            owner = await deployment.owner("depot", f"key-{number}")
            if owner is victim:
                victim_keys.add(f"key-{number}")
        others = tuple(member.url for member in deployment.members[1:])

        async def outage() -> None:
            await deployment.platform.set_faults(Faults(mode=Mode.DOWN))

        async def lose() -> None:
            await deployment.kill_member(victim)

        await outage()
        outage_only = await run_under_load(
            deployment, lambda: wait(4.0), targets=others, lead_s=0, tail_s=0
        )
        self.assert_holds(outage_only)
        self.assertEqual(outage_only.summary.refusals, {})
        result = await run_under_load(
            deployment, lose, targets=others, lead_s=0, tail_s=4.0, deadline_ms=500
        )
        self.assert_holds(result)
        failed_keys = {
            record.key for record in result.records if record.final and not record.succeeded
        }
        self.assertLessEqual(failed_keys, victim_keys)
        await deployment.platform.set_faults(Faults())
        await wait_until(lambda: is_removed(deployment, victim.name), 10, "the victim is removed")
        after = await run_under_load(deployment, lambda: wait(1.0), targets=others, resends=5)
        self.assert_holds(after)

    async def test_lost_and_late_writes_during_takeover(self):
        """Guards against two owners after a takeover write with a lost response or a delay."""
        deployment = await self.deploy(deployment_spec())
        victim = deployment.members[0]
        others = tuple(member.url for member in deployment.members[1:])

        async def kill() -> None:
            await deployment.platform.set_faults(
                Faults(lose_responses=2, delay_writes=2, delay_writes_ms=700)
            )
            await deployment.kill_member(victim)
            await wait_until(
                lambda: is_removed(deployment, victim.name), 10, "the victim is removed"
            )

        result = await run_under_load(deployment, kill, targets=others, tail_s=3.0, resends=8)
        self.assert_holds(result)


class UncheckedGrantsTest(DeploymentTestCase):
    async def test_owner_without_grant_checks_paused(self):
        """Guards against two runs of a key when the lost owner's upstream checks no grants."""
        spec = deployment_spec(
            limits=Limits(max_request_ms=1500), member={"checks_grants": False, "work_ms": 20}
        )
        deployment = await self.deploy(spec)
        victim = deployment.members[0]

        async def pause() -> None:
            await victim.agent.pause()
            await wait_until(
                lambda: is_removed(deployment, victim.name), 10, "the victim is removed"
            )
            victim.agent.resume()
            await wait_until(lambda: is_member(deployment, victim.name), 20, "the victim is back")

        result = await run_under_load(
            deployment, pause, tail_s=2.0, resends=8, query=(("sleep_ms", "200"),)
        )
        self.assert_holds(result)
