"""Tests of the process harness; tests/integration tests the agents that it runs."""

from __future__ import annotations

import os
import shutil
import socket
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

import aiohttp
import psutil

from fescueward.kernel.errors import DuplicateNameError
from fescueward.kernel.settings import load_settings
from fescueward.testing.errors import ConditionTimeoutError, ProcessStateError, UnknownMemberError
from fescueward.testing.harness import Deployment, MemberPorts, agent_settings
from fescueward.testing.harness.preparation import _agent_with_local_port
from fescueward.testing.journal import EventKind
from fescueward.testing.platform import Faults, Mode
from fescueward.testing.ports import PortReservations
from fescueward.testing.proxy import DROP, PASS
from fescueward.testing.specs import (
    DeploymentSpec,
    kagaz_deployment,
    merrimack_deployment,
    small_deployment,
)
from fescueward.testing.waiting import wait_until


class SpecTest(unittest.TestCase):
    def test_sizes_of_the_deployments(self):
        """Guards against deployments whose sizes differ from section 1.4 of the design."""
        for spec, sizes, domains in (
            (kagaz_deployment(), [6, 4, 3, 3], 3),
            (merrimack_deployment(), [4, 4, 4, 4], 4),
            (small_deployment(), [4], 2),
        ):
            members = [member for service in spec.services for member in service.members]
            self.assertEqual([len(service.members) for service in spec.services], sizes)
            self.assertEqual(len({member.failure_domain for member in members}), domains)

    def test_settings_are_valid(self):
        """Guards against generated settings files that the agent rejects."""
        spec = replace(small_deployment(), settings=(("platform", "timeout_ms", "70"),))
        member = spec.services[0].members[1]
        text = agent_settings(spec, member, MemberPorts(1, 2, 3, 4, 5, 6), "http://127.0.0.1:9")
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "agent.ini"
            path.write_text(text)
            settings = load_settings(path)
        self.assertEqual(
            (settings.agent.name, settings.agent.failure_domain), ("depot-2", "nashua")
        )
        self.assertEqual((settings.peers.port, settings.peers.advertised_port), (2, 3))
        self.assertEqual(settings.platform.timeout_ms, 70)

    def test_names_are_unique(self):
        """Guards against two members with one name, which would share files and journals."""
        service = small_deployment().services[0]
        with self.assertRaises(DuplicateNameError):
            DeploymentSpec(services=(service, service))


class PortTest(unittest.TestCase):
    def test_reserved_port_is_exclusive_and_usable(self):
        """Guards against two parallel test runs that choose the same port."""
        ports = PortReservations()
        self.addCleanup(ports.close)
        address = ("127.0.0.1", ports.reserve())
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind(address)
        for _ in range(2):  # A restarted process must be able to listen on the port again.
            with socket.create_server(address, reuse_port=False) as server:
                server.listen()
                with socket.create_connection(address) as client:
                    port = client.getsockname()[1]
                    self.assertEqual(_agent_with_local_port({os.getpid(): "me"}, port), "me")
                    self.assertEqual(_agent_with_local_port({os.getpid(): "me"}, 1), "")


class DeploymentTest(unittest.IsolatedAsyncioTestCase):
    async def _wait_for_upstream(self, deployment, member):
        async def health_or_none():
            try:
                return await deployment.health(member)
            except aiohttp.ClientError:
                return None

        await wait_until(health_or_none, 20, f"{member.name} responds")

    async def test_processes_are_controlled_and_all_end(self):
        """Guards against processes that outlive a failed test, and against log files lost then."""
        spec = replace(small_deployment(), proxy_peers=True, proxy_platform=True)
        with self.assertRaises(ConditionTimeoutError) as context:
            async with Deployment(spec) as deployment:
                pids = [process.pid for process in deployment.processes()]
                member = deployment.member("depot-1")
                await self._wait_for_upstream(deployment, member)
                await member.upstream.pause()
                self.assertEqual(psutil.Process(member.upstream.pid).status(), "stopped")
                member.upstream.resume()
                await member.upstream.kill()
                last_event = deployment.journal_events()[-1]
                self.assertEqual(
                    (last_event.kind, last_event.pid), (EventKind.EXIT, member.upstream.pid)
                )
                with self.assertRaises(ProcessStateError):
                    await member.upstream.kill()
                await member.upstream.start()
                pids.append(member.upstream.pid)
                await self._wait_for_upstream(deployment, member)
                await member.upstream.pause()
                await wait_until(lambda: False, 0.0, "never")
        self.addCleanup(shutil.rmtree, deployment.directory)
        self.assertEqual([pid for pid in pids if psutil.pid_exists(pid)], [])
        self.assertIn(str(deployment.directory), context.exception.__notes__[0])
        self.assertTrue((deployment.directory / "depot-1-upstream.log").exists())

    async def test_platform_faults_and_partitions(self):
        """Guards against faults that affect other members or that remain after `heal`."""
        spec = replace(
            small_deployment(), proxy_peers=True, proxy_platform=True, domain_latency_ms=1.0
        )
        async with Deployment(spec) as deployment:
            entry = await deployment.platform.get("entries/depot")
            self.assertIn(b'"service":"depot"', bytes(entry.value))
            await deployment.platform.set_faults(Faults(Mode.DOWN))
            with self.assertRaises(aiohttp.ClientResponseError):
                await deployment.platform.get("entries/depot")
            await deployment.isolate("depot-1")
            first, second = deployment.members[:2]
            self.assertEqual(first.platform_proxy.plan(), DROP)
            self.assertEqual(second.platform_proxy.plan(), PASS)
            self.assertEqual(second.peers_proxy.plan("depot-1"), DROP)
            self.assertEqual(first.peers_proxy.plan("depot-2"), DROP)
            self.assertNotEqual(second.peers_proxy.plan("depot-3"), DROP)
            await deployment.heal()
            self.assertEqual(second.peers_proxy.plan("depot-1").forward.delay_ms, 1.0)
            self.assertEqual(first.peers_proxy.plan("depot-3"), PASS)
            with self.assertRaises(UnknownMemberError):
                await deployment.isolate("depot-9")
            directory = deployment.directory
        self.assertFalse(directory.exists())
