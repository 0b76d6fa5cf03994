"""Which gateways there are, by leases, and which version of the catalogue each has applied. No I/O, no clock.

A gateway renews its lease by telling what it holds; each start of one is an instance with an id of its own, drawn by
it. A gateway whose lease ran out goes on serving what it holds: it is only no longer counted. Times are ms of a clock
that does not step (leases are durations, not dates).
"""

from __future__ import annotations

from msgspec import Struct

LEASE_MS = 15_000.0  # ms that a renewal lasts
MAX_GATEWAYS = 2_000  # gateways counted at a time; more are served the feed and not counted
NAME_RETENTION_MS = 10 * LEASE_MS  # ms past its lease after which a gateway's name is forgotten

Version = tuple[int, int]  # epoch and version


class Gateway(Struct, frozen=True):
    """One gateway as it is counted."""

    name: str
    instance: str
    version: Version
    lease_ends_ms: float  # of its lease
    since_ms: float  # when this instance came


class Progress(Struct, frozen=True):
    """How far a version has come: applied by so many of the gateways that are counted."""

    applied: int
    counted: int

    @property
    def state(self) -> str:
        """pending: nobody has it; partial; complete: all that are counted. With no gateway at all it is pending."""
        if not self.applied:
            return "pending"
        return "complete" if self.applied == self.counted else "partial"


class GatewayNameTaken(Exception):
    """Another instance of this name holds the lease; the text says until when it does."""


class GatewayLeases:
    """All leases, in memory: a control plane that starts again learns them anew within one lease."""

    def __init__(self) -> None:
        self._gateways: dict[str, Gateway] = {}

    def renew(self, name: str, instance: str, holds: Version, now: float) -> bool:
        """A gateway says that it is there and what it holds; False where there are too many to count one more.

        Taken where another instance of the name renewed within its lease: two processes under one name would each be
        taken for the other. After a crash the new instance waits no longer than what is left of the lease.
        """
        was = self._gateways.get(name)
        if was is not None and was.instance != instance and was.lease_ends_ms > now:
            raise GatewayNameTaken(f"{name} is another instance's for {was.lease_ends_ms - now:.0f} ms")
        if was is None and len(self._gateways) >= MAX_GATEWAYS and not self._evict(now):
            return False
        since = was.since_ms if was is not None and was.instance == instance else now
        self._gateways[name] = Gateway(name, instance, holds, now + LEASE_MS, since)
        return True

    def release(self, name: str, instance: str) -> bool:
        """A gateway ends and says so: its name is free at once. False where the lease is not its own."""
        was = self._gateways.get(name)
        if was is None or was.instance != instance:
            return False
        del self._gateways[name]
        return True

    def active(self, now: float) -> list[Gateway]:
        """The gateways whose lease runs, by name."""
        return sorted((g for g in self._gateways.values() if g.lease_ends_ms > now), key=lambda g: g.name)

    def expired(self, now: float) -> list[Gateway]:
        """Those whose lease ran out not long ago, by name."""
        return sorted(
            (g for g in self._gateways.values() if g.lease_ends_ms <= now < g.lease_ends_ms + NAME_RETENTION_MS),
            key=lambda g: g.name,
        )

    def progress(self, version: Version, now: float) -> Progress:
        """How far a version has come. One of a later epoch has whatever of the earlier was kept."""
        counted = self.active(now)
        return Progress(sum(g.version >= version for g in counted), len(counted))

    def _evict(self, now: float) -> bool:
        """Drop names long past their lease, and if none is, those whose lease ran out longest ago."""
        gone = [g.name for g in self._gateways.values() if g.lease_ends_ms + NAME_RETENTION_MS <= now]
        if not gone:
            gone = [
                g.name for g in sorted(self._gateways.values(), key=lambda g: g.lease_ends_ms) if g.lease_ends_ms <= now
            ][:1]
        for name in gone:
            del self._gateways[name]
        return bool(gone)
