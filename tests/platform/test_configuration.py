"""Tests of decoding the operator's configuration."""

import json
import unittest
from contextlib import suppress
from unittest import mock

from hypothesis import example, given, settings

from fescueward.kernel.errors import MalformedMessageError
from fescueward.messages.codec import decode_json, encode_json
from fescueward.messages.configuration import Configuration
from fescueward.platform import configuration as configuration_module
from fescueward.platform.configuration import decode_configuration
from tests.mutation import damaged_bytes, damaged_documents

STORED_CONFIGURATION = {
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


def encode_with_routes(**routes):
    return json.dumps(
        {**STORED_CONFIGURATION, "routes": {**STORED_CONFIGURATION["routes"], **routes}}
    ).encode()


class ConfigurationTest(unittest.TestCase):
    def test_routes_services_and_limits(self):
        """Guards against units, kinds and weights that are misinterpreted."""
        configuration = decode_configuration(json.dumps(STORED_CONFIGURATION).encode())
        self.assertEqual(configuration.version, 7)
        first, second = configuration.routes["r-1"], configuration.routes["r-2"]
        self.assertTrue(first.repeatable)
        self.assertFalse(second.repeatable)
        self.assertEqual((first.timeout_s, first.objective_s), (0.8, 0.4))
        self.assertEqual((first.targets[0].service, first.targets[0].weight), ("s1", 90))
        self.assertTrue(configuration.services["s1"].keyed)
        self.assertFalse(configuration.services["s2"].keyed)
        self.assertEqual(configuration.limits.idle_timeout_s, 15)

    def test_unknown_kind_is_not_repeatable(self):
        """Guards against a second run of a request whose kind the adapter does not know."""
        route = {**STORED_CONFIGURATION["routes"]["r-1"], "kind": "other"}
        self.assertFalse(decode_configuration(encode_with_routes(r=route)).routes["r"].repeatable)

    def test_download_is_repeatable(self):
        """Guards against downloads that fail with their first upstream."""
        route = {**STORED_CONFIGURATION["routes"]["r-1"], "kind": "download"}
        self.assertTrue(decode_configuration(encode_with_routes(r=route)).routes["r"].repeatable)

    def test_invalid_configurations_are_rejected(self):
        """Guards against a configuration that is applied in part."""
        valid_route = STORED_CONFIGURATION["routes"]["r-2"]
        invalid_routes = (
            {**valid_route, "service": "nowhere"},
            {**valid_route, "timeoutS": 0},
            {**valid_route, "attempts": 0},
            {**valid_route, "prefix": "y"},
            {**valid_route, "prefix": 3},
            {key: value for key, value in valid_route.items() if key != "timeoutS"},
            {key: value for key, value in valid_route.items() if key != "service"},
        )
        for route in invalid_routes:
            with self.subTest(route=route), self.assertRaises(MalformedMessageError):
                decode_configuration(encode_with_routes(r=route))
        with self.assertRaises(MalformedMessageError):
            decode_configuration(json.dumps(STORED_CONFIGURATION).encode()[:-40])


class ColdLimitTest(unittest.TestCase):
    def decode(self, values: str):
        stored = json.dumps(STORED_CONFIGURATION)
        return decode_configuration(
            stored.replace('"warmupS": 3.0', f'"warmupS": 3.0, {values}').encode()
        )

    def test_limit_is_read(self):
        """Guards against cold upstreams that get as many requests as warm ones."""
        services = self.decode('"coldStartS": 3, "coldPerS": 6.5').services
        self.assertEqual((services["s1"].cold_start_s, services["s1"].cold_per_s), (3.0, 6.5))
        self.assertEqual((services["s2"].cold_start_s, services["s2"].cold_per_s), (0.0, 0.0))

    def test_invalid_limits_are_ignored(self):
        """Guards against a configuration that is rejected, or a log that grows, for one value."""
        invalid = ("-1", "1e9", "1e999", "9" * 5_000, '"many"', '"6.5"', "null", "true", "[[6.5]]")
        for text in invalid:
            for field in ("coldStartS", "coldPerS"):
                with (
                    self.subTest(field=field, text=text[:20]),
                    mock.patch.object(configuration_module, "_LIMIT_IGNORED") as event,
                ):
                    decoded = self.decode(f'"{field}": {text}')
                    self.assertEqual(event.emit.call_count, 1)
                    self.assertLessEqual(len(str(event.emit.call_args)), 200)
                    self.assertEqual(
                        decoded, decode_configuration(json.dumps(STORED_CONFIGURATION).encode())
                    )


class DamagedConfigurationTest(unittest.TestCase):
    """A configuration that one agent accepts is passed on and must be readable by all others."""

    def check(self, text: bytes) -> None:
        with suppress(MalformedMessageError):
            configuration = decode_configuration(text)
            self.assertEqual(decode_json(encode_json(configuration), Configuration), configuration)

    @settings(max_examples=300, deadline=None)
    @given(damaged_documents(STORED_CONFIGURATION))
    def test_damaged_fields_raise_no_other_error(self, document):
        """Guards against a configuration that ends the watch of the store."""
        self.check(json.dumps(document).encode())

    @settings(max_examples=200, deadline=None)
    @given(damaged_bytes(json.dumps(STORED_CONFIGURATION).encode()))
    @example(b'{"version":1,"unknown":' + b"[" * 100_000 + b"]" * 100_000 + b"}")
    def test_damaged_bytes_raise_no_other_error(self, text):
        """Guards against bytes that are not JSON or not UTF-8."""
        self.check(text)
