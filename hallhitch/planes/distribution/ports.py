"""What distribution needs of the process that it runs in."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.clock import now
from hallhitch.node.settings import RuleBounds
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.values import Gateway


class PeerCaller(Protocol):
    """Calls to other processes, as `messages.peer_links.PeerLinks` makes them."""

    async def call(self, address: str, envelope: Envelope, timeout_ms: float, /) -> Envelope:
        """Call a peer and return its reply.

        Raises:
            PeerCallError: there was no reply in time, or the call was not sent.
        """


@dataclass(frozen=True, slots=True)
class SyncContext:
    """What pulls from peers use: links, the state that replies are applied to, and the entry that requests carry.

    `own_entry` returns this process as its peers shall know it now.
    """

    links: PeerCaller
    hub: StateHub
    own_entry: Callable[[], Gateway]
    clock: Callable[[], float] = now
    bounds: RuleBounds = field(default_factory=RuleBounds)
