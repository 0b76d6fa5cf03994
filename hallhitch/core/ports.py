"""The ports through which the core acts; fronts and transports implement them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class AnswerPort(Protocol):
    """Receives the one final answer of an exchange: exactly one of the methods is called, once."""

    def on_served(self, payload: object) -> None:
        """Answer with what a server returned."""

    def on_rejected(self, advice: float) -> None:
        """Reject the request; the client may retry after `advice` ms."""

    def on_failed(self) -> None:
        """Answer that no result is known."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to serve an exchange, handed to a transport that reports its end once. Times in ms."""

    exchange_id: int
    number: int  # among the attempts of its exchange, from 0
    server: str
    sent_at: float
    ends_at: float
    payload: object  # what the front received; only the transport reads it
    is_streaming: bool = False  # parts of the request were forwarded and dropped: it cannot be retried
    is_wanted: bool = True  # False once the exchange has its answer: nothing more may be written


class UpstreamPort(Protocol):
    """Carries attempts to servers."""

    def start(self, attempt: Attempt) -> None:
        """Start an attempt."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""


class CounterPort(Protocol):
    """Adds to a named counter; the totals come back to the core in the order of the calls."""

    def add(self, name: int, units: float, lifetime: float) -> None:
        """Add units to a counter that expires `lifetime` ms after it was created."""
