"""Errors of the control plane; each has fields and a text that says what went wrong and where.

A call to a peer that fails raises `node.errors.PeerCallError` instead, as everywhere.
"""

from __future__ import annotations

from hallhitch.planes.control.ballot import Ballot


class ControlPlaneError(Exception):
    """The base of the control plane's own errors."""


class ProposalNotReadyError(ControlPlaneError):
    """An accept was asked of a proposal that has not chosen a state yet."""

    def __init__(self, ballot: Ballot) -> None:
        super().__init__(f"ballot {ballot.round} of {ballot.proposer} has no state to accept yet")
        self.ballot = ballot
