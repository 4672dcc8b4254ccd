"""A started deployment for each test."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from fescueward.messages import Entry, Limits, RequestClass
from fescueward.testing.harness import Deployment
from fescueward.testing.scenarios import ScenarioResult, wait_until_settled
from fescueward.testing.specs import DeploymentSpec, MemberSpec, service_spec

FAST_PLACEMENT = (("placement", "round_ms", "200"),)


def deployment_spec(
    members: int = 4,
    domains: int = 2,
    request_class: RequestClass = RequestClass.REPEATABLE,
    limits: Limits | None = None,
    **options: object,
) -> DeploymentSpec:
    """Returns one service `depot` with 32 shards, which spread quickly."""
    entry = Entry("depot", "tests", request_class, shard_count=32, limits=limits or Limits())
    template = MemberSpec(name="", failure_domain="", **options.pop("member", {}))
    names = tuple(f"domain-{number}" for number in range(domains))
    service = service_spec(entry, members, names, template)
    settings = (*FAST_PLACEMENT, *options.pop("settings", ()))
    return DeploymentSpec(services=(service,), settings=settings, **options)


class DeploymentTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a deployment and waits until its shards are spread."""

    async def deploy(self, spec: DeploymentSpec) -> Deployment:
        deployment = Deployment(spec)
        await self.enterAsyncContext(deployment)
        await deployment.wait_ready()
        for service in spec.services:
            await wait_until_settled(deployment, service.entry.service, len(service.members))
        return deployment

    def assert_holds(self, seen: ScenarioResult) -> None:
        self.assertTrue(seen.verdict.holds, str(seen.verdict))
        self.assertGreater(seen.verdict.runs, 0)


def with_lease(spec: DeploymentSpec, **values: int) -> DeploymentSpec:
    """Returns the deployment with other lease settings."""
    return replace(spec, lease=replace(spec.lease, **values))


async def wait(seconds: float) -> None:
    """Lets load run for a time."""
    await asyncio.sleep(seconds)


async def member_ids(deployment: Deployment) -> set[str]:
    """Returns the member ids of the service `depot`."""
    found = await deployment.group("depot")
    return set(found.group.members) if found is not None else set()


async def names(deployment: Deployment) -> set[str]:
    """Returns the names of the members of the service `depot`."""
    return {member_id.rpartition(":")[0] for member_id in await member_ids(deployment)}


async def removed(deployment: Deployment, name: str) -> bool:
    """Tells whether no member has the name."""
    return name not in await names(deployment)


async def joined(deployment: Deployment, name: str) -> bool:
    """Tells whether a member has the name."""
    return name in await names(deployment)


async def stamp(deployment: Deployment, name: str) -> int:
    """Returns the number of renewals that a member has written, -1 without the member."""
    found = await deployment.group("depot")
    stamps = [member.stamp for member in found.group.members.values() if member.name == name]
    return stamps[0] if stamps else -1
