"""Tests of the selection of routes and targets."""

import unittest
from collections import Counter
from unittest import mock

from fescueward.messages.configuration import (
    Configuration,
    Route,
    ServiceSpec,
    Target,
    VersionedConfiguration,
)
from fescueward.services.routing.routes import RouteTable


def route(name: str, prefix: str, *targets: Target, host: str = "shop.example") -> Route:
    return Route(name, host, prefix, True, 2, 1.0, 0.5, 1, targets or (Target("depot"),))


def configuration(version: int, *routes: Route) -> VersionedConfiguration:
    services = {"depot": ServiceSpec("depot"), "orders": ServiceSpec("orders")}
    content = Configuration(version, {item.name: item for item in routes}, services)
    return VersionedConfiguration(version, content)


class CountingPath(str):
    """A path that counts the searches in it."""

    searches = 0

    def startswith(self, *args):
        self.searches += 1
        return super().startswith(*args)

    def rfind(self, *args):
        self.searches += 1
        return super().rfind(*args)


class RouteTableTest(unittest.TestCase):
    def setUp(self):
        self.table = RouteTable()

    def select(self, host: str, path: str) -> str | None:
        selected = self.table.select(self.table.current.configuration, host, path)
        return selected.name if selected is not None else None

    def test_longest_prefix_of_the_host_wins(self):
        """Guards against a match of a shorter prefix of the same host."""
        self.table.observe(configuration(1, route("wide", "/a/"), route("narrow", "/a/b/")))
        self.assertEqual(self.select("shop.example", "/a/b/c"), "narrow")
        self.assertEqual(self.select("Shop.Example:8080", "/a/x"), "wide")
        self.assertIsNone(self.select("other.example", "/a/x"))
        self.assertIsNone(self.select("shop.example", "/ab"))

    def test_first_of_two_equal_prefixes_wins(self):
        """Guards against a change of the route that a configuration names first."""
        self.table.observe(configuration(1, route("first", "/a/"), route("second", "/a/")))
        self.assertEqual(self.select("shop.example", "/a/"), "first")
        self.table.observe(configuration(2, route("all", "/"), route("narrow", "/a/b/")))
        self.assertEqual(self.select("shop.example", "/a/x"), "all")
        self.assertIsNone(self.select("shop.example", "*"))

    def test_selection_does_not_compare_all_routes(self):
        """Guards against processor time of each request that grows with the number of routes."""
        routes = [route(f"r{number}", f"/p{number}/") for number in range(1000)]
        self.table.observe(configuration(1, *routes))
        for path, name in (("/p1/x", "r1"), ("/p999/x/y", "r999"), ("/" * 50_000, None)):
            counting_path = CountingPath(path)
            self.assertEqual(self.select("shop.example", counting_path), name)
            self.assertLessEqual(counting_path.searches, 10)

    def test_new_version_hashes_no_routes(self):
        """Guards against processor time of each version for routes that did not change."""
        routes = [route(f"r{number}", f"/p{number}/") for number in range(1000)]
        with mock.patch.object(Route, "__hash__", autospec=True, return_value=1) as route_hash:
            self.table.observe(configuration(1, *routes))
            self.table.observe(configuration(2, *routes))
        self.assertEqual(route_hash.call_count, 0)

    def test_older_version_changes_nothing(self):
        """Guards against reverting to an older configuration that arrives late."""
        self.assertTrue(self.table.observe(configuration(5, route("new", "/n/"))))
        self.assertFalse(self.table.observe(configuration(4, route("old", "/o/"))))
        self.assertFalse(self.table.observe(configuration(5, route("old", "/o/"))))
        self.assertEqual(self.select("shop.example", "/n/1"), "new")
        self.assertIsNone(self.select("shop.example", "/o/1"))

    def test_request_keeps_the_configuration_it_began_with(self):
        """Guards against a request that is routed by two configuration versions."""
        self.table.observe(configuration(1, route("old", "/o/")))
        first_configuration = self.table.current.configuration
        self.table.observe(configuration(2, route("new", "/n/")))
        self.assertEqual(
            self.table.select(first_configuration, "shop.example", "/o/1").name, "old"
        )

    def test_shares_follow_the_weights(self):
        """Guards against a traffic split that deviates from the configured weights."""
        split = route("split", "/s/", Target("depot", 90), Target("orders", 10))
        self.table.observe(configuration(1, split))
        selections = Counter(self.table.target(split) for _ in range(200))
        self.assertEqual(selections, {"depot": 180, "orders": 20})
