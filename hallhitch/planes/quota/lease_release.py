"""The buckets that a gateway has released, which its next claims announce.

Invariant: every claim of the next lease duration announces a release, so that each coordinator with a vote for this
gateway can receive it. After that time the vote has expired anyway.

Times are ms of this process's steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Release:
    """The release of one bucket.

    `has_counted`: the window may contain units counted by this gateway. `is_usage_complete`: no other gateway can have
    counted since this one last did.
    """

    has_counted: bool
    announced_until: float
    is_usage_complete: bool


class PendingReleases:
    """The releases that coordinators may not have received yet, by bucket."""

    def __init__(self) -> None:
        self._releases: dict[int, Release] = {}

    def add(self, bucket: int, release: Release) -> None:
        """Announce a release in the next claims."""
        self._releases[bucket] = release

    def cancel(self, bucket: int) -> None:
        """Stop announcing the release of a bucket, which is about to be acquired again."""
        self._releases.pop(bucket, None)

    def expire(self, now: float) -> None:
        """Remove the releases that have been announced for long enough."""
        self._releases = {
            bucket: release for bucket, release in self._releases.items() if now < release.announced_until
        }

    def counted(self) -> dict[int, Release]:
        """Return the releases of buckets in which this gateway may have counted within a window."""
        return {bucket: release for bucket, release in self._releases.items() if release.has_counted}

    def uncounted(self) -> list[int]:
        """Return the released buckets in which this gateway counted nothing within a window."""
        return [bucket for bucket, release in self._releases.items() if not release.has_counted]
