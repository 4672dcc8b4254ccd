"""Tests of the JSON encoding of messages."""

from __future__ import annotations

import unittest

from fescueward.kernel.errors import MalformedMessageError
from fescueward.messages import Announcement, Entry
from fescueward.messages.codec import decode_json


class JsonTest(unittest.TestCase):
    """Every field of JSON input is validated."""

    def test_out_of_range_values_are_refused(self):
        """Guards against announcements and entries with values that no server can have."""
        invalid_documents = [
            (b'{"service":"depot","host":"h","port":0,"slots":6,"connections":1}', Announcement),
            (b'{"service":"depot","host":"h","port":9,"slots":-6,"connections":1}', Announcement),
            (b'{"service":"De pot","owner":"o"}', Entry),
            (b'{"service":"depot","owner":"o","limits":{"deadline_ms":-1}}', Entry),
            (b'{"service":"depot","owner":"o","weight":"speed"}', Entry),
            (b"{", Entry),
        ]
        for data, kind in invalid_documents:
            with self.subTest(data=data), self.assertRaises(MalformedMessageError):
                decode_json(data, kind)
