"""Tests of the message codec."""

from __future__ import annotations

import unittest
import zlib

import msgpack

from fescueward.kernel.errors import MalformedMessageError
from fescueward.messages import Announcement, Entry, Group, Member, Shard, VersionedGroup
from fescueward.messages.codec import MAX_FRAME_BYTES, FrameDecoder, decode_json, encode_frame
from fescueward.messages.group import KeyRange
from fescueward.messages.peer import PEER_MESSAGES, Publish, Renew, StreamOpen


def _decode(data: bytes) -> list:
    return list(FrameDecoder().feed(data))


class FrameTest(unittest.TestCase):
    """Frames come back as they were sent, and bad ones are refused."""

    def test_round_trip_of_nested_message(self):
        """Guards against fields that are lost or change their type on the wire."""
        member = Member("a:1", "a", 1, "boot", "127.0.0.1", 1, "127.0.0.1", 2, "lowell", 6, 110)
        group = Group("depot", 0, 2, {"a:1": member}, (Shard("a:1", 1), Shard()), {"k": 2})
        message = Publish(groups=(VersionedGroup(7, group),))
        self.assertEqual(_decode(encode_frame(message)), [message])

    def test_frames_split_at_any_byte(self):
        """Guards against a decoder that needs whole frames from the socket."""
        first, second = Renew("a:1", 4), Renew("b:1", 5)
        data = encode_frame(first) + encode_frame(second)
        for cut in range(len(data)):
            decoder = FrameDecoder()
            decoded = [*decoder.feed(data[:cut]), *decoder.feed(data[cut:])]
            self.assertEqual(decoded, [first, second])

    def test_bad_frames_are_refused(self):
        """Guards against bad input that ends in an untyped error."""
        open_kind = msgpack.unpackb(encode_frame(StreamOpen(1, "r", "s", "k", "GET", "/", (), 5)))[
            0
        ]
        bad = [
            msgpack.packb("text"),
            msgpack.packb([999, {}]),
            msgpack.packb([-1, {}]),
            msgpack.packb([3, {"member_id": "a:1"}]),
            msgpack.packb([3, {"member_id": "a:1", "sequence": -4}]),
            msgpack.packb([open_kind, {"stream": "x"}]),
            b"\xc1",
            b"\xdb\x7f\xff\xff\xff" + b"x" * 2 * MAX_FRAME_BYTES,
        ]
        for data in bad:
            with self.subTest(data=data[:20]), self.assertRaises(MalformedMessageError):
                _decode(data)

    def test_oversize_frame_is_not_sent(self):
        """Guards against a frame that the receiver must refuse."""
        with self.assertRaises(MalformedMessageError):
            encode_frame(StreamOpen(1, "r", "s", "k", "PUT", "/", (), 5, data=b"x" * 1024 * 1024))


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


class CompressionTest(unittest.TestCase):
    def test_large_group_is_small_on_the_wire(self):
        """Guards against group objects that fill the links between failure domains.

        Found by trouble-2 of kagaz-mesh: 0.247 GB crossed, most of it groups of 70 ranges.
        """
        ranges = tuple(
            KeyRange(first, first + 7, f"sidecar-ahmedabad-{first % 6}:1792106965417", first)
            for first in range(0, 800, 8)
        )
        message = Publish(groups=(VersionedGroup(7, Group("depot", 0, 1, ranges=ranges)),))
        frame = encode_frame(message)
        self.assertLess(len(frame), 2_000)
        self.assertEqual(list(FrameDecoder().feed(frame)), [message])

    def test_bad_compressed_frame_is_malformed(self):
        """Guards against a peer that ends the process with bytes that do not inflate."""
        number = PEER_MESSAGES.index(Publish)
        for content in (b"no zlib", zlib.compress(b"\xc1"), zlib.compress(bytes(9_000_000))):
            with self.subTest(size=len(content)), self.assertRaises(MalformedMessageError):
                list(FrameDecoder().feed(msgpack.packb([number, content])))
