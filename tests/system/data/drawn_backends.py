"""Backends that draw how they answer each attempt, in which order, how often, and what they send unasked."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

from tests.system.data.attempt_endings import EARLY_HINTS, NOT_EXECUTED_LINE, encode_response
from tests.system.data.scripted_peers import SEAL_LINE, Peer

WORK_S: Final = (0.002, 0.02, 0.08)
COPY_DELAY_S: Final = (0.0, 0.001, 0.01, 0.03, 0.09)
PREFACE_SHARE: Final = 0.1  # of new connections: something is written before a request was read
REFUSAL_SHARE: Final = 0.4  # of attempts
FAULT_SHARE: Final = 0.15  # of attempts
EARLY_REFUSAL_SHARE: Final = 0.2  # of refusals: sent before the body was read
WITHHELD_COPY_SHARE: Final = 0.25  # of answers: a copy comes in the place where the next answer is expected
LATE_COPY_SHARE: Final = 0.25  # of answers: a copy comes a little later
CLOSE_SHARE: Final = 0.03  # of answers, after which the connection is closed


@dataclass(frozen=True)
class DrawnAnswer:
    """One way to answer; `field_lines` follow the line with the request id, unless `has_id` is False."""

    status: int
    runs: bool
    field_lines: bytes = b""
    has_id: bool = True
    is_truncated: bool = False
    has_early_hints: bool = False

    def encode(self, request_id: bytes) -> bytes:
        """Return the bytes of the answer."""
        id_line = b"Hallhitch-Request-Id: " + request_id + b"\r\n" if self.has_id else b""
        answer = encode_response(self.status, id_line + self.field_lines, b"body of " + request_id)
        if self.is_truncated:
            answer = answer[:-3]
        return EARLY_HINTS + answer if self.has_early_hints else answer


SUCCESS: Final = DrawnAnswer(200, True, SEAL_LINE)
REFUSALS: Final = (
    DrawnAnswer(503, False, NOT_EXECUTED_LINE),
    DrawnAnswer(429, False, NOT_EXECUTED_LINE),
    DrawnAnswer(408, False, NOT_EXECUTED_LINE),
    DrawnAnswer(503, False, NOT_EXECUTED_LINE, has_early_hints=True),
)
MISDIRECTED: Final = DrawnAnswer(421, False)
FAULTY_ANSWERS: Final = (
    DrawnAnswer(500, True),
    DrawnAnswer(503, True),
    DrawnAnswer(429, True),
    DrawnAnswer(408, True),
    DrawnAnswer(404, True, SEAL_LINE),
    DrawnAnswer(200, True, SEAL_LINE, has_id=False),
    DrawnAnswer(500, True, has_id=False),
    DrawnAnswer(200, True, SEAL_LINE, is_truncated=True),
    DrawnAnswer(200, True, SEAL_LINE, has_early_hints=True),
    DrawnAnswer(503, False, NOT_EXECUTED_LINE, has_id=False),
    DrawnAnswer(503, False, NOT_EXECUTED_LINE, is_truncated=True),
)
# What a backend may write before it has read a request.
PREFACES: Final = (
    DrawnAnswer(503, False, NOT_EXECUTED_LINE, has_id=False),
    DrawnAnswer(421, False, has_id=False),
    DrawnAnswer(408, False, has_id=False),
    DrawnAnswer(200, False, SEAL_LINE, has_id=False),
)


class DrawnBackend:
    """One backend, which counts what it runs."""

    def __init__(self, rng: Random, refusals: Sequence[DrawnAnswer] = REFUSALS) -> None:
        self._rng = rng
        self._refusals = refusals
        self.run_counts: Counter[bytes] = Counter()  # by request id

    async def __call__(self, peer: Peer) -> None:
        """Serve one connection."""
        rng = self._rng
        withheld_copy = b""  # sent in the place where the next answer is expected
        if rng.random() < PREFACE_SHARE:
            self._write_later(peer, rng.choice(PREFACES).encode(b""))
        while True:
            _, fields = await peer.read_head()
            answer = self._draw_answer()
            length = int(fields.get(b"content-length", b"0"))
            if answer.runs or rng.random() >= EARLY_REFUSAL_SHARE:
                await peer.reader.readexactly(length)
                length = 0
            if answer.runs:
                self.run_counts[peer.request_id] += 1
                await asyncio.sleep(rng.choice(WORK_S))
            peer.write(withheld_copy)
            withheld_copy = b""
            encoded = answer.encode(peer.request_id)
            peer.write(encoded)
            if answer.is_truncated or rng.random() < CLOSE_SHARE:
                return
            copy = rng.random()
            if copy < WITHHELD_COPY_SHARE:
                withheld_copy = encoded
            elif copy < WITHHELD_COPY_SHARE + LATE_COPY_SHARE:
                self._write_later(peer, encoded)
            await peer.reader.readexactly(length)

    def _draw_answer(self) -> DrawnAnswer:
        draw = self._rng.random()
        if draw < REFUSAL_SHARE:
            return self._rng.choice(self._refusals)
        return self._rng.choice(FAULTY_ANSWERS) if draw < REFUSAL_SHARE + FAULT_SHARE else SUCCESS

    def _write_later(self, peer: Peer, data: bytes) -> None:
        asyncio.get_running_loop().call_later(self._rng.choice(COPY_DELAY_S), peer.write, data)
