"""Tests of the JSON of messages."""

from __future__ import annotations

import unittest

from fescueward.kernel.errors import MalformedMessageError
from fescueward.messages import Announcement, Entry
from fescueward.messages.codec import decode_json


class JsonTest(unittest.TestCase):
    """JSON input is checked whole."""

    def test_absurd_numbers_are_refused(self):
        """Guards against announcements and entries with values that no server has."""
        bad = [
            (b'{"service":"depot","host":"h","port":0,"slots":6,"connections":1}', Announcement),
            (b'{"service":"depot","host":"h","port":9,"slots":-6,"connections":1}', Announcement),
            (b'{"service":"De pot","owner":"o"}', Entry),
            (b'{"service":"depot","owner":"o","limits":{"deadline_ms":-1}}', Entry),
            (b'{"service":"depot","owner":"o","weight":"speed"}', Entry),
            (b"{", Entry),
        ]
        for data, kind in bad:
            with self.subTest(data=data), self.assertRaises(MalformedMessageError):
                decode_json(data, kind)
