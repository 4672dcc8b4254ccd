"""Tests of the frames between agents."""

from __future__ import annotations

import tracemalloc
import unittest
import zlib
from contextlib import suppress
from unittest import mock

import msgpack
from hypothesis import example, given, settings

from fescueward.kernel.errors import MalformedMessageError
from fescueward.messages import Group, Member, Shard, VersionedGroup, frames
from fescueward.messages.configuration import (
    Configuration,
    Route,
    Target,
    VersionedConfiguration,
)
from fescueward.messages.frames import MAX_FRAME_BYTES, FrameDecoder, FrameEncoder
from fescueward.messages.group import KeyRange
from fescueward.messages.peer import PEER_MESSAGES, Publish, Renew, StreamData, StreamOpen
from tests.mutation import damaged_bytes

STREAMS = 10
# The streams of 200 peers may take a tenth of the smallest VM's 200 MB.
MAX_STREAM_BYTES = 200 * 2**20 // 10 // 200


def _encode(*messages: object) -> bytes:
    encoder = FrameEncoder()
    return b"".join(encoder.encode(message) for message in messages)


def _deflate(content: bytes) -> bytes:
    compressor = zlib.compressobj(1, zlib.DEFLATED, -14)
    return compressor.compress(content) + compressor.flush(zlib.Z_SYNC_FLUSH)


def _compressed(content: object) -> bytes:
    return _deflate(msgpack.packb(content))


def _decode(data: bytes) -> list:
    return list(FrameDecoder().feed(data))


def _example_frames() -> bytes:
    member = Member("a:1", "a", 1, "boot", "127.0.0.1", 1, "127.0.0.1", 2, "lowell", 6, 110)
    group = Group("depot", 0, 2, {"a:1": member}, (Shard("a:1", 1), Shard()), {"k": 2})
    return _encode(
        Renew("a:1", 4),
        Publish(groups=(VersionedGroup(7, group),)),
        StreamData(3, b"part of a body"),
        Renew("a:1", 5),
    )


class DamagedFrameTest(unittest.TestCase):
    """One malformed message must end its own stream only."""

    @settings(max_examples=400, deadline=None)
    @given(damaged_bytes(_example_frames()))
    @example(msgpack.packb((0, _deflate(b"\x81\xa1u" + b"\x91" * 100_000 + b"\x00"), b"")))
    @example(msgpack.packb((0, b"", {(): b""})))
    def test_damaged_frames_raise_no_other_error(self, data):
        """Guards against bytes of a peer that end the process or the task of another stream."""
        with suppress(MalformedMessageError):
            for message in _decode(data):
                self.assertIsInstance(message, PEER_MESSAGES)


class FrameTest(unittest.TestCase):
    """Frames are decoded as they were encoded, and bad frames are refused."""

    def test_round_trip_of_nested_message(self):
        """Guards against fields that are lost or change their type in the encoding."""
        member = Member("a:1", "a", 1, "boot", "127.0.0.1", 1, "127.0.0.1", 2, "lowell", 6, 110)
        group = Group("depot", 0, 2, {"a:1": member}, (Shard("a:1", 1), Shard()), {"k": 2})
        message = Publish(groups=(VersionedGroup(7, group),))
        self.assertEqual(_decode(_encode(message)), [message])

    def test_frames_split_at_any_byte(self):
        """Guards against a decoder that needs whole frames from the socket."""
        first, second = Renew("a:1", 4), Renew("b:1", 5)
        data = _encode(first, second)
        for cut in range(len(data)):
            decoder = FrameDecoder()
            decoded = [*decoder.feed(data[:cut]), *decoder.feed(data[cut:])]
            self.assertEqual(decoded, [first, second])

    def test_bad_frames_are_refused(self):
        """Guards against bad input that raises another error than MalformedMessageError."""
        renew, opening = PEER_MESSAGES.index(Renew), PEER_MESSAGES.index(StreamOpen)
        whole = _compressed({"member_id": "a:1", "sequence": 4})
        bad_frames = [
            msgpack.packb("text"),
            msgpack.packb([renew, whole]),
            msgpack.packb([renew, whole, b"", b""]),
            msgpack.packb([renew, {"member_id": "a:1", "sequence": 4}, b""]),
            msgpack.packb([renew, whole, b"data"]),
            msgpack.packb([True, whole, b""]),
            msgpack.packb([999, whole, b""]),
            msgpack.packb([-1, whole, b""]),
            msgpack.packb([renew, _compressed({"member_id": "a:1"}), b""]),
            msgpack.packb([renew, _compressed({"member_id": "a:1", "sequence": -4}), b""]),
            msgpack.packb([opening, _compressed({"stream": "x"}), b""]),
            b"\xc1",
            b"\xdb\x7f\xff\xff\xff" + b"x" * 2 * MAX_FRAME_BYTES,
        ]
        for data in bad_frames:
            with self.subTest(data=data[:20]), self.assertRaises(MalformedMessageError):
                _decode(data)

    def test_oversize_frame_is_not_sent(self):
        """Guards against sending a frame that the receiver must refuse."""
        with self.assertRaises(MalformedMessageError):
            _encode(StreamOpen(1, "r", "s", "k", "PUT", "/", (), 5, data=b"x" * 1024 * 1024))


class CompressionTest(unittest.TestCase):
    def test_large_group_is_small_on_the_wire(self):
        """Guards against group objects that saturate the links between failure domains.

        In the run trouble-2 of kagaz-mesh they carried 0.247 GB, most of it groups of 70 ranges.
        """
        ranges = tuple(
            KeyRange(first, first + 7, f"sidecar-ahmedabad-{first % 6}:1792106965417", first)
            for first in range(0, 800, 8)
        )
        message = Publish(groups=(VersionedGroup(7, Group("depot", 0, 1, ranges=ranges)),))
        frame = _encode(message)
        self.assertLess(len(frame), 2_000)
        self.assertEqual(list(FrameDecoder().feed(frame)), [message])

    def test_bad_compressed_frame_is_malformed(self):
        """Guards against invalid compressed data of a peer that ends the process."""
        number = PEER_MESSAGES.index(Publish)
        compressor = zlib.compressobj(1, zlib.DEFLATED, -14)
        oversized = compressor.compress(bytes(9_000_000)) + compressor.flush(zlib.Z_SYNC_FLUSH)
        for content in (b"no deflate", _deflate(b"\xc1"), oversized):
            with self.subTest(size=len(content)), self.assertRaises(MalformedMessageError):
                list(FrameDecoder().feed(msgpack.packb([number, content, b""])))

    def test_requests_and_changed_groups_repeat_little(self):
        """Guards against sending the same headers and whole groups between failure domains again.

        Later frames must refer to the content of earlier ones.
        """
        encoder, decoder = FrameEncoder(), FrameDecoder()
        headers = (("Host", "lemi61.example"), ("User-Agent", "sdk-client/1.9.3"))
        ranges = [
            KeyRange(first, first + 7, f"sidecar-{first % 6}:1792106965417", first)
            for first in range(0, 800, 8)
        ]
        messages = []
        for number in range(4):
            ranges[number] = KeyRange(number * 8, number * 8 + 7, "sidecar-9:1792106965417", 900)
            group = Group("depot", 0, 1, ranges=tuple(ranges))
            messages += [
                StreamOpen(number, f"{number:016x}", "depot", "5", "GET", "/a", headers, 900),
                Publish(groups=(VersionedGroup(number, group),)),
            ]
        frames = [encoder.encode(message) for message in messages]
        self.assertEqual(list(decoder.feed(b"".join(frames))), messages)
        self.assertLess(max(len(frame) for frame in frames[2::2]), 100)
        self.assertLess(max(len(frame) for frame in frames[3::2]), 700)

    def test_streams_take_little_memory(self):
        """Guards against agents of a fleet of 200 that need most of 200 MB for their streams.

        A decoder kept an unpacker of 45 KB beside its window.
        """
        messages = [
            StreamOpen(
                number, f"{number * 7919:016x}", "depot", "5", "GET", f"/a/{number}", (), 900
            )
            for number in range(400)
        ]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        streams = [(FrameEncoder(), FrameDecoder()) for _ in range(STREAMS)]
        for message in messages:
            for encoder, decoder in streams:
                self.assertEqual(1, len(list(decoder.feed(encoder.encode(message)))))
        after, _ = tracemalloc.get_traced_memory()
        self.assertLess((after - before) / STREAMS, MAX_STREAM_BYTES)

    def test_data_is_kept_apart(self):
        """Guards against bodies that are compressed, lost or attached to another message."""
        encoder, decoder = FrameEncoder(), FrameDecoder()
        messages = [
            StreamData(1, b"x" * 65_536),
            StreamData(1, b"", end=True),
            StreamData(2, b"y"),
        ]
        frames = [encoder.encode(message) for message in messages]
        self.assertGreater(len(frames[0]), 65_536)
        self.assertEqual(list(decoder.feed(b"".join(frames))), messages)

    def test_large_message_is_compressed_once_for_all_peers(self):
        """Guards against a watcher that cannot send heartbeats while it publishes a configuration.

        Compression for each of its peers would block its event loop.
        """
        routes = {
            f"r{number}": Route(
                f"r{number}", "a.example", f"/{number}/", True, 3, 4.0, 0.6, 2, (Target("depot"),)
            )
            for number in range(1000)
        }
        message = Publish(configuration=VersionedConfiguration(9, Configuration(7, routes)))
        with mock.patch.object(frames.zlib, "compress", wraps=zlib.compress) as compress:
            frames_by_peer = [FrameEncoder().encode(message) for _ in range(85)]
        self.assertEqual(compress.call_count, 1)
        self.assertLess(len(frames_by_peer[0]), 20_000)
        encoder, decoder = FrameEncoder(), FrameDecoder()
        messages = [Renew("a:1", 1), message, Renew("a:1", 2), message]
        data = b"".join(encoder.encode(each) for each in messages)
        self.assertEqual(list(decoder.feed(data)), messages)

    def test_bad_message_that_is_compressed_by_itself_is_malformed(self):
        """Guards against invalid separately compressed data of a peer that ends the process."""
        number = PEER_MESSAGES.index(Publish)
        for data in (b"no deflate", zlib.compress(b"\xc1"), zlib.compress(bytes(9_000_000))):
            with self.subTest(size=len(data)), self.assertRaises(MalformedMessageError):
                list(FrameDecoder().feed(msgpack.packb([number, b"", data])))
