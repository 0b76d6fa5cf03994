"""The buckets that a gateway gives up. Owns what its next claims announce of them.

Invariant: a release is announced in every claim of the next lease duration, so that each coordinator that has a vote
for this gateway may receive it; after that its vote has expired anyway.

Times are steady ms of this process.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Release:
    """A bucket that is given up. `has_counted`: units of this gateway may lie in the window.

    `is_usage_complete`: no other gateway may have counted since this one last did.
    """

    has_counted: bool
    announced_until: float
    is_usage_complete: bool


class PendingReleases:
    """The releases that coordinators may not have received yet, by bucket."""

    def __init__(self) -> None:
        self._releases: dict[int, Release] = {}

    def add(self, bucket: int, release: Release) -> None:
        """Announce a release with the claims to come."""
        self._releases[bucket] = release

    def cancel(self, bucket: int) -> None:
        """Stop announcing the release of a bucket, as it is to be acquired again."""
        self._releases.pop(bucket, None)

    def expire(self, now: float) -> None:
        """Remove the releases that were announced for long enough."""
        self._releases = {
            bucket: release for bucket, release in self._releases.items() if now < release.announced_until
        }

    def counted(self) -> dict[int, Release]:
        """Return the releases of buckets that this gateway may have counted in."""
        return {bucket: release for bucket, release in self._releases.items() if release.has_counted}

    def uncounted(self) -> list[int]:
        """Return the released buckets in which this gateway counted nothing within a window."""
        return [bucket for bucket, release in self._releases.items() if not release.has_counted]
