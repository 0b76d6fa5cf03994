"""The kinds of calls: the reply to each, and whether it may be retried after a time-out.

The links retry nothing themselves: this table says what their callers may do. After `RequestNotSent` every call may be
sent again, as the peer has seen nothing of it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final


class Idempotency(Enum):
    """Whether a call may be sent again after `RequestTimeout`."""

    IDEMPOTENT = "idempotent"  # the same content twice has the effect of once
    NOT_IDEMPOTENT = (
        "not idempotent"  # might count, grant or accept twice: only a call with a number of its own may follow
    )


@dataclass(frozen=True, slots=True)
class CallKind:
    """One kind of call: the field of its reply in the envelope's body, its idempotency and the reason for it."""

    reply: str
    idempotency: Idempotency
    reason: str


# By field of the envelope's body.
CALL_KINDS: Final[Mapping[str, CallKind]] = {
    "prepare": CallKind("promise", Idempotency.IDEMPOTENT, "a second promise of the same ballot changes nothing"),
    "accept": CallKind(
        "accepted",
        Idempotency.NOT_IDEMPOTENT,
        "between two attempts the acceptor may have lost its state and would vote in two incarnations",
    ),
    "acceptor_query": CallKind(
        "acceptor_report", Idempotency.IDEMPOTENT, "reads, and raises an incarnation to the one that it names"
    ),
    "state_request": CallKind("state_update", Idempotency.IDEMPOTENT, "reads, and is a heartbeat of its sender"),
    "lease_request": CallKind(
        "lease_response",
        Idempotency.NOT_IDEMPOTENT,
        "a lease runs from when its request was sent: a later request has a new number",
    ),
    "count_request": CallKind("count_response", Idempotency.NOT_IDEMPOTENT, "adds a unit or refunds one"),
}


def is_idempotent(kind: str) -> bool:
    """Return whether a call of this kind may be sent again after a time-out."""
    return CALL_KINDS[kind].idempotency is Idempotency.IDEMPOTENT
