"""What a gateway knows about the coordinators that vote on its leases: their incarnations and gateway counts."""

from __future__ import annotations

from hallhitch.planes.values import LeaseMembership


class CoordinatorView:
    """The state of the coordinators, as learned from their responses."""

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}
        self._gateway_counts: dict[str, int] = {}
        self._gateways_seen = 0

    @property
    def gateways_seen(self) -> int:
        """How many gateways may exist according to a quorum of coordinators; 0 = not known."""
        return self._gateways_seen

    def incarnation(self, coordinator: str) -> int:
        """Return a coordinator's incarnation; 0 while it is not known."""
        return self._incarnations.get(coordinator, 0)

    def set_incarnation(self, coordinator: str, incarnation: int) -> bool:
        """Record a coordinator's incarnation; return whether it has changed."""
        is_changed = self._incarnations.get(coordinator) != incarnation
        self._incarnations[coordinator] = incarnation
        return is_changed

    def set_gateway_count(self, coordinator: str, count: int, membership: LeaseMembership) -> None:
        """Record how many gateways a coordinator has seen; 0 if it does not know."""
        if count:
            self._gateway_counts[coordinator] = count
        if membership.has_quorum(self._gateway_counts):
            self._gateways_seen = max(self._gateway_counts.values())

    def set_membership(self, membership: LeaseMembership) -> None:
        """Drop the counts reported by coordinators that are no longer voters."""
        voters = membership.voters
        self._gateway_counts = {name: count for name, count in self._gateway_counts.items() if name in voters}
