"""The leases that a gateway holds. Owns when each ends by this gateway's own clock.

Invariants:
- A lease runs while a quorum's votes for it run, each from the moment its claim was *sent*; after a change of
  membership it also runs for as long as it did before the change.
- A vote on a claim that was sent before the lease began prolongs nothing (`first_renewal`).

Times are steady ms of this process.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from hallhitch.planes.quota.limits import BUCKET_COUNT
from hallhitch.planes.values import LeaseMembership

NOT_HELD: Final = 0.0  # an expiry in the past: a steady clock is past 0
NEVER: Final = float("-inf")


@dataclass(slots=True)
class HeldLease:
    """A lease on one bucket: the moment at which each coordinator's vote expires, and which claims renew it."""

    first_renewal: int  # sequence number of the first claim that renews it
    vote_expiries: dict[str, float]
    acquired_at: float
    guaranteed_until: float = 0.0  # its end when the membership last changed

    def renew(self, coordinator: str, expires_at: float) -> None:
        """Prolong the vote of one coordinator."""
        self.vote_expiries[coordinator] = max(self.vote_expiries.get(coordinator, 0.0), expires_at)

    def expiry(self, membership: LeaseMembership) -> float:
        """Return the moment until which a quorum's votes run."""
        expiries = [self._majority_expiry(quorum_set) for quorum_set in membership.quorum_sets]
        return max(min(expiries, default=0.0), self.guaranteed_until)

    def _majority_expiry(self, quorum_set: frozenset[str]) -> float:
        expiries = sorted((self.vote_expiries[name] for name in quorum_set & self.vote_expiries.keys()), reverse=True)
        others_needed = len(quorum_set) // 2
        return expiries[others_needed] if len(expiries) > others_needed else 0.0


class HeldLeases:
    """The running leases of one gateway by bucket, and when it last held each bucket."""

    def __init__(self) -> None:
        self._leases: dict[int, HeldLease] = {}
        self._expires_at = [NOT_HELD] * BUCKET_COUNT
        self._last_ended_at = [NEVER] * BUCKET_COUNT

    def __contains__(self, bucket: int) -> bool:
        return bucket in self._leases

    def __iter__(self) -> Iterator[int]:
        return iter(self._leases)

    def is_running(self, now: float, bucket: int) -> bool:
        """Return whether the lease on a bucket is held and has not expired."""
        return now < self._expires_at[bucket]

    def running(self, now: float) -> list[int]:
        """Return the buckets whose lease has not expired."""
        return [bucket for bucket in self._leases if now < self._expires_at[bucket]]

    def expired(self, now: float) -> list[int]:
        """Return the buckets whose lease has expired and was not removed yet."""
        return [bucket for bucket in self._leases if now >= self._expires_at[bucket]]

    def get(self, bucket: int) -> HeldLease | None:
        """Return the lease on a bucket, None where none is held."""
        return self._leases.get(bucket)

    def items(self) -> list[tuple[int, HeldLease]]:
        """Return the buckets with their leases, in the order in which they were acquired."""
        return [*self._leases.items()]

    def last_ended_at(self, bucket: int) -> float:
        """Return when the last lease on a bucket ended, `NEVER` where there was none."""
        return self._last_ended_at[bucket]

    def has_ended_within(self, now: float, bucket: int, window_ms: float) -> bool:
        """Return whether an earlier lease may have counted units that still lie in a window."""
        return now - self._last_ended_at[bucket] < window_ms

    def add(self, bucket: int, lease: HeldLease, membership: LeaseMembership) -> None:
        """Add a lease that has begun."""
        self._leases[bucket] = lease
        self.recompute_expiry(bucket, lease, membership)

    def recompute_expiry(self, bucket: int, lease: HeldLease, membership: LeaseMembership) -> None:
        """Derive a lease's end from its votes anew."""
        self._expires_at[bucket] = lease.expiry(membership)

    def remove(self, now: float, bucket: int) -> None:
        """End a lease, at its expiry if that has passed, else now."""
        del self._leases[bucket]
        expires_at = self._expires_at[bucket]
        self._last_ended_at[bucket] = min(now, expires_at) if expires_at else now
        self._expires_at[bucket] = NOT_HELD

    def set_membership(self, membership: LeaseMembership) -> None:
        """Count votes by another membership from now on; no lease ends sooner by that."""
        for bucket, lease in self._leases.items():
            lease.guaranteed_until = self._expires_at[bucket]
            self.recompute_expiry(bucket, lease, membership)
