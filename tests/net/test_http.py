"""The HTTP codec: a message is read alike in every framing and however its bytes are split."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hallhitch.net.flow import Flow
from hallhitch.net.http import MAX_BODY_BYTES, Malformed, Message, RequestReader, ResponseReader, origin_of, path_of

LONG_BODY = bytes(range(256)) * 300  # longer than MAX_BODY_BYTES, so that it is streamed
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def encode_chunks(body: bytes, size: int, extension: bytes = b"") -> bytes:
    """Encode a body in chunks of a size, with a trailer field."""
    parts = [body[n : n + size] for n in range(0, len(body), size)]
    return b"".join(b"%X%s\r\n%s\r\n" % (len(p), extension, p) for p in parts) + b"0\r\nReq-Id: not this\r\n\r\n"


REQUESTS = {
    b"GET /a HTTP/1.1\r\nHost:x\r\nA:  b \t\r\n\r\n": b"",
    b"\r\n\r\nGET http://x/a HTTP/1.1\r\nA: b\r\n\r\n": b"",
    b"POST /a HTTP/1.0\r\nA: b\r\nContent-Length: 3\r\n\r\nabc": b"abc",
    b"POST /a HTTP/1.1\r\nA: b\r\n" + CHUNKED + encode_chunks(b"abcdef", 2, b";x=y"): b"abcdef",
    b"POST /a HTTP/1.1\r\nA: b\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab": b"ab",
    b"POST /a HTTP/1.1\r\nA: b\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY: LONG_BODY,
    b"POST /a HTTP/1.1\r\nA: b\r\n" + CHUNKED + encode_chunks(LONG_BODY, 7000): LONG_BODY,
}
RESPONSES = {
    b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 3\r\n\r\nabc": b"abc",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 \r\nA: b \r\n" + CHUNKED + encode_chunks(b"abcdef", 1): b"abcdef",
    b"HTTP/1.0 200 OK\r\nA: b\r\n\r\nabc": b"abc",
    b"HTTP/1.1 200 OK\r\nA: b\r\nConnection: close\r\n\r\n" + LONG_BODY: LONG_BODY,
    b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY: LONG_BODY,
    b"HTTP/1.1 200 OK\r\nA: b\r\n" + CHUNKED + encode_chunks(LONG_BODY, 70_000): LONG_BODY,
}
# Responses that never have a body, even if their head declares one.
BODILESS_RESPONSES = [
    b"HTTP/1.1 %d X\r\nA: b\r\n%s\r\n" % (status, framing)
    for status in (204, 304)
    for framing in (b"", b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n")
]


def body_of(message: Message) -> bytes:
    """Return the body of a message, whether it was buffered or streamed."""
    flow = message.flow
    if flow is None:
        return message.body
    assert flow.ended
    return b"".join(flow._pieces)


def read_messages(reader: RequestReader | ResponseReader, data: bytes, cuts: list[int]) -> list[Message]:
    """Feed data to a reader, split at the cuts, and return the messages."""
    split_points = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [m for a, b in itertools.pairwise(split_points) for m in reader.feed(data[a:b])]


class MessageFraming(unittest.TestCase):
    """Messages in the framings of HTTP/1.0 and HTTP/1.1."""

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.integers(0, 1 << 20), max_size=30), st.booleans())
    def test_requests_are_read_however_they_are_split(self, cuts: list[int], is_buffered: bool) -> None:
        """Guards against a parse that depends on the split of the bytes, and a trailer field used as a header."""
        for data, body in REQUESTS.items():
            reader = RequestReader(
                can_stream=True, reserve_buffer=(lambda size: True) if is_buffered else (lambda size: False)
            )
            (message,) = read_messages(reader, data, cuts)
            self.assertEqual((path_of(message.target), message.headers[b"a"], body_of(message)), (b"/a", b"b", body))
            self.assertNotIn(b"req-id", message.headers)
            self.assertEqual(message.flow is not None, len(body) > MAX_BODY_BYTES and not is_buffered)
            self.assertFalse(reader.partial)

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.integers(0, 1 << 20), max_size=30))
    def test_responses_are_read_however_they_are_split(self, cuts: list[int]) -> None:
        """Guards against responses of any framing that are lost, or altered by the split of their bytes."""
        for data, body in RESPONSES.items():
            reader = ResponseReader(can_stream=True)
            messages = read_messages(reader, data, cuts) + reader.end()
            message = next(m for m in messages if m.status >= 200)
            self.assertEqual((message.status, message.headers[b"a"], body_of(message)), (200, b"b", body))

    @given(st.lists(st.integers(0, 1 << 20), max_size=30), st.sampled_from(BODILESS_RESPONSES))
    def test_a_response_without_a_body_is_complete_at_its_head(self, cuts: list[int], bodiless: bytes) -> None:
        """Guards against a wait for a body that never comes, and against the next response read as that body."""
        first, second = read_messages(
            ResponseReader(can_stream=True), bodiless + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", cuts
        )
        self.assertEqual((first.headers[b"a"], first.body, first.keep_alive), (b"b", b"", True))
        self.assertEqual((second.status, second.body), (200, b"abc"))

    def test_requests_are_read_byte_by_byte(self) -> None:
        """Guards against framings that are only read if they arrive in larger pieces."""
        for data, body in REQUESTS.items():
            reader = RequestReader(can_stream=True)
            (message,) = [m for n in range(len(data)) for m in reader.feed(data[n : n + 1])]
            self.assertEqual(body_of(message), body)

    def test_the_end_of_a_connection_completes_only_bodies_without_a_length(self) -> None:
        """Guards against a truncated response that counts as complete."""
        for data in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"5\r\nabc",
        ):
            reader = ResponseReader(can_stream=True)
            self.assertEqual((reader.feed(data), reader.end()), ([], []))

    def test_a_body_that_is_too_long_is_rejected_at_its_head_or_at_the_limit(self) -> None:
        """Guards against endless bodies, and against streaming a body that is declared as 3 GB."""
        for declared in (b"3221225472", b"9" * 30):
            with self.assertRaises(Malformed):
                ResponseReader(can_stream=True).feed(b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\nab" % declared)
        reader, flow = ResponseReader(can_stream=True), Flow()
        reader.feed(b"HTTP/1.1 200 OK\r\n" + CHUNKED)
        piece = b"10000\r\n" + bytes(65536) + b"\r\n"
        with self.assertRaises(Malformed):
            for _ in range(600):
                for message in reader.feed(piece):
                    flow = message.flow or flow
                flow._pieces.clear()
        self.assertTrue(flow.broken)

    def test_absolute_targets_are_reduced_to_the_origin_form(self) -> None:
        """Guards against an absolute form that is forwarded, or read as another path."""
        for target, origin in (
            (b"/a?b", b"/a?b"),
            (b"http://h/a?b=/c", b"/a?b=/c"),
            (b"HTTP://h", b"/"),
            (b"http://h?x", b"/?x"),
            (b"*", b"*"),
        ):
            self.assertEqual(origin_of(target), origin)
