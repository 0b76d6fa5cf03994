"""Leases of the gateways that follow the catalog, and the version that each has applied. No I/O, no clock.

A gateway renews its lease with each request for updates, which contains its current version. At each start a gateway
draws a new instance id. A gateway whose lease expired keeps serving its catalog; it is only no longer counted. Times
are in ms of a monotonic clock, since leases are durations and not dates.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from hallhitch.catalog.errors import GatewayNameTaken

LEASE_MS: Final = 15_000.0  # from a renewal: three requests of a gateway, which wait for 5 s each
MAX_GATEWAYS: Final = 2_000  # counted at a time; further gateways get the feed but are not counted
NAME_RETENTION_MS: Final = 10 * LEASE_MS  # from the end of a lease until the name may be evicted

Version = tuple[int, int]  # epoch and version


class Gateway(Struct, frozen=True):
    """One gateway's lease."""

    name: str
    instance: str
    version: Version  # last one applied
    lease_ends_ms: float
    since_ms: float  # first renewal by this instance


class Progress(Struct, frozen=True):
    """Roll-out of a version: `applied` of the `counted` gateways with a lease have it."""

    applied: int
    counted: int

    @property
    def state(self) -> str:
        """Return `pending` (no gateway applied it, or there are none), `partial`, or `complete` (all applied it)."""
        if not self.applied:
            return "pending"
        return "complete" if self.applied == self.counted else "partial"


class GatewayLeases:
    """All leases, in memory only: after a restart, gateways renew them within one lease."""

    def __init__(self) -> None:
        self._gateways: dict[str, Gateway] = {}

    def renew(self, name: str, instance: str, version: Version, now_ms: float) -> bool:
        """Renew a lease and record the gateway's version; return False if too many gateways are counted already.

        After a crash the new instance waits no longer than the rest of the previous instance's lease.

        Raises:
            GatewayNameTaken: Another instance holds the lease of the name; two processes with one name would be
                mistaken for each other.
        """
        current = self._gateways.get(name)
        if current is not None and current.instance != instance and current.lease_ends_ms > now_ms:
            raise GatewayNameTaken(name, current.lease_ends_ms - now_ms)
        if current is None and len(self._gateways) >= MAX_GATEWAYS and not self._evict(now_ms):
            return False
        is_same_instance = current is not None and current.instance == instance
        since_ms = current.since_ms if current is not None and is_same_instance else now_ms
        self._gateways[name] = Gateway(name, instance, version, now_ms + LEASE_MS, since_ms)
        return True

    def release(self, name: str, instance: str) -> bool:
        """Release a lease, so that the name is free at once; return False if the instance does not hold it."""
        current = self._gateways.get(name)
        if current is None or current.instance != instance:
            return False
        del self._gateways[name]
        return True

    def active(self, now_ms: float) -> list[Gateway]:
        """Return the gateways with a valid lease, sorted by name."""
        active = [gateway for gateway in self._gateways.values() if gateway.lease_ends_ms > now_ms]
        return sorted(active, key=lambda gateway: gateway.name)

    def expired(self, now_ms: float) -> list[Gateway]:
        """Return the gateways whose lease expired within NAME_RETENTION_MS, sorted by name."""
        expired = [
            gateway
            for gateway in self._gateways.values()
            if gateway.lease_ends_ms <= now_ms < gateway.lease_ends_ms + NAME_RETENTION_MS
        ]
        return sorted(expired, key=lambda gateway: gateway.name)

    def progress(self, version: Version, now_ms: float) -> Progress:
        """Return the roll-out of a version; a later epoch contains all that was kept of an earlier one."""
        active = self.active(now_ms)
        return Progress(sum(gateway.version >= version for gateway in active), len(active))

    def _evict(self, now_ms: float) -> bool:
        """Remove names past their retention or, if there are none, the name whose lease expired first."""
        evicted = [
            gateway.name for gateway in self._gateways.values() if gateway.lease_ends_ms + NAME_RETENTION_MS <= now_ms
        ]
        if not evicted:
            by_end = sorted(self._gateways.values(), key=lambda gateway: gateway.lease_ends_ms)
            evicted = [gateway.name for gateway in by_end if gateway.lease_ends_ms <= now_ms][:1]
        for name in evicted:
            del self._gateways[name]
        return bool(evicted)
