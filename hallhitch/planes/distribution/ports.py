"""The interface through which distribution uses the process that it runs in."""

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
    """Makes calls to other processes; see messages.peer_links.PeerLinks."""

    async def call(self, address: str, envelope: Envelope, timeout_ms: float, /) -> Envelope:
        """Call a peer and return its reply.

        Raises:
            PeerCallError: no reply arrived in time, or the call was not sent.
        """


@dataclass(frozen=True, slots=True)
class SyncContext:
    """What pulls from peers need: the links, and the hub to which replies are applied.

    `own_entry` returns the current entry of this process, which each request carries.
    """

    links: PeerCaller
    hub: StateHub
    own_entry: Callable[[], Gateway]
    clock: Callable[[], float] = now
    bounds: RuleBounds = field(default_factory=RuleBounds)
