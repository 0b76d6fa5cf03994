"""Which calls there are, what answers each, and whether it may be sent again after silence.

The links repeat nothing by themselves: this table says what their callers may do. NotSent frees every call.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class Repetition(Enum):
    """What may follow a Silent call of one kind."""

    REPEATABLE = "repeatable"  # the same content again has the effect of one
    ONCE = (
        "once"  # a repetition might count, grant or accept twice: only a new call, with a number of its own, may follow
    )


@dataclass(frozen=True, slots=True)
class CallKind:
    """One kind of call: a field of the envelope's body, the field of its answer, and why it may be repeated or not."""

    answer: str
    repetition: Repetition
    reason: str


CALLS: Mapping[str, CallKind] = {
    "prepare": CallKind("promise", Repetition.REPEATABLE, "a promise of the same ballot changes nothing"),
    "accept": CallKind(
        "accepted",
        Repetition.ONCE,
        "between two tries the acceptor may have lost its memory and vote in two incarnations",
    ),
    "acceptor_query": CallKind(
        "acceptor_report", Repetition.REPEATABLE, "reads, and raises an incarnation to what it names"
    ),
    "state_request": CallKind("state_update", Repetition.REPEATABLE, "reads, and is a sign of life"),
    "lease_request": CallKind(
        "lease_response", Repetition.ONCE, "a grant counts from when its request was sent: a later one has a new number"
    ),
    "count_request": CallKind("count_response", Repetition.ONCE, "adds a unit, or gives one back"),
}


def repeatable(kind: str) -> bool:
    """Whether a call of this kind may be sent again after silence."""
    return CALLS[kind].repetition is Repetition.REPEATABLE
