"""The ports through which the core's actions leave; fronts and transports implement them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class AnswerPort(Protocol):
    """Where the one final answer of an exchange goes; exactly one of these is called, once."""

    def served(self, payload: object) -> None: ...

    def refused(self, advice: float) -> None: ...

    def failed(self) -> None: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt handed to a hop; the hop reports its end once."""

    exchange: int
    number: int
    server: str
    sent: float
    ends: float
    payload: object  # what the front took in, for the hop alone to read
    passing: bool = False  # whether it holds its request no longer whole: nobody can begin it again
    wanted: bool = True  # false once the exchange has had its answer: nothing may be written any more


class HopPort(Protocol):
    """Carries attempts to servers."""

    def start(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt) -> None: ...


class CounterPort(Protocol):
    """Adds to a named count; the total comes back to the core in call order."""

    def add(self, name: int, units: float, lifetime: float) -> None: ...
