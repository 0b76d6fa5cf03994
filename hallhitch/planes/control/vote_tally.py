"""The count of votes in one phase of a ballot.

Invariant: a vote counts only if no vote in the tally knows of a newer incarnation of its voter. `acceptor_state`
explains why.
"""

from __future__ import annotations

from collections.abc import Mapping

from hallhitch.planes.control.membership import QuorumSets, has_majority_of_each


class VoteTally:
    """The votes of one phase, which needs a majority of each quorum set."""

    def __init__(self, quorum_sets: QuorumSets) -> None:
        self.quorum_sets = quorum_sets
        self.refusals: set[str] = set()
        self._granted: dict[str, dict[str, int]] = {}  # by voter: the incarnations that its vote carried

    def add(self, member: str, is_granted: bool, incarnations: Mapping[str, int]) -> None:
        """Count the answer of a member; `incarnations` are those that the member knows, by address."""
        if is_granted:
            self._granted[member] = dict(incarnations)
        else:
            self.refusals.add(member)

    def valid_votes(self) -> set[str]:
        """Return the members whose vote is granted and not void."""
        return {
            member
            for member, incarnations in self._granted.items()
            if all(known.get(member, 0) <= incarnations.get(member, 0) for known in self._granted.values())
        }

    def has_quorum(self) -> bool:
        """Return whether the valid votes are a majority of each set."""
        return has_majority_of_each(self.quorum_sets, self.valid_votes())

    def is_quorum_impossible(self) -> bool:
        """Return whether so many members have refused that no quorum can be reached."""
        refused = self.refusals - self._granted.keys()
        return not has_majority_of_each(self.quorum_sets, frozenset().union(*self.quorum_sets) - refused)
