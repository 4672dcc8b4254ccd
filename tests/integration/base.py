"""Base class and helpers of tests that start a deployment."""

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
    """Returns a deployment of the service `depot` with 32 shards and fast placement."""
    entry = Entry("depot", "tests", request_class, shard_count=32, limits=limits or Limits())
    template = MemberSpec(name="", failure_domain="", **options.pop("member", {}))
    domain_names = tuple(f"domain-{number}" for number in range(domains))
    service = service_spec(entry, members, domain_names, template)
    settings = (*FAST_PLACEMENT, *options.pop("settings", ()))
    return DeploymentSpec(services=(service,), settings=settings, **options)


class DeploymentTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts deployments, waits until their shards are spread and checks results."""

    async def deploy(self, spec: DeploymentSpec) -> Deployment:
        deployment = Deployment(spec)
        await self.enterAsyncContext(deployment)
        await deployment.wait_ready()
        for service in spec.services:
            await wait_until_settled(deployment, service.entry.service, len(service.members))
        return deployment

    def assert_holds(self, result: ScenarioResult) -> None:
        self.assertTrue(result.verdict.holds, str(result.verdict))
        self.assertGreater(result.verdict.runs, 0)


def with_lease(spec: DeploymentSpec, **values: int) -> DeploymentSpec:
    """Returns the specification with some lease settings replaced."""
    return replace(spec, lease=replace(spec.lease, **values))


async def wait(duration_s: float) -> None:
    """Waits for a time in seconds while a load runs."""
    await asyncio.sleep(duration_s)


async def member_ids(deployment: Deployment) -> set[str]:
    """Returns the member ids of the service `depot`; empty without a group object."""
    stored = await deployment.group("depot")
    return set(stored.group.members) if stored is not None else set()


async def member_names(deployment: Deployment) -> set[str]:
    """Returns the names of the members of the service `depot`."""
    return {member_id.rpartition(":")[0] for member_id in await member_ids(deployment)}


async def is_removed(deployment: Deployment, name: str) -> bool:
    """Returns whether no member of the service `depot` has a name."""
    return name not in await member_names(deployment)


async def is_member(deployment: Deployment, name: str) -> bool:
    """Returns whether a member of the service `depot` has a name."""
    return name in await member_names(deployment)


async def renewal_count(deployment: Deployment, name: str) -> int:
    """Returns the number of renewals that a member has written, -1 without the member."""
    stored = await deployment.group("depot")
    stamps = [member.stamp for member in stored.group.members.values() if member.name == name]
    return stamps[0] if stamps else -1
