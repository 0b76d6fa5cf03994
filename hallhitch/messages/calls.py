"""The kinds of calls: the reply to each, and whether the call may be retried after a timeout.

The links themselves never retry; this table tells their callers what may be retried. After `RequestNotSent` every call
may be sent again, because the peer has received no part of it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final


class Idempotency(Enum):
    """Whether a call may be sent again after `RequestTimeout`."""

    IDEMPOTENT = "idempotent"  # sending the same content twice has the effect of sending it once
    # A repetition might count, grant or accept twice: only a call with a new number may follow.
    NOT_IDEMPOTENT = "not idempotent"


@dataclass(frozen=True, slots=True)
class CallKind:
    """One kind of call: the body field of its reply, whether it is idempotent, and the reason for that."""

    reply: str
    idempotency: Idempotency
    reason: str


# Keyed by the field of the envelope's body.
CALL_KINDS: Final[Mapping[str, CallKind]] = {
    "prepare": CallKind("promise", Idempotency.IDEMPOTENT, "a second promise of the same ballot changes nothing"),
    "accept": CallKind(
        "accepted",
        Idempotency.NOT_IDEMPOTENT,
        "between two attempts the acceptor may have lost its state and would vote in two incarnations",
    ),
    "acceptor_query": CallKind(
        "acceptor_report", Idempotency.IDEMPOTENT, "reads state, and raises an incarnation to the one named in the call"
    ),
    "state_request": CallKind(
        "state_update", Idempotency.IDEMPOTENT, "reads state, and serves as a heartbeat of its sender"
    ),
    "lease_request": CallKind(
        "lease_response",
        Idempotency.NOT_IDEMPOTENT,
        "a lease starts when its request is sent, so a later request needs a new number",
    ),
    "count_request": CallKind("count_response", Idempotency.NOT_IDEMPOTENT, "adds a unit or refunds one"),
}


def is_idempotent(kind: str) -> bool:
    """Return whether a call of this kind may be sent again after a timeout."""
    return CALL_KINDS[kind].idempotency is Idempotency.IDEMPOTENT
