"""The members of the consensus: which replicas vote on the cluster state, and which votes are a quorum.

The members are part of the replicated state. They change by joint consensus: one state names both the previous and the
new members, and a majority of each set is needed until a second state finishes the change.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.planes.control.ballot import INITIAL_BALLOT, BallotedState

QuorumSets = tuple[frozenset[str], ...]  # sets of replicas; a quorum is a majority of each of them


@dataclass(frozen=True, slots=True)
class Membership:
    """The replicas that vote under a state. While `previous_members` is not empty, a joint change is in progress.

    `previous_lease_members` are previous members whose votes on leases may still be counted: a lease needs a majority
    of them as well. They do not vote on the state.
    """

    version: int = 0
    members: tuple[str, ...] = ()
    previous_members: tuple[str, ...] = ()
    previous_lease_members: tuple[str, ...] = ()

    @staticmethod
    def from_state(state: ClusterState) -> Membership:
        """Return the membership that is part of a state."""
        return Membership(
            state.membership_version,
            tuple(state.members),
            tuple(state.previous_members),
            tuple(state.previous_lease_members),
        )

    @property
    def quorum_sets(self) -> QuorumSets:
        """The sets of which a majority each is needed; empty if no member is known."""
        return tuple(frozenset(members) for members in (self.previous_members, self.members) if members)

    @property
    def all_members(self) -> frozenset[str]:
        """Every replica that votes on the state."""
        return frozenset(self.members) | frozenset(self.previous_members)

    def has_quorum(self, votes: Iterable[str]) -> bool:
        """Return whether the votes are a majority of each set."""
        return has_majority_of_each(self.quorum_sets, votes)


def has_majority_of_each(quorum_sets: QuorumSets, votes: Iterable[str]) -> bool:
    """Return whether the votes are a majority of each set; False if there is no set."""
    voters = frozenset(votes)
    return bool(quorum_sets) and all(2 * len(members & voters) > len(members) for members in quorum_sets)


def initial_state(seeds: Iterable[str]) -> ClusterState:
    """Return the bootstrap state of a new cluster: no configuration, and the seeds as members."""
    return ClusterState(config_version=-1, members=sorted(set(seeds)), membership_version=1)


def has_bootstrap_conflict(own: BallotedState, peer: BallotedState) -> bool:
    """Return whether both states are bootstrap states, which no ballot has changed yet, with different members."""
    if own.ballot != INITIAL_BALLOT or peer.ballot != INITIAL_BALLOT:
        return False
    if not own.state.members or not peer.state.members:
        return False
    return Membership.from_state(own.state) != Membership.from_state(peer.state)
