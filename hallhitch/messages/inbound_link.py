"""Connections that peers opened to this process: handles each call at most once and replies to it.

If a handler fails, the reply is an error envelope and the connection stays open.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from hallhitch.messages.addressing import Identity, address_reply, check_call
from hallhitch.messages.call_sequence import CallSequence, SenderSequences
from hallhitch.messages.connection import Connection, ConnectionContext
from hallhitch.messages.errors import Rejection
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger, RateLimitedLog

CallHandler = Callable[[Envelope], "Envelope | Awaitable[Envelope]"]


class CallServer:
    """Handles the calls on all inbound connections of one process; owns the tasks of its asynchronous handlers."""

    def __init__(self, context: ConnectionContext, handler: CallHandler | None) -> None:
        self.context = context
        self.sequences = SenderSequences(context.clock)
        self.links: set[InboundLink] = set()
        self._handler = handler
        self._tasks: set[asyncio.Future[None]] = set()
        self._failure_log = RateLimitedLog(ComponentLogger("link"))

    def handle(self, call: Envelope) -> Envelope | Awaitable[Envelope]:
        """Return the reply to a call, or an awaitable of it; an exception in the handler becomes an error reply."""
        if self._handler is None:
            return Envelope(error="nobody answers here")
        try:
            return self._handler(call)
        except Exception as error:  # noqa: BLE001  top-level handler: logs the error, and the process continues
            return self._error_reply(error)

    def reply_later(self, link: InboundLink, call: Envelope, pending_reply: Awaitable[Envelope]) -> None:
        """Send the reply to a call when it is ready."""
        task = asyncio.ensure_future(self._reply_when_done(link, call, pending_reply))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reply_when_done(self, link: InboundLink, call: Envelope, pending_reply: Awaitable[Envelope]) -> None:
        try:
            reply = await pending_reply
        except Exception as error:  # noqa: BLE001  top-level handler: logs the error, and the process continues
            reply = self._error_reply(error)
        link.send_reply(call, reply)

    def _error_reply(self, error: Exception) -> Envelope:
        """Return the reply to a call whose handler failed, and log the failure at most once a second."""
        reply = Envelope(error=f"{type(error).__name__}: {error}")
        if isinstance(error, PeerCallError):
            self._failure_log.warning(self.context.clock(), "call failed", error=reply.error)
        else:
            self._failure_log.exception(self.context.clock(), "call handler raised", error, error=reply.error)
        return reply


class InboundLink(Connection):
    """A connection that a peer opened; all calls on it come from one incarnation of the peer."""

    def __init__(self, server: CallServer) -> None:
        super().__init__(server.context)
        self._server = server
        self._sender = Identity()
        self._sequence: CallSequence | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self._server.links.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection."""
        self._server.links.discard(self)

    def on_envelope(self, envelope: Envelope, is_chunked: bool) -> None:
        """Check the recipient, the sender and the number of a call, then handle it."""
        reason = check_call(envelope, self.context.own)
        if reason is None and self._sender.mismatch("", envelope.sender_incarnation) is not None:
            reason = Rejection.WRONG_SENDER
        if reason is not None:
            return self.close_rejecting(reason)
        if self._sequence is None:
            self._sender = Identity("", envelope.sender_incarnation)
            self._sequence = self._server.sequences.sequence_of(envelope.sender_incarnation)
        self._sequence.last_used_ms = self.context.clock()
        if not self._sequence.accept(envelope.call_id, is_chunked):
            return self.reject(Rejection.DUPLICATE_CALL)
        result = self._server.handle(envelope)
        if isinstance(result, Envelope):
            self.send_reply(envelope, result)
            return None
        self._server.reply_later(self, envelope, result)
        return None

    def send_reply(self, call: Envelope, reply: Envelope) -> None:
        """Send the reply to a call."""
        address_reply(reply, call, self.context.own)
        self.send(reply)
