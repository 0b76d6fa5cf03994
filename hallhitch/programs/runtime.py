"""The environment of a program: clock, random numbers, links to peers, storage.

A simulation passes its own `Runtime`, so that the same programs run in simulation and in production.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

from hallhitch.messages.inbound_link import CallHandler
from hallhitch.messages.peer_links import PeerLinks
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.clock import now
from hallhitch.planes.control.storage import Storage
from hallhitch.planes.control.storage_thread import BlockingRunner

INCARNATION_BITS: Final = 62  # fits a uint64 field and makes collisions negligible; 0 is reserved for "unknown"


class Transport(Protocol):
    """Calls between the processes of the system; `messages.peer_links.PeerLinks` implements it over TCP."""

    async def serve(self, address: str) -> None:
        """Accept calls on the internal address."""

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Call a peer and return its reply.

        Raises:
            PeerCallError: the call was not sent, was rejected, or got no reply in time.
        """

    def close(self) -> None:
        """Close all connections."""


Connect = Callable[[str, str, int, CallHandler], Transport]  # cluster, internal address, incarnation, handler


def connect(cluster: str, address: str, incarnation: int, handler: CallHandler) -> Transport:
    """Create the links of a process over TCP."""
    return PeerLinks(cluster, handler, address, incarnation)


@dataclass(frozen=True, slots=True)
class Runtime:
    """The environment of one process; the defaults are for production.

    `storage` replaces the data directory from the settings, and `run_blocking` the thread that accesses it; None keeps
    the default.
    """

    clock: Callable[[], float] = now  # monotonic, in ms
    random: random.Random = field(default_factory=random.SystemRandom)
    connect: Connect = connect
    storage: Storage | None = None
    run_blocking: BlockingRunner | None = None

    def draw_incarnation(self) -> int:
        """Return a random number above 0 that identifies one incarnation of a process."""
        return self.random.getrandbits(INCARNATION_BITS) + 1
