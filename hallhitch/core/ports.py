"""The interfaces through which the core acts; frontends and transports implement them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class AnswerPort(Protocol):
    """Receives the final answer of an exchange: exactly one of its methods is called, exactly once."""

    def on_served(self, payload: object) -> None:
        """Answer with the response of a server."""

    def on_rejected(self, retry_after_ms: float) -> None:
        """Reject the request; the client may retry after `retry_after_ms`."""

    def on_failed(self) -> None:
        """Answer that the result of the request is unknown."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to serve an exchange; the transport that carries it reports its end exactly once. Times in ms."""

    exchange_id: int
    number: int  # index among the attempts of its exchange, from 0
    server: str
    sent_at: float
    ends_at: float
    payload: object  # the request as the frontend received it; read only by the transport
    is_streaming: bool = False  # forwarded parts of the request were discarded, so it cannot be retried
    is_wanted: bool = True  # False once the exchange is answered: the transport must write no more of it


class UpstreamPort(Protocol):
    """Transports attempts to servers."""

    def start(self, attempt: Attempt) -> None:
        """Start an attempt."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""


class CounterPort(Protocol):
    """Adds to named quota counters; their totals are reported to the core in the order of the calls."""

    def add(self, name: int, units: float, lifetime: float) -> None:
        """Add units to a counter, which expires `lifetime` ms after its creation."""
