"""Tests of the settings."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from fescueward.kernel.errors import SettingsError
from fescueward.kernel.settings import BadSettingsError, load_settings, setting_rows

VALID = """
[agent]
name = a1
failure_domain = lowell
[callers]
port = 1
[peers]
port = 2
secret = sixteen-characters
[administration]
port = 3
token = eight-characters
[announcements]
port = 4
[platform]
url = http://127.0.0.1:9/
"""


class SettingsTest(unittest.TestCase):
    def load(self, text: str | bytes):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "a.ini"
            path.write_bytes(text if isinstance(text, bytes) else text.encode())
            return load_settings(path)

    def problems(self, text: str) -> list[tuple[str, str, str | None]]:
        with self.assertRaises(BadSettingsError) as caught:
            self.load(text)
        return [(item.section, item.option, item.value) for item in caught.exception.problems]

    def test_defaults_and_values(self):
        """Guards against settings that are read but not applied, and against changed defaults."""
        settings = self.load(VALID + "[log]\nformat = json\n")
        self.assertEqual(settings.platform.url, "http://127.0.0.1:9")
        self.assertEqual((settings.log.format, settings.log.level), ("json", "INFO"))
        lease = settings.lease
        self.assertEqual(
            (lease.lease_ms, lease.renewal_ms, lease.drift_margin_ms), (1200, 300, 100)
        )

    def test_all_bad_values_are_listed(self):
        """Guards against reporting only the first of several bad values."""
        text = VALID.replace("name = a1", "name =").replace("port = 1", "port = 1e9")
        text = text.replace("token = eight-characters\n", "") + "[lease]\nlease = 3\n[x]\n"
        self.assertEqual(
            set(self.problems(text)),
            {
                ("agent", "name", ""),
                ("callers", "port", "1e9"),
                ("administration", "token", None),
                ("lease", "lease", "3"),
                ("x", "", "x"),
            },
        )

    def test_each_kind_of_value(self):
        """Guards against values out of range that pass validation."""
        for section, option, value in (
            ("lease", "lease_ms", "199"),
            ("lease", "lease_ms", "60001"),
            ("lease", "lease_ms", "-1"),
            ("lease", "lease_ms", "9" * 5000),
            ("lease", "lease_ms", "nan"),
            ("routing", "retry_percent", "10%"),
            ("placement", "policy", "a b"),
            ("placement", "policy", "x" * 64),
            ("log", "level", "info"),
        ):
            with self.subTest(option=option, value=value[:10]):
                problems = self.problems(f"{VALID}[{section}]\n{option} = {value}\n")
                self.assertEqual(problems, [(section, option, value)])
        bad_url = VALID.replace("http://127.0.0.1:9/", "ftp://x")
        self.assertEqual(self.problems(bad_url), [("platform", "url", "ftp://x")])

    def test_values_that_contradict_each_other(self):
        """Guards against leases that end after one lost renewal, and against duplicate ports."""
        rare_renewals = VALID + "[lease]\nrenewal_ms = 401\n"
        self.assertEqual(self.problems(rare_renewals), [("lease", "renewal_ms", "401")])
        duplicate_port = VALID.replace("port = 4", "port = 2")
        self.assertEqual(self.problems(duplicate_port), [("announcements", "port", "2")])

    def test_unreadable_files(self):
        """Guards against unreadable files that raise another error than SettingsError."""
        for text in (b"\xff\xfe", "no section", VALID + "[agent]\n", "[agent]\nname\n"):
            with self.assertRaises(SettingsError):
                self.load(text)
        with self.assertRaises(SettingsError):
            load_settings(Path("/nonexistent"))

    def test_rows_describe_every_setting(self):
        """Guards against settings without a description or allowed values."""
        rows = setting_rows()
        self.assertEqual(len({row[:2] for row in rows}), len(rows))
        for row in rows:
            self.assertTrue(all(row[:2]) and row[3] and row[4].endswith("."), row)
