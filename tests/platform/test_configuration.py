"""Decoding of the operator's configuration."""

import json
import unittest

from fescueward.kernel.errors import MalformedMessageError
from fescueward.platform.configuration import decode_configuration

GIVEN = {
    "version": 7,
    "routes": {
        "r-1": {
            "host": "a.example",
            "prefix": "/x/",
            "kind": "idempotent",
            "timeoutS": 0.8,
            "sloS": 0.4,
            "priority": 2,
            "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "attempts": 2,
        },
        "r-2": {
            "host": "b.example",
            "prefix": "/y/",
            "kind": "upload",
            "timeoutS": 1,
            "sloS": 0.5,
            "priority": 1,
            "service": "s2",
            "attempts": 2,
        },
    },
    "services": {
        "s1": {"healthPath": "/health", "maxConns": 130, "sharded": True, "warmupS": 3.0},
        "s2": {"healthPath": "/health", "maxConns": 130},
    },
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "baseVersion": 5,
}


def changed(**routes):
    return json.dumps({**GIVEN, "routes": {**GIVEN["routes"], **routes}}).encode()


class ConfigurationTest(unittest.TestCase):
    def test_routes_services_and_limits(self):
        """Guards against units, kinds and shares that are read as something else."""
        found = decode_configuration(json.dumps(GIVEN).encode())
        self.assertEqual(found.version, 7)
        first, second = found.routes["r-1"], found.routes["r-2"]
        self.assertTrue(first.repeatable)
        self.assertFalse(second.repeatable)
        self.assertEqual((first.timeout_s, first.objective_s), (0.8, 0.4))
        self.assertEqual((first.targets[0].service, first.targets[0].weight), ("s1", 90))
        self.assertTrue(found.services["s1"].keyed)
        self.assertFalse(found.services["s2"].keyed)
        self.assertEqual(found.limits.idle_timeout_s, 15)

    def test_unknown_kind_may_not_be_repeated(self):
        """Guards against a second run of a request whose kind is new here."""
        route = {**GIVEN["routes"]["r-1"], "kind": "other"}
        self.assertFalse(decode_configuration(changed(r=route)).routes["r"].repeatable)

    def test_bad_configurations_are_refused_whole(self):
        """Guards against a half applied configuration."""
        good = GIVEN["routes"]["r-2"]
        bad = (
            {**good, "service": "nowhere"},
            {**good, "timeoutS": 0},
            {**good, "attempts": 0},
            {**good, "prefix": "y"},
            {**good, "prefix": 3},
            {key: value for key, value in good.items() if key != "timeoutS"},
            {key: value for key, value in good.items() if key != "service"},
        )
        for route in bad:
            with self.subTest(route=route), self.assertRaises(MalformedMessageError):
                decode_configuration(changed(r=route))
        with self.assertRaises(MalformedMessageError):
            decode_configuration(json.dumps(GIVEN).encode()[:-40])
