"""What a program takes from its surroundings: clock, randomness, links, disk. A simulation brings its own.

Owns no decision. The program under test is the program in service: only this value differs.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from hallhitch.messages.inbound_link import CallHandler
from hallhitch.messages.peer_links import PeerLinks
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.clock import now
from hallhitch.planes.control.acceptor import Run
from hallhitch.planes.control.state_store import Storage


class Transport(Protocol):
    """Calls between the system's own processes, as `messages.peer_links.PeerLinks` makes them."""

    async def serve(self, address: str) -> None:
        """Take calls at our internal address."""

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Ask a peer and wait `timeout_ms` at most; raises PeerCallError."""

    def close(self) -> None:
        """End all connections."""


Connect = Callable[[str, str, int, CallHandler], Transport]


def connect(cluster: str, address: str, incarnation: int, handler: CallHandler) -> Transport:
    """Return the links of a process over TCP."""
    return PeerLinks(cluster, handler, address, incarnation)


@dataclass(frozen=True, slots=True)
class Runtime:
    """The surroundings of one process; the defaults are the real ones.

    `disk` and `run` stand in for the data folder and for the thread that waits for it; None takes the settings' folder.
    """

    clock: Callable[[], float] = now  # steady ms
    random: random.Random = field(default_factory=random.SystemRandom)
    connect: Connect = connect
    disk: Storage | None = None
    run: Run | None = None
