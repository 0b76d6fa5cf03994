"""The objects of a coordinator's replica that the components of its control plane share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hallhitch.planes.control.acceptor import DurableAcceptor
from hallhitch.planes.control.member_calls import PeerCall
from hallhitch.planes.control.peer_observations import PeerObservations
from hallhitch.planes.control.proposer import Proposer


@dataclass(frozen=True, slots=True)
class LocalReplica:
    """The replica of this process: its acceptor, proposer, observations of peers, and function to call peers."""

    address: str
    acceptor: DurableAcceptor
    proposer: Proposer
    observations: PeerObservations
    call_peer: PeerCall  # raises PeerCallError
    clock: Callable[[], float]  # monotonic, in ms

    def record_reply(self, address: str) -> None:
        """Record that a coordinator replied at the current time."""
        self.observations.record_reply(address, self.clock())
