"""A connection that this process opened to a peer, and the calls that are pending on it.

Invariant: a call is written to one connection at most once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from hallhitch.messages.addressing import Identity, address_call, check_reply
from hallhitch.messages.connection import ACKNOWLEDGEMENT_TIMEOUT_MS, Connection, ConnectionContext
from hallhitch.messages.errors import Rejection
from hallhitch.messages.frames import OutgoingFrame
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.errors import RequestNotSent, RequestTimeout

# With calls pending, time without a received byte after which the next timeout closes the connection. Equal to the
# kernel's wait for an acknowledgement: a slow path (1.5 s and more each way over a congested link) keeps its calls in
# transit, and a dead path is detected as early as by the kernel.
UNRESPONSIVE_AFTER_MS: Final = float(ACKNOWLEDGEMENT_TIMEOUT_MS)


class PendingCall:
    """One call on one connection that waits for its reply."""

    __slots__ = ("frame", "reply")

    def __init__(self) -> None:
        self.reply: asyncio.Future[Envelope] = asyncio.get_running_loop().create_future()
        self.frame: OutgoingFrame | None = None

    def has_reply(self) -> bool:
        """Return whether the reply has arrived, even if only at the moment of the timeout."""
        return self.reply.done() and not self.reply.cancelled() and self.reply.exception() is None

    def failure(self, address: str, reason: str) -> RequestNotSent | RequestTimeout:
        """Return the error of this call without a reply; the type tells whether any part of it may have been sent."""
        if self.frame is not None and self.frame.is_handed_over:
            return RequestTimeout("call", address, reason)
        return RequestNotSent("call", address, reason)


class OutboundLink(Connection):
    """A connection to a peer, and the calls pending on it."""

    def __init__(self, context: ConnectionContext, address: str, on_closed: Callable[[OutboundLink], None]) -> None:
        super().__init__(context)
        self.peer = Identity(address)
        self._pending: dict[int, PendingCall] = {}
        self._on_closed = on_closed
        self._unanswered_since_ms: float | None = None  # when the first call after the last reply was written

    def on_envelope(self, envelope: Envelope, is_chunked: bool) -> None:
        """Complete the pending call that this reply belongs to."""
        reason = check_reply(envelope, self.context.own, self.peer)
        if reason is not None:
            return self.close_rejecting(reason)
        if not self.peer.incarnation:
            self.peer = Identity(self.peer.address, envelope.sender_incarnation)
        self._unanswered_since_ms = None
        call = self._pending.pop(envelope.call_id, None)
        if call is None:
            return self.reject(Rejection.UNMATCHED_REPLY)
        if not call.reply.done():
            call.reply.set_result(envelope)
            return None
        return None

    def begin_call(self, call_id: int, envelope: Envelope) -> PendingCall:
        """Write a call and return it; its future receives the reply, or an error when the connection closes.

        Raises:
            RequestNotSent: the connection is closed.
        """
        if not self.is_open():
            raise RequestNotSent("call", self.peer.address, "the connection is closed")
        call = self._pending[call_id] = PendingCall()
        envelope.call_id = call_id
        address_call(envelope, self.context.own, self.peer)
        call.frame = self.send(envelope)
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = self.context.clock()
        return call

    def end_call(self, call_id: int, call: PendingCall) -> None:
        """Remove a call whose caller no longer waits, and do not send it if it is still queued."""
        if self._pending.pop(call_id, None) is not None and call.frame is not None:
            self.withdraw(call.frame)

    def is_unresponsive(self) -> bool:
        """Return whether calls are pending and nothing was received for UNRESPONSIVE_AFTER_MS."""
        since_ms = self._unanswered_since_ms
        if since_ms is None:
            return False
        return self.context.clock() - max(since_ms, self.last_received_ms) >= UNRESPONSIVE_AFTER_MS

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all pending calls."""
        self._on_closed(self)
        for call in self._pending.values():
            if not call.reply.done():
                call.reply.set_exception(call.failure(self.peer.address, "the connection was closed"))
        self._pending.clear()
