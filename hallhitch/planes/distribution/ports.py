"""What distribution needs of the links between processes."""

from __future__ import annotations

from typing import Protocol

from hallhitch.messages.system_pb2 import Envelope


class PeerCaller(Protocol):
    """Calls to other processes, as `messages.link.Links` makes them."""

    async def call(self, address: str, envelope: Envelope, timeout_ms: float, /) -> Envelope:
        """Call a peer and return its reply.

        Raises:
            PeerCallError: there was no reply in time, or the call was not sent.
        """
