"""Leases of the gateways that follow the catalog, and the version that each has applied. No I/O, no clock.

A gateway renews its lease with each request for updates, which says the version it holds. Each start of a gateway is
an instance with an id of its own, drawn by it. A gateway whose lease expired goes on serving what it holds; it is only
no longer counted. Times are ms of a monotonic clock (leases are durations, not dates).
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from hallhitch.catalog.errors import GatewayNameTaken

LEASE_MS: Final = 15_000.0  # a renewal lasts as long: three of a gateway's requests, which wait 5 s each
MAX_GATEWAYS: Final = 2_000  # counted at a time; more are served the feed and not counted
NAME_RETENTION_MS: Final = 10 * LEASE_MS  # past its lease, after which a gateway's name is forgotten

Version = tuple[int, int]  # epoch and version


class Gateway(Struct, frozen=True):
    """One gateway's lease."""

    name: str
    instance: str
    version: Version  # applied
    lease_ends_ms: float
    since_ms: float  # when this instance came


class Progress(Struct, frozen=True):
    """Roll-out of a version: applied by so many of the gateways with a lease."""

    applied: int
    counted: int

    @property
    def state(self) -> str:
        """Return `pending` (no gateway has it, or there is none), `partial` or `complete` (all have it)."""
        if not self.applied:
            return "pending"
        return "complete" if self.applied == self.counted else "partial"


class GatewayLeases:
    """All leases, in memory: a service that starts again learns them within one lease."""

    def __init__(self) -> None:
        self._gateways: dict[str, Gateway] = {}

    def renew(self, name: str, instance: str, version: Version, now_ms: float) -> bool:
        """Renew a lease and record the version that the gateway holds; False where there are too many to count.

        After a crash the new instance waits no longer than what is left of the old one's lease.

        Raises:
            GatewayNameTaken: Another instance of the name holds the lease: two processes under one name would each
                be taken for the other.
        """
        held = self._gateways.get(name)
        if held is not None and held.instance != instance and held.lease_ends_ms > now_ms:
            raise GatewayNameTaken(name, held.lease_ends_ms - now_ms)
        if held is None and len(self._gateways) >= MAX_GATEWAYS and not self._evict(now_ms):
            return False
        is_same_instance = held is not None and held.instance == instance
        since_ms = held.since_ms if held is not None and is_same_instance else now_ms
        self._gateways[name] = Gateway(name, instance, version, now_ms + LEASE_MS, since_ms)
        return True

    def release(self, name: str, instance: str) -> bool:
        """Release a lease, so that the name is free at once; False where the instance does not hold it."""
        held = self._gateways.get(name)
        if held is None or held.instance != instance:
            return False
        del self._gateways[name]
        return True

    def active(self, now_ms: float) -> list[Gateway]:
        """Return the gateways with a lease, by name."""
        active = [gateway for gateway in self._gateways.values() if gateway.lease_ends_ms > now_ms]
        return sorted(active, key=lambda gateway: gateway.name)

    def expired(self, now_ms: float) -> list[Gateway]:
        """Return the gateways whose lease expired not long ago, by name."""
        expired = [
            gateway
            for gateway in self._gateways.values()
            if gateway.lease_ends_ms <= now_ms < gateway.lease_ends_ms + NAME_RETENTION_MS
        ]
        return sorted(expired, key=lambda gateway: gateway.name)

    def progress(self, version: Version, now_ms: float) -> Progress:
        """Return a version's roll-out; a gateway at a later epoch has all of the earlier one that was kept."""
        active = self.active(now_ms)
        return Progress(sum(gateway.version >= version for gateway in active), len(active))

    def _evict(self, now_ms: float) -> bool:
        """Forget names long past their lease or, if there is none, the one whose lease expired longest ago."""
        evicted = [
            gateway.name for gateway in self._gateways.values() if gateway.lease_ends_ms + NAME_RETENTION_MS <= now_ms
        ]
        if not evicted:
            by_end = sorted(self._gateways.values(), key=lambda gateway: gateway.lease_ends_ms)
            evicted = [gateway.name for gateway in by_end if gateway.lease_ends_ms <= now_ms][:1]
        for name in evicted:
            del self._gateways[name]
        return bool(evicted)
