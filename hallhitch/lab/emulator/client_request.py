"""A client's request, its outcome and the retry policy: plain values and a pure function."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

CONCLUSIVE_STATUSES: Final = (400, 401, 404, 413, 431)  # a retry would get the same response
NOT_EXECUTED_STATUSES: Final = (408, 421, 429, 503)  # the response promises that the request was not executed
RETRY_AFTER_DIVISOR: Final = 3  # Retry-After delays a retry by at most the remaining time divided by this


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request of a client with its latency target and deadline."""

    kind: str  # name of the `RequestKind`
    method: str
    host: str
    path: str
    api_key: str = ""
    body: bytes = b""
    is_idempotent: bool = True
    latency_target_ms: float = 500.0
    deadline_ms: float = 2000.0
    patience_ms: float = float("inf")  # then the client disconnects and does not retry


@dataclass(slots=True)
class RequestOutcome:
    """The result of a request over all its attempts."""

    request: ClientRequest
    region: str
    sent_at_ms: float
    ended_at_ms: float = 0.0
    status: int = 0  # of the last attempt; 0 if it got no response
    attempts: int = 0
    rejected_attempts: int = 0  # attempts whose response promises that they were not executed

    @property
    def is_served(self) -> bool:
        """Whether the request succeeded within its deadline."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What a client knows about one attempt."""

    status: int = 0  # 0 if the connection closed or no response arrived
    is_unread: bool = False  # the gateway has certainly not read the request
    retry_after_ms: float = 0.0
    has_left: bool = False  # the client ran out of patience and closed its connection


def retry_delay_ms(
    request: ClientRequest, result: AttemptResult, remaining_ms: float, backoff_ms: float
) -> float | None:
    """Return the delay before a client's next attempt, or None if it does not retry."""
    is_conclusive = 200 <= result.status < 300 or result.status in CONCLUSIVE_STATUSES
    if is_conclusive or result.has_left or remaining_ms <= 0:
        return None
    is_certainly_not_executed = result.status in NOT_EXECUTED_STATUSES or (result.status == 0 and result.is_unread)
    if not request.is_idempotent and not is_certainly_not_executed:
        return None
    delay_ms = backoff_ms
    if result.retry_after_ms:
        delay_ms = min(result.retry_after_ms, remaining_ms / RETRY_AFTER_DIVISOR)
    return delay_ms if delay_ms < remaining_ms else None
