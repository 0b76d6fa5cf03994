"""A client's request, its outcome, and when it is retried: plain values and a pure function."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

CONCLUSIVE_STATUSES: Final = (400, 401, 404, 413, 431)
NOT_EXECUTED_STATUSES: Final = (408, 421, 429, 503)  # the response promises that the request was not executed
RETRY_AFTER_SHARE: Final = 3  # a client waits at most this part of its remaining time because of Retry-After


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request of a client, with its latency target and its deadline."""

    kind: str  # name of the kind of request
    method: str
    host: str
    path: str
    api_key: str = ""
    body: bytes = b""
    is_idempotent: bool = True
    latency_target_ms: float = 500.0
    deadline_ms: float = 2000.0
    patience_ms: float = float("inf")  # after it the client leaves: it closes its connection and sends nothing again


@dataclass(slots=True)
class RequestOutcome:
    """What came of a request, over all its attempts."""

    request: ClientRequest
    region: str
    sent_at_ms: float
    ended_at_ms: float = 0.0
    status: int = 0  # of the last attempt; 0 = no response
    attempts: int = 0
    rejected_attempts: int = 0  # with the promise that they were not executed

    @property
    def is_served(self) -> bool:
        """Whether a success came within the deadline."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What a client knows after one attempt."""

    status: int = 0  # 0 = the connection closed, or nothing came
    is_unread: bool = False  # the gateway has surely not read the request
    retry_after_ms: float = 0.0
    has_left: bool = False  # the client has closed its connection, and waits no longer


def retry_delay_ms(
    request: ClientRequest, result: AttemptResult, remaining_ms: float, backoff_ms: float
) -> float | None:
    """Return how long a client waits before its next attempt; None = there is none."""
    is_conclusive = 200 <= result.status < 300 or result.status in CONCLUSIVE_STATUSES
    if is_conclusive or result.has_left or remaining_ms <= 0:
        return None
    is_surely_not_executed = result.status in NOT_EXECUTED_STATUSES or (result.status == 0 and result.is_unread)
    if not request.is_idempotent and not is_surely_not_executed:
        return None
    delay_ms = backoff_ms
    if result.retry_after_ms:
        delay_ms = min(result.retry_after_ms, remaining_ms / RETRY_AFTER_SHARE)
    return delay_ms if delay_ms < remaining_ms else None
