"""Tests of the counts of what a connection sends that is no body."""

import unittest
from types import SimpleNamespace

from fescueward.kernel.http_meter import InboundMeter

_LINES = b"a:b\r\n" * 100
# Less than the parser takes for each line.
_LEAST_LINE_BYTES = 100


class HeldBytesTest(unittest.TestCase):
    def count(self, *parts: bytes) -> int:
        """Returns what is held after a chunked body has come in parts."""
        meter = InboundMeter()
        payload = SimpleNamespace(is_eof=lambda: False, total_bytes=0)
        meter.message_parsed(SimpleNamespace(headers={}, chunked=True), payload)
        for part in parts:
            meter.count(part)
        return meter.held_bytes

    def test_lines_of_an_incomplete_head(self):
        """Guards against heads of short lines that count only with their bytes."""
        meter = InboundMeter()
        meter.count(b"GET / HTTP/1.1\r\n" + _LINES)
        self.assertGreater(meter.held_bytes, 100 * _LEAST_LINE_BYTES)

    def test_lines_of_trailers(self):
        """Guards against trailers of short lines that are taken for chunks."""
        for parts in (
            (b"0\r\n" + _LINES,),
            (b"5\r\nhello\r\n0\r\n" + _LINES,),
            (b"5;e=1\r\nhel", b"lo\r", b"\n00", b"\r\n", _LINES),
        ):
            with self.subTest(parts=parts):
                self.assertGreater(self.count(*parts), 100 * _LEAST_LINE_BYTES)

    def test_lines_in_chunks(self):
        """Guards against uploads of many lines or short chunks that count as trailers."""
        text = b"a:b\n" * 100
        chunk = b"%x\r\n%s\r\n" % (len(text), text)
        self.assertEqual(self.count(chunk, chunk), 0)
        self.assertEqual(self.count(b"1\r\n0\r\n" * 100), 0)
