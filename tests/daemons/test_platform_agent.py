"""Tests of how the agent on the users' platform is assembled; no service is started."""

import unittest

from fescueward.daemons.platform_agent import PlatformAgent
from fescueward.interfaces import Metrics
from fescueward.platform.settings import parse_site
from tests.platform.test_settings import LINES


class PlatformAgentTest(unittest.TestCase):
    def test_services_find_each_other(self):
        """Guards against a service that another service requires but that is not registered."""
        agent = PlatformAgent(parse_site(LINES))
        agent.kernel.bind()
        page = agent.kernel.registry.find("metrics", Metrics).render()
        self.assertIn(b"fescueward_", page.content)
