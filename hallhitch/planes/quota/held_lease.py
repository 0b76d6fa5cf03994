"""The leases that a gateway holds, and the time at which each ends by this gateway's own clock.

Invariants:
- A lease is valid while a quorum's votes for it are. Each vote is valid from the moment at which its claim was *sent*.
- A change of membership does not shorten a lease: it stays valid at least as long as it would have been before.
- A vote on a claim that was sent before the lease began does not extend the lease (`first_renewal`).

Times are ms of this process's steady clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from hallhitch.planes.quota.limits import BUCKET_COUNT
from hallhitch.planes.values import LeaseMembership

NOT_HELD: Final = 0.0  # an expiry in the past, as a steady clock is always greater than 0
NEVER: Final = float("-inf")


@dataclass(slots=True)
class HeldLease:
    """A lease on one bucket: when each coordinator's vote expires, and which claims may renew the lease."""

    first_renewal: int  # sequence number of the first claim that may renew the lease
    vote_expiries: dict[str, float]
    acquired_at: float
    guaranteed_until: float = 0.0  # the lease's expiry when the membership last changed

    def renew(self, coordinator: str, expires_at: float) -> None:
        """Extend the vote of one coordinator."""
        self.vote_expiries[coordinator] = max(self.vote_expiries.get(coordinator, 0.0), expires_at)

    def expiry(self, membership: LeaseMembership) -> float:
        """Return the time until which a quorum's votes are valid."""
        expiries = [self._majority_expiry(quorum_set) for quorum_set in membership.quorum_sets]
        return max(min(expiries, default=0.0), self.guaranteed_until)

    def _majority_expiry(self, quorum_set: frozenset[str]) -> float:
        expiries = sorted((self.vote_expiries[name] for name in quorum_set & self.vote_expiries.keys()), reverse=True)
        others_needed = len(quorum_set) // 2
        return expiries[others_needed] if len(expiries) > others_needed else 0.0


class HeldLeases:
    """The valid leases of one gateway by bucket, and when its last lease on each bucket ended."""

    def __init__(self) -> None:
        self._leases: dict[int, HeldLease] = {}
        self._expires_at = [NOT_HELD] * BUCKET_COUNT
        self._last_ended_at = [NEVER] * BUCKET_COUNT

    def __contains__(self, bucket: int) -> bool:
        return bucket in self._leases

    def __iter__(self) -> Iterator[int]:
        return iter(self._leases)

    def is_valid(self, now: float, bucket: int) -> bool:
        """Return whether the lease on a bucket is held and has not expired."""
        return now < self._expires_at[bucket]

    def valid_buckets(self, now: float) -> list[int]:
        """Return the buckets whose lease has not expired."""
        return [bucket for bucket in self._leases if now < self._expires_at[bucket]]

    def expired_buckets(self, now: float) -> list[int]:
        """Return the buckets whose lease has expired and has not been removed yet."""
        return [bucket for bucket in self._leases if now >= self._expires_at[bucket]]

    def get(self, bucket: int) -> HeldLease | None:
        """Return the lease on a bucket; None if none is held."""
        return self._leases.get(bucket)

    def items(self) -> list[tuple[int, HeldLease]]:
        """Return the buckets with their leases, in order of acquisition."""
        return [*self._leases.items()]

    def last_ended_at(self, bucket: int) -> float:
        """Return when the last lease on a bucket ended; `NEVER` if there was none."""
        return self._last_ended_at[bucket]

    def has_ended_within(self, now: float, bucket: int, window_ms: float) -> bool:
        """Return whether units counted under an earlier lease may still be within a window."""
        return now - self._last_ended_at[bucket] < window_ms

    def add(self, bucket: int, lease: HeldLease, membership: LeaseMembership) -> None:
        """Add a lease that has begun."""
        self._leases[bucket] = lease
        self.recompute_expiry(bucket, lease, membership)

    def recompute_expiry(self, bucket: int, lease: HeldLease, membership: LeaseMembership) -> None:
        """Recompute a lease's expiry from its votes."""
        self._expires_at[bucket] = lease.expiry(membership)

    def remove(self, now: float, bucket: int) -> None:
        """End a lease: now, or at its expiry if that has already passed."""
        del self._leases[bucket]
        expires_at = self._expires_at[bucket]
        self._last_ended_at[bucket] = min(now, expires_at) if expires_at else now
        self._expires_at[bucket] = NOT_HELD

    def set_membership(self, membership: LeaseMembership) -> None:
        """Count votes by a new membership from now on; this ends no lease earlier."""
        for bucket, lease in self._leases.items():
            lease.guaranteed_until = self._expires_at[bucket]
            self.recompute_expiry(bucket, lease, membership)
