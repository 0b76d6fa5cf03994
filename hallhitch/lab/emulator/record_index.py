"""Indexes over the records of a run that several rules share."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from functools import lru_cache
from typing import Final, NamedTuple

from hallhitch.lab.emulator.config_semantics import NON_IDEMPOTENT, find_route, sent_configs
from hallhitch.lab.emulator.records import BackendArrival, ClientAttempt, Records

LOOKUP_CACHE_SIZE: Final = 4096  # entries; a run repeats the same paths and keys many times


def attempts_by_id(records: Records) -> dict[str, ClientAttempt]:
    """Return all attempts by request id."""
    return {attempt.id: attempt for attempt in records.attempts}


def arrivals_by_id(records: Records) -> dict[str, list[BackendArrival]]:
    """Return all arrivals at backends, by request id."""
    arrivals: dict[str, list[BackendArrival]] = defaultdict(list)
    for arrival in records.arrivals:
        arrivals[arrival.id].append(arrival)
    return arrivals


def executions_by_id(records: Records) -> dict[str, list[BackendArrival]]:
    """Return the arrivals that a backend began to execute, by request id."""
    executions: dict[str, list[BackendArrival]] = defaultdict(list)
    for arrival in records.arrivals:
        if arrival.started_at_ms is not None:
            executions[arrival.id].append(arrival)
    return executions


def non_idempotent_ids(records: Records) -> set[str]:
    """Return the ids of requests that must run at most once: some configuration marks their route as non-idempotent."""
    configs = sent_configs(records.operations).documents()

    @lru_cache(LOOKUP_CACHE_SIZE)
    def is_non_idempotent(host: str, path: str) -> bool:
        routes = (find_route(config, host, path) for config in configs)
        return any(route is not None and route.document["routeKind"] == NON_IDEMPOTENT for route in routes)

    return {attempt.id for attempt in records.attempts if is_non_idempotent(attempt.host, attempt.path)}


class Transit(NamedTuple):
    """When a request was sent by its client, and when it arrived at a backend."""

    sent_at_ms: float
    arrived_at_ms: float


class WindowCount(NamedTuple):
    """The number of requests that were both sent and received in the window that ends at `ends_at_ms`."""

    ends_at_ms: float
    requests: int


def count_in_sliding_windows(transits: list[Transit], window_ms: float) -> Iterator[WindowCount]:
    """Yield, for each arrival, the count of the window that ends with it.

    Requests that were sent before the window are not counted: a delay on the way may have moved them into it.
    """
    transits = sorted(transits, key=lambda transit: transit.arrived_at_ms)
    first = 0
    for index, (_, ends_at_ms) in enumerate(transits):
        begins_at_ms = ends_at_ms - window_ms
        while transits[first].arrived_at_ms < begins_at_ms:
            first += 1
        count = sum(1 for transit in transits[first : index + 1] if transit.sent_at_ms >= begins_at_ms)
        yield WindowCount(ends_at_ms, count)
