"""Backends that draw how they answer each attempt, in which order, how often, and what they send unasked."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final

from tests.system.data.attempt_endings import EARLY_HINTS, encode_response
from tests.system.data.scripted_peers import SEAL_LINE, Peer

NOT_EXECUTED_LINE: Final = b"Hallhitch-Not-Executed: 1\r\n"
WORK_S: Final = (0.002, 0.02, 0.08)
COPY_DELAY_S: Final = (0.0, 0.001, 0.01, 0.03, 0.09)


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
    DrawnAnswer(421, False),
    DrawnAnswer(503, False, NOT_EXECUTED_LINE, has_early_hints=True),
)
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
    """One backend, which counts what it runs.

    The shares are those of new connections with a preface, and of attempts that are refused, answered faultily, and
    answered by more than one copy of the answer.
    """

    def __init__(
        self,
        rng: Random,
        preface_share: float = 0.1,
        refusal_share: float = 0.4,
        fault_share: float = 0.15,
        copy_share: float = 0.5,
    ) -> None:
        self._rng = rng
        self._preface_share = preface_share
        self._refusal_share = refusal_share
        self._fault_share = fault_share
        self._copy_share = copy_share
        self.run_counts: Counter[bytes] = Counter()  # by request id

    async def __call__(self, peer: Peer) -> None:
        """Serve one connection."""
        rng = self._rng
        withheld_copy = b""  # sent in the place where the next answer is expected
        if rng.random() < self._preface_share:
            self._write_later(peer, rng.choice(PREFACES).encode(b""))
        while True:
            _, fields = await peer.read_head()
            answer = self._draw_answer()
            length = int(fields.get(b"content-length", b"0"))
            if answer.runs or rng.random() < 0.8:  # a refusal may come before the body was read
                await peer.reader.readexactly(length)
                length = 0
            if answer.runs:
                self.run_counts[peer.request_id] += 1
                await asyncio.sleep(rng.choice(WORK_S))
            peer.write(withheld_copy)
            withheld_copy = b""
            encoded = answer.encode(peer.request_id)
            peer.write(encoded)
            if answer.is_truncated or (answer.has_id and rng.random() < 0.03):
                return
            if rng.random() < self._copy_share:
                if rng.random() < 0.5:
                    withheld_copy = encoded
                else:
                    self._write_later(peer, encoded)
            await peer.reader.readexactly(length)

    def _draw_answer(self) -> DrawnAnswer:
        draw = self._rng.random()
        if draw < self._refusal_share:
            return self._rng.choice(REFUSALS)
        return self._rng.choice(FAULTY_ANSWERS) if draw < self._refusal_share + self._fault_share else SUCCESS

    def _write_later(self, peer: Peer, data: bytes) -> None:
        write: Callable[[bytes], None] = peer.write
        asyncio.get_running_loop().call_later(self._rng.choice(COPY_DELAY_S), write, data)
