"""Calls between the processes of the system over TCP: one persistent connection to each peer, replies in any order.

Invariants:
- Nothing is sent twice. The error of a failed call tells what is known about it (RequestNotSent, RequestTimeout,
  RequestRejected), and `calls.CALL_KINDS` tells whether its caller may retry it.
- At most one connection to a peer is open or being opened, because the call numbers of one incarnation have to reach a
  peer in order (`call_sequence`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from hallhitch.messages.addressing import Identity, cluster_id, split_address
from hallhitch.messages.connection import ACKNOWLEDGEMENT_TIMEOUT_MS, ConnectionContext
from hallhitch.messages.inbound_link import CallHandler, CallServer, InboundLink
from hallhitch.messages.outbound_link import OutboundLink, PendingCall
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.clock import now
from hallhitch.node.errors import RequestNotSent, RequestRejected, RequestTimeout

LISTEN_BACKLOG: Final = 512  # connections


class PeerLinks:
    """All connections between this process and the other processes of the system; one instance per incarnation."""

    def __init__(
        self,
        cluster_name: str,
        handler: CallHandler | None = None,
        address: str = "",
        incarnation: int = 0,
        clock: Callable[[], float] = now,
    ) -> None:
        self._context = ConnectionContext(cluster_id(cluster_name), Identity(address, incarnation), clock)
        self.traffic = self._context.traffic
        self._call_server = CallServer(self._context, handler)
        self._outbound: dict[str, OutboundLink] = {}
        self._connecting: dict[str, asyncio.Task[OutboundLink]] = {}
        self._last_call_id = 0
        self._server: asyncio.Server | None = None

    @property
    def inbound(self) -> set[InboundLink]:
        """The open connections that peers made to this process."""
        return self._call_server.links

    async def serve(self, address: str) -> None:
        """Listen on the internal address of this process."""
        host, port = split_address(address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: InboundLink(self._call_server), host, port, reuse_address=True, backlog=LISTEN_BACKLOG
        )

    def close(self) -> None:
        """Close all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for link in [*self._outbound.values(), *self.inbound]:
            link.abort()

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Call a peer and return its reply; the timeout includes the time to connect.

        Raises:
            RequestNotSent: no part of the call was passed to a connection.
            RequestTimeout: a part of it was, and no reply arrived; the peer may have handled it.
            RequestRejected: the peer replied with an error.
        """
        call: PendingCall | None = None
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                link = await self._link_to(address)
                self._last_call_id += 1
                call_id = self._last_call_id
                call = link.begin_call(call_id, envelope)
                try:
                    reply = await call.reply
                finally:
                    link.end_call(call_id, call)
        except TimeoutError:
            if call is None or not call.has_reply():
                raise self._timed_out(address, call, timeout_ms) from None
            reply = call.reply.result()
        except OSError as error:
            raise RequestNotSent("connect", address, str(error)) from None
        if reply.error:
            raise RequestRejected("call", address, reply.error)
        return reply

    def _timed_out(self, address: str, call: PendingCall | None, timeout_ms: float) -> RequestNotSent | RequestTimeout:
        """Return the error of a call that timed out; close the connection only if no call on it is answered."""
        reason = f"no reply within {timeout_ms:.0f} ms"
        error = call.failure(address, reason) if call is not None else RequestNotSent("connect", address, reason)
        link = self._outbound.get(address)
        if link is not None and link.is_unresponsive():
            link.abort()
        return error

    async def _link_to(self, address: str) -> OutboundLink:
        """Return the open connection to a peer, or open one; concurrent callers share the attempt."""
        link = self._outbound.get(address)
        if link is not None and link.is_open():
            return link
        task = self._connecting.get(address)
        if task is None:
            task = self._connecting[address] = asyncio.ensure_future(self._connect(address))
            task.add_done_callback(lambda done: self._on_connect_done(address, done))
        return await asyncio.shield(task)

    def _on_connect_done(self, address: str, task: asyncio.Task[OutboundLink]) -> None:
        self._connecting.pop(address, None)
        if not task.cancelled():
            task.exception()  # mark as retrieved; the waiting callers have received it

    async def _connect(self, address: str) -> OutboundLink:
        host, port = split_address(address)
        async with asyncio.timeout(ACKNOWLEDGEMENT_TIMEOUT_MS / 1000):
            _, link = await asyncio.get_running_loop().create_connection(
                lambda: OutboundLink(self._context, address, self._on_closed), host, port
            )
        if link.is_open():
            self._outbound[address] = link
        return link

    def _on_closed(self, link: OutboundLink) -> None:
        if self._outbound.get(link.peer.address) is link:
            del self._outbound[link.peer.address]
