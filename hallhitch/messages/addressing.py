"""For whom an envelope is, from whom, and whether it came before: decisions without I/O and without a clock.

Invariants:
- Addressee. A process serves only what names no other address and no other incarnation than its own.
- Answerer. A caller takes an answer only from the process that it called, on the connection of the call.
- Once. Of one sender's calls a process serves each number at most once: a sender's numbers grow, in each lane of the
  stream (whole envelopes, envelopes in pieces), and only what is above all that came before is served.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hallhitch.messages.frames import Rejection
from hallhitch.messages.system_pb2 import Envelope

REMEMBERED = 60_000.0  # ms for which a silent sender's numbers are kept: no machine sends a given-up frame for so long


@dataclass(frozen=True, slots=True)
class Identity:
    """One process. An address of "" or an incarnation of 0 is not known, and agrees with any."""

    address: str = ""
    incarnation: int = 0

    def differs(self, address: str, incarnation: int) -> Rejection | None:
        """Why this process cannot be the one named; None: it can."""
        if address and self.address and address != self.address:
            return Rejection.OTHER_ADDRESS
        if incarnation and self.incarnation and incarnation != self.incarnation:
            return Rejection.OTHER_INCARNATION
        return None


def address_call(envelope: Envelope, own: Identity, peer: Identity) -> None:
    """Write into a call for whom it is and from whom: the address until the incarnation is known, which says more.

    A caller that means one incarnation in particular has named it already.
    """
    envelope.sender_incarnation = own.incarnation
    if not envelope.recipient_incarnation:
        envelope.recipient_incarnation = peer.incarnation
    if not envelope.recipient_incarnation:
        envelope.recipient = peer.address


def address_answer(answer: Envelope, call: Envelope, own: Identity) -> None:
    """Write into an answer whose it is; a caller that does not know the incarnation is told the address as well."""
    answer.call_id, answer.is_reply = call.call_id, True
    answer.recipient_incarnation = call.sender_incarnation
    answer.sender_incarnation = own.incarnation
    if not call.recipient_incarnation:
        answer.sender = own.address


def reject_call(call: Envelope, own: Identity) -> Rejection | None:
    """Why a process may not serve this; None: it is for it."""
    if call.is_reply:
        return Rejection.NOT_A_CALL
    return own.differs(call.recipient, call.recipient_incarnation)


def reject_answer(answer: Envelope, own: Identity, peer: Identity) -> Rejection | None:
    """Why a caller may not take this from the one it called; None: it may."""
    if not answer.is_reply:
        return Rejection.NOT_AN_ANSWER
    if peer.differs(answer.sender, answer.sender_incarnation) is not None:
        return Rejection.OTHER_SENDER
    return own.differs(answer.recipient, answer.recipient_incarnation)


class CallOrder:
    """The newest numbers of one sender, by lane."""

    __slots__ = ("_whole", "_pieces", "touched")

    def __init__(self) -> None:
        self._whole = self._pieces = 0
        self.touched = 0.0

    def accept(self, number: int, in_pieces: bool) -> bool:
        """Whether this number is new; from now on it is not."""
        if number <= (self._pieces if in_pieces else self._whole):
            return False
        if in_pieces:
            self._pieces = number
        else:
            self._whole = number
        return True


class Senders:
    """The order of the calls of each sender, over all its connections: also a replay on another one is known.

    Bounded by the senders that were heard within REMEMBERED, as others are forgotten when a new one comes.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._orders: dict[int, CallOrder] = {}

    def order(self, incarnation: int) -> CallOrder:
        """The order of one sender; one without an incarnation has one for each connection."""
        order = self._orders.get(incarnation)
        if order is None:
            order = CallOrder()
            if incarnation:
                self._forget()
                self._orders[incarnation] = order
        order.touched = self._clock()
        return order

    def _forget(self) -> None:
        limit = self._clock() - REMEMBERED
        self._orders = {sender: order for sender, order in self._orders.items() if order.touched >= limit}
