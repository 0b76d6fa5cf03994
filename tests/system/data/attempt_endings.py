"""A table of the ways in which an attempt can end, and backends that produce them."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from tests.system.data.scripted_peers import SEAL_LINE, Peer

# More than the socket buffers hold if the backend reads only the head.
LONG_BODY = bytes(8 * 1024 * 1024)
OWN_ID_LINE = b"Hallhitch-Request-Id: id-1\r\n"
OTHER_ID_LINE = b"Hallhitch-Request-Id: id-0\r\n"
NOT_EXECUTED_LINE = b"Hallhitch-Not-Executed: full\r\n"


def encode_response(status: int, field_lines: bytes = OWN_ID_LINE + SEAL_LINE, body: bytes = b"ran id-1") -> bytes:
    """Return the bytes of a complete response."""
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, field_lines, len(body), body)


SUCCESS = encode_response(200)
SUCCESS_OF_OTHER = encode_response(200, OTHER_ID_LINE + SEAL_LINE, b"ran id-0")
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
DECLINED = encode_response(503, OWN_ID_LINE + NOT_EXECUTED_LINE, b"")


class BackendStep(Enum):
    """Actions of a backend other than writing bytes."""

    READ = "read the body"
    RUN = "read the body and run the request"
    RESET = "reset the connection"
    CLOSE = "close the connection"
    WAIT = "wait until the client has its reply"


class RetryRule(Enum):
    """Whether the request may be retried after an ending."""

    IF_IDEMPOTENT = "the request may have run: only if it is idempotent and attempts remain"
    ALWAYS = "the request certainly did not run: if attempts remain"
    NEVER = "the request has its response"


@dataclass(frozen=True)
class Ending:
    """One way in which an attempt can end; `status` is the client's reply status if no other attempt follows."""

    name: str
    steps: tuple[BackendStep | bytes, ...]
    status: int
    retry_rule: RetryRule = RetryRule.IF_IDEMPOTENT
    request_body: bytes = b"x"

    def expected_status(self, is_non_idempotent: bool, max_attempts: int) -> int:
        """Return the status of the client's reply if every other attempt succeeds."""
        may_retry = self.retry_rule is RetryRule.ALWAYS or (
            self.retry_rule is RetryRule.IF_IDEMPOTENT and not is_non_idempotent
        )
        return 200 if may_retry and max_attempts > 1 else self.status


def partly_written(
    name: str, *steps: BackendStep | bytes, status: int = 502, retry_rule: RetryRule = RetryRule.IF_IDEMPOTENT
) -> Ending:
    """Return an ending that occurs while the request's body is being written."""
    return Ending(f"partly written, {name}", steps, status, retry_rule, LONG_BODY)


def fully_written(
    name: str, *steps: BackendStep | bytes, status: int = 502, retry_rule: RetryRule = RetryRule.IF_IDEMPOTENT
) -> Ending:
    """Return an ending after the request was written; unless the first step is READ or WAIT, the backend runs it."""
    first = () if steps[0] in (BackendStep.READ, BackendStep.WAIT) else (BackendStep.RUN,)
    return Ending(f"fully written, {name}", first + steps, status, retry_rule)


READ, RUN, RESET, CLOSE, WAIT = BackendStep
ALWAYS, NEVER = RetryRule.ALWAYS, RetryRule.NEVER

ENDINGS = [
    partly_written("reset", RESET),
    partly_written("close", CLOSE),
    partly_written("time-out", WAIT, CLOSE, status=504),
    partly_written("1xx, then reset", EARLY_HINTS, RESET),
    partly_written("another id, then close", SUCCESS_OF_OTHER, CLOSE),
    partly_written("truncated response", SUCCESS[:-3], CLOSE),
    partly_written("declined", DECLINED, WAIT, status=503, retry_rule=ALWAYS),
    partly_written("early response", SUCCESS, WAIT, status=200, retry_rule=NEVER),
    partly_written("suspended, run later", WAIT, RUN, SUCCESS, status=504),
    fully_written("reset", RESET),
    fully_written("close", CLOSE),
    fully_written("time-out", RUN, WAIT, CLOSE, status=504),
    fully_written("suspended, run later", WAIT, RUN, SUCCESS, status=504),
    fully_written("late response", RUN, WAIT, SUCCESS, status=504),
    fully_written("late response, sent twice", RUN, WAIT, SUCCESS, SUCCESS, status=504),
    fully_written("late rejection", WAIT, READ, DECLINED, status=504),
    fully_written("1xx, then reset", EARLY_HINTS, RESET),
    fully_written("1xx, then close", EARLY_HINTS, EARLY_HINTS, CLOSE),
    fully_written("1xx, then time-out", EARLY_HINTS, WAIT, CLOSE, status=504),
    fully_written("1xx, then its response", EARLY_HINTS, SUCCESS, status=200, retry_rule=NEVER),
    fully_written("101", b"HTTP/1.1 101 X\r\nUpgrade: y\r\n\r\n\x00\x01", CLOSE),
    fully_written("another id, then reset", SUCCESS_OF_OTHER, RESET),
    fully_written("another id, then close", SUCCESS_OF_OTHER, CLOSE),
    fully_written("another id, then time-out", SUCCESS_OF_OTHER, WAIT, CLOSE, status=504),
    fully_written("another id, then its response", SUCCESS_OF_OTHER, SUCCESS, status=200, retry_rule=NEVER),
    fully_written(
        "another id's rejection, then reset", encode_response(503, OTHER_ID_LINE + NOT_EXECUTED_LINE, b""), RESET
    ),
    fully_written("another id's 421, then close", encode_response(421, OTHER_ID_LINE, b""), CLOSE),
    fully_written("response sent twice", SUCCESS, SUCCESS, status=200, retry_rule=NEVER),
    fully_written("response, then garbage", SUCCESS, b"noise", status=200, retry_rule=NEVER),
    fully_written("response, then its rejection", SUCCESS, DECLINED, status=200, retry_rule=NEVER),
    fully_written("response truncated by close", SUCCESS[:-3], CLOSE),
    fully_written("response truncated by reset", SUCCESS[:-3], RESET),
    fully_written("truncated head", SUCCESS[:40], CLOSE),
    fully_written(
        "truncated chunks",
        b"HTTP/1.1 200 X\r\n" + OWN_ID_LINE + SEAL_LINE + b"Transfer-Encoding: chunked\r\n\r\n3\r\nran\r\n",
        CLOSE,
    ),
    fully_written("truncated rejection", encode_response(503, OWN_ID_LINE + NOT_EXECUTED_LINE)[:-3], CLOSE),
    fully_written("half a response, then time-out", SUCCESS[:-3], WAIT, CLOSE, status=504),
    fully_written("response without id", encode_response(200, SEAL_LINE)),
    fully_written("not HTTP", b"\x00\x01 no answer\r\n\r\n", CLOSE),
    fully_written("500", encode_response(500, OWN_ID_LINE, b"no"), status=500),
    fully_written("503, may have run", encode_response(503, OWN_ID_LINE, b"")),
    fully_written("429, may have run", encode_response(429, OWN_ID_LINE, b"")),
    fully_written("408, may have run", encode_response(408, OWN_ID_LINE, b"")),
    fully_written("503, never ran", READ, DECLINED, status=503, retry_rule=ALWAYS),
    fully_written(
        "429, never ran",
        READ,
        encode_response(429, OWN_ID_LINE + NOT_EXECUTED_LINE, b""),
        status=503,
        retry_rule=ALWAYS,
    ),
    fully_written("421", READ, encode_response(421, OWN_ID_LINE, b""), status=503, retry_rule=ALWAYS),
]


class RecordingBackends:
    """Backends that count what they run; the first attempt of request id-1 ends with `ending`, all others succeed."""

    def __init__(self, ending: Ending) -> None:
        self.ending = ending
        self.has_used_ending = False
        self.run_counts: Counter[bytes] = Counter()  # by request id
        self.attempt_counts: Counter[bytes] = Counter()
        self.reply_received = asyncio.Event()

    async def __call__(self, peer: Peer) -> None:
        """Serve one connection."""
        is_open = True
        while is_open:
            _, fields = await peer.read_head()
            length = int(fields.get(b"content-length", b"0"))
            self.attempt_counts[peer.request_id] += 1
            if peer.request_id == b"id-1" and not self.has_used_ending:
                self.has_used_ending = True
                is_open = await self._end_attempt(peer, length)
            else:
                await self._run(peer, length)
                peer.respond(200, b"ran " + peer.request_id)

    async def _end_attempt(self, peer: Peer, length: int) -> bool:
        """Perform the steps of the ending; return whether the connection can be used for another request."""
        unread = length
        for step in self.ending.steps:
            if isinstance(step, bytes):
                peer.write(step)
            elif step is READ:
                await peer.reader.readexactly(unread)
                unread = 0
            elif step is RUN and unread:
                await self._run(peer, unread)
                unread = 0
            elif step is WAIT:
                await self.reply_received.wait()
            elif step in (RESET, CLOSE):
                if step is RESET:
                    peer.reset()
                return False
        return not unread

    async def _run(self, peer: Peer, length: int) -> None:
        await peer.reader.readexactly(length)
        self.run_counts[peer.request_id] += 1
