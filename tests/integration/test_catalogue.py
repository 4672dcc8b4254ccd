"""Tests of invariants 2 and 8: confirmed changes are kept, and accepted ones take effect."""

from __future__ import annotations

from fescueward.messages import Entry, Limits
from fescueward.messages.group import entry_object_key
from fescueward.testing.callers import CallerRequest
from fescueward.testing.platform import Faults, Mode
from fescueward.testing.scenarios import run_under_load
from fescueward.testing.waiting import wait_until

from .base import DeploymentTestCase, deployment_spec, is_removed, member_ids

IN_EFFECT_BOUND_S = 5.0
_BODY = b"b" * 2000


class CatalogueTest(DeploymentTestCase):
    async def test_change_is_in_effect_on_all_agents(self):
        """Guards against agents that miss a change, also when a watcher is partitioned."""
        deployment = await self.deploy(deployment_spec(proxy_peers=True, proxy_platform=True))
        first = sorted(await member_ids(deployment))[0].rpartition(":")[0]
        await deployment.block_platform(first)
        await self._limit_body(deployment, 1000)
        await wait_until(
            lambda: self._all_refuse(deployment, True), IN_EFFECT_BOUND_S, "the limit is in effect"
        )

    async def test_change_never_reverts_after_a_partition(self):
        """Guards against an agent that distributes an old entry after a partition."""
        deployment = await self.deploy(deployment_spec(proxy_peers=True, proxy_platform=True))
        isolated = deployment.members[2]
        await deployment.isolate(isolated.name)
        await self._limit_body(deployment, 1000)
        await wait_until(
            lambda: is_removed(deployment, isolated.name), 10, "the member is removed"
        )
        await deployment.heal()
        await wait_until(
            lambda: self._all_refuse(deployment, True), 15, "the limit is in effect everywhere"
        )
        for _ in range(20):
            self.assertTrue(await self._all_refuse(deployment, True))

    async def _limit_body(self, deployment, size):
        entry = Entry("depot", "tests", shard_count=32, limits=Limits(max_body_bytes=size))
        envelope = await deployment.platform.get(entry_object_key("depot"))
        await deployment.platform.put(entry_object_key("depot"), entry, envelope.version)

    async def _all_refuse(self, deployment, refuse):
        for member in deployment.members:
            for number in range(12):
                request = CallerRequest(
                    service="depot", key=f"key-{number}", method="PUT", body=_BODY
                )
                response = await deployment.send(request, member)
                if (response.label == "body_too_large") is not refuse:
                    return False
        return True


class AssignmentTest(DeploymentTestCase):
    async def test_assignment_survives_loss_of_its_planner_and_an_outage(self):
        """Guards against assignments that are lost with the agent that planned them."""
        deployment = await self.deploy(deployment_spec(members=6, domains=3))
        before = await deployment.group("depot")
        planner = deployment.member(sorted(before.group.members)[0].rpartition(":")[0])
        domain_peer = next(
            member
            for member in deployment.members
            if member.spec.failure_domain == planner.spec.failure_domain and member is not planner
        )
        others = tuple(
            member.url for member in deployment.members if member not in (planner, domain_peer)
        )

        async def fail() -> None:
            await deployment.platform.set_faults(Faults(mode=Mode.DOWN))
            await deployment.kill_member(planner)
            await deployment.kill_member(domain_peer)
            await wait_until(
                self._refuses_some_key(deployment, others), 10, "keys of the lost are refused"
            )
            await deployment.platform.set_faults(Faults())
            for lost in (planner, domain_peer):
                name = lost.name
                await wait_until(lambda name=name: is_removed(deployment, name), 10, f"no {name}")

        result = await run_under_load(
            deployment, fail, targets=others, tail_s=2.0, deadline_ms=1000, resends=20
        )
        self.assert_holds(result)
        after = await deployment.group("depot")
        for old, new in zip(before.group.shards, after.group.shards, strict=False):
            self.assertGreaterEqual(new.epoch, old.epoch)
            if old.owner in after.group.members and old.successor is None:
                self.assertTrue(new.owner == old.owner or new.epoch > old.epoch)

    def _refuses_some_key(self, deployment, urls):
        async def refused() -> bool:
            via = next(member for member in deployment.members if member.url == urls[0])
            for number in range(40):
                request = CallerRequest(service="depot", key=f"key-{number}", deadline_ms=200)
                if not (await deployment.send(request, via)).succeeded:
                    return True
            return False

        return refused
