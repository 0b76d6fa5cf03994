"""The HTTP codec: every form of a message, split anywhere, is read as the same message."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hallhitch.net.flow import Flow
from hallhitch.net.http import MAX_BODY_BYTES, AnswerReader, Malformed, Message, RequestReader, origin_of, path_of

LONG = bytes(range(256)) * 300  # past what is read whole
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def chunks(body: bytes, size: int, extension: bytes = b"") -> bytes:
    """Return a body in chunks of a size, with trailers."""
    parts = [body[n : n + size] for n in range(0, len(body), size)]
    return b"".join(b"%X%s\r\n%s\r\n" % (len(p), extension, p) for p in parts) + b"0\r\nReq-Id: not this\r\n\r\n"


REQUESTS = {
    b"GET /a HTTP/1.1\r\nHost:x\r\nA:  b \t\r\n\r\n": b"",
    b"\r\n\r\nGET http://x/a HTTP/1.1\r\nA: b\r\n\r\n": b"",
    b"POST /a HTTP/1.0\r\nA: b\r\nContent-Length: 3\r\n\r\nabc": b"abc",
    b"POST /a HTTP/1.1\r\nA: b\r\n" + CHUNKED + chunks(b"abcdef", 2, b";x=y"): b"abcdef",
    b"POST /a HTTP/1.1\r\nA: b\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab": b"ab",
    b"POST /a HTTP/1.1\r\nA: b\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG: LONG,
    b"POST /a HTTP/1.1\r\nA: b\r\n" + CHUNKED + chunks(LONG, 7000): LONG,
}
ANSWERS = {
    b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 3\r\n\r\nabc": b"abc",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 \r\nA: b \r\n" + CHUNKED + chunks(b"abcdef", 1): b"abcdef",
    b"HTTP/1.0 200 OK\r\nA: b\r\n\r\nabc": b"abc",
    b"HTTP/1.1 200 OK\r\nA: b\r\nConnection: close\r\n\r\n" + LONG: LONG,
    b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG: LONG,
    b"HTTP/1.1 200 OK\r\nA: b\r\n" + CHUNKED + chunks(LONG, 70_000): LONG,
}
# Answers that have no body, whatever their head says of one.
BODILESS = [
    b"HTTP/1.1 %d X\r\nA: b\r\n%s\r\n" % (status, framing)
    for status in (204, 304)
    for framing in (b"", b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n")
]


def body_of(message: Message) -> bytes:
    """Return a message's body, buffered or passed on."""
    flow = message.flow
    if flow is None:
        return message.body
    assert flow.ended
    return b"".join(flow._pieces)


def read(reader: RequestReader | AnswerReader, data: bytes, cuts: list[int]) -> list[Message]:
    """Feed data in pieces; return the messages."""
    places = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [m for a, b in itertools.pairwise(places) for m in reader.feed(data[a:b])]


class Forms(unittest.TestCase):
    """Messages as HTTP/1.1 has them."""

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.integers(0, 1 << 20), max_size=30), st.booleans())
    def test_requests_are_read_however_they_are_split(self, cuts: list[int], held: bool) -> None:
        """Guards against a message that depends on how it was cut, and a trailer taken for a header."""
        for data, body in REQUESTS.items():
            reader = RequestReader(long=True, hold=(lambda size: True) if held else (lambda size: False))
            (message,) = read(reader, data, cuts)
            self.assertEqual((path_of(message.target), message.headers[b"a"], body_of(message)), (b"/a", b"b", body))
            self.assertNotIn(b"req-id", message.headers)
            self.assertEqual(message.flow is not None, len(body) > MAX_BODY_BYTES and not held)
            self.assertFalse(reader.partial)

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.integers(0, 1 << 20), max_size=30))
    def test_answers_are_read_however_they_are_split(self, cuts: list[int]) -> None:
        """Guards against answers of any framing that are lost, or altered by how they were cut."""
        for data, body in ANSWERS.items():
            reader = AnswerReader(long=True)
            messages = read(reader, data, cuts) + reader.end()
            message = next(m for m in messages if m.status >= 200)
            self.assertEqual((message.status, message.headers[b"a"], body_of(message)), (200, b"b", body))

    @given(st.lists(st.integers(0, 1 << 20), max_size=30), st.sampled_from(BODILESS))
    def test_an_answer_without_a_body_is_complete_at_its_head(self, cuts: list[int], bodiless: bytes) -> None:
        """Guards against a wait for a body that never comes, and against the next answer taken for it."""
        first, second = read(
            AnswerReader(long=True), bodiless + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", cuts
        )
        self.assertEqual((first.headers[b"a"], first.body, first.keep), (b"b", b"", True))
        self.assertEqual((second.status, second.body), (200, b"abc"))

    def test_requests_are_read_byte_by_byte(self) -> None:
        """Guards against forms that only whole pieces get through."""
        for data, body in REQUESTS.items():
            reader = RequestReader(long=True)
            (message,) = [m for n in range(len(data)) for m in reader.feed(data[n : n + 1])]
            self.assertEqual(body_of(message), body)

    def test_the_end_of_a_connection_completes_only_bodies_without_a_length(self) -> None:
        """Guards against half an answer taken for a whole one."""
        for data in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"5\r\nabc",
        ):
            reader = AnswerReader(long=True)
            self.assertEqual((reader.feed(data), reader.end()), ([], []))

    def test_a_body_that_is_too_long_is_rejected_at_its_head_or_when_it_shows(self) -> None:
        """Guards against bodies without end, and against 3 GB begun to be passed on."""
        for declared in (b"3221225472", b"9" * 30):
            with self.assertRaises(Malformed):
                AnswerReader(long=True).feed(b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\nab" % declared)
        reader, flow = AnswerReader(long=True), Flow()
        reader.feed(b"HTTP/1.1 200 OK\r\n" + CHUNKED)
        piece = b"10000\r\n" + bytes(65536) + b"\r\n"
        with self.assertRaises(Malformed):
            for _ in range(600):
                for message in reader.feed(piece):
                    flow = message.flow or flow
                flow._pieces.clear()
        self.assertTrue(flow.broken)

    def test_absolute_targets_are_reduced_to_the_origin_form(self) -> None:
        """Guards against an absolute form passed on, or read for another path."""
        for target, origin in (
            (b"/a?b", b"/a?b"),
            (b"http://h/a?b=/c", b"/a?b=/c"),
            (b"HTTP://h", b"/"),
            (b"http://h?x", b"/?x"),
            (b"*", b"*"),
        ):
            self.assertEqual(origin_of(target), origin)
