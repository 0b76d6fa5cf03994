"""The endpoint list, the platform's list of backends: when to read it and how to merge a new one.

The module performs no I/O and reads no clock. Any coordinator may read the list, so reading requires no lease.
Normally only the first of the live coordinators in a rendezvous order reads it (highest random weight hashing, Thaler
and Ravishankar 1996). The next ones in the order take over one by one as the latest list that they know gets older.

Invariants:
- A list replaces any list that was read earlier. Several simultaneous readers cost only additional calls.
- A backend that was listed as draining stays draining, even if it was temporarily absent from the list.
"""

from __future__ import annotations

import hashlib
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Final

from hallhitch.planes.values import Backend

# Difference within which two end times of a slow start count as equal. The list contains the remaining duration, so the
# computed end varies from one read to the next.
SLOW_START_TOLERANCE_MS: Final = 400.0
# How much longer each rank waits than the one before, as a ratio of the read interval. Coordinators learn of each read
# at once, so this covers the read itself and a round trip between regions.
READER_STAGGER_RATIO: Final = 0.4
# Later ranks wait no longer than this one, so that the wait is bounded for any number of coordinators.
MAX_STAGGERED_RANK: Final = 3


@dataclass(frozen=True, slots=True)
class ListedBackend:
    """One entry of the endpoint list."""

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    warming_until_ms: float  # by the monotonic clock of the process that holds this value; 0 = warm
    is_idempotent_only: bool = False  # a part of its row cannot be read: no request that may run once goes there

    def to_backend(self, region: str) -> Backend:
        """Convert the entry to the type that the other planes use, given the region of its zone."""
        return Backend(
            instance=self.instance,
            service=self.service,
            host=self.host,
            port=self.port,
            zone=self.zone,
            region=region,
            slots=self.slots,
            is_draining=self.is_draining,
            warming_until_ms=self.warming_until_ms,
            is_idempotent_only=self.is_idempotent_only,
        )


def reconcile_list(
    known: Mapping[str, ListedBackend], latest: Iterable[ListedBackend], drained: Container[str] = ()
) -> dict[str, ListedBackend]:
    """Return the latest list by instance, reconciled with the list known before.

    The end of a slow start changes only if it moves by more than the tolerance. A backend stays draining if it was
    draining in `known`, or if it is in `drained` because it was draining before it was absent: one page of the platform
    may lag behind another, and the list may contain a backend twice.
    """
    reconciled: dict[str, ListedBackend] = {}
    for backend in latest:
        previous = known.get(backend.instance)
        if previous is not None and _is_same_slow_start(backend, previous):
            backend = replace(backend, warming_until_ms=previous.warming_until_ms)
        listed = reconciled.get(backend.instance, previous)
        was_draining = backend.instance in drained or (listed is not None and listed.is_draining)
        if was_draining and not backend.is_draining:
            backend = replace(backend, is_draining=True)
        reconciled[backend.instance] = backend
    return reconciled


def _is_same_slow_start(backend: ListedBackend, previous: ListedBackend) -> bool:
    if not backend.warming_until_ms:
        return False
    return abs(backend.warming_until_ms - previous.warming_until_ms) < SLOW_START_TOLERANCE_MS


def reader_rank(address: str, live: Sequence[str]) -> int:
    """Return the rank, from 0, of the coordinator at `address` among the `live` ones in the order of readers."""
    order = sorted({address, *live}, key=lambda name: hashlib.sha256(b"list " + name.encode()).digest())
    return order.index(address)


def is_read_due(list_age_ms: float, rank: int, interval_ms: float, read_duration_ms: float = 0.0) -> bool:
    """Return whether a coordinator of this rank has to read the list, given the age of the latest one it knows.

    All ranks but the first also wait for the time that a read takes, so that a long list is not read twice.
    """
    if rank == 0:
        return list_age_ms >= interval_ms
    stagger = READER_STAGGER_RATIO * min(rank, MAX_STAGGERED_RANK)
    return list_age_ms >= interval_ms * (1 + stagger) + read_duration_ms
