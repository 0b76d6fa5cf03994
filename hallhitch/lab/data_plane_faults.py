"""Faults of the data plane's model: one simulated process for each scheduled fault."""
# simpy's processes, events and resources are not typed for strict checking.
# mypy: disable-error-code="no-untyped-call"

from __future__ import annotations

from hallhitch.lab.data_plane_cases import Fault, ScheduledFault
from hallhitch.lab.data_plane_cluster import Failure, ModelBackend, ModelCluster, SimProcess

FAULTY_ZONE = "z1"
REPLACE_AFTER_MS = 4000.0  # new backends in place of failed ones
REPLACE_ZONE_AFTER_MS = 4500.0
PARTITION_MS = 4000.0
EVACUATION_MS = 7000.0
RELEASE_PERCENT, RELEASE_INTERVAL_MS = 45, 600.0
DRAIN_MS = 3500.0


class FaultInjector:
    """Inject the faults of a case into its cluster."""

    def __init__(self, cluster: ModelCluster) -> None:
        self._cluster = cluster

    def inject(self, scheduled: ScheduledFault) -> SimProcess:
        """Run one fault from its begin to its end."""
        cluster = self._cluster
        yield cluster.env.timeout(scheduled.at_ms)
        live = [backend for backend in cluster.backends.values() if backend.failure is None]
        in_zone = [backend for backend in live if backend.entry.zone == FAULTY_ZONE]
        match scheduled.fault:
            case Fault.CRASH:
                yield from self._fail_and_replace(self._seventh(live), Failure.CRASHED, REPLACE_AFTER_MS)
            case Fault.BLACKHOLE:
                yield from self._fail_and_replace(self._seventh(live), Failure.UNRESPONSIVE, REPLACE_AFTER_MS)
            case Fault.ZONE_OUTAGE:
                yield from self._fail_and_replace(in_zone, Failure.UNRESPONSIVE, REPLACE_ZONE_AFTER_MS)
            case Fault.ZONE_PARTITION:
                yield from self._partition(in_zone)
            case Fault.COLD_START:
                for backend in live:
                    backend.cold_until_ms = self._warm_at_ms()
            case Fault.ROLLING_RELEASE:
                yield from self._release(live)
            case Fault.EVACUATION:
                yield from self._evacuate()

    def _warm_at_ms(self) -> float:
        """When a backend that starts now is warm."""
        return self._cluster.now() + self._cluster.case.slow_start_ms

    def _seventh(self, live: list[ModelBackend]) -> list[ModelBackend]:
        return self._cluster.rng.sample(live, max(1, len(live) // 7))

    def _fail_and_replace(self, backends: list[ModelBackend], failure: Failure, replace_after_ms: float) -> SimProcess:
        for backend in backends:
            self._cluster.fail_backend(backend, failure)
        yield self._cluster.env.timeout(replace_after_ms)
        for backend in backends:
            self._cluster.start_backend(backend.entry.service, backend.entry.zone, self._warm_at_ms())

    def _partition(self, backends: list[ModelBackend]) -> SimProcess:
        for backend in backends:
            self._cluster.fail_backend(backend, Failure.UNRESPONSIVE)
        yield self._cluster.env.timeout(PARTITION_MS)
        for backend in backends:
            backend.failure = None
            backend.cold_until_ms = self._warm_at_ms()

    def _release(self, live: list[ModelBackend]) -> SimProcess:
        cluster = self._cluster
        for backend in cluster.rng.sample(live, len(live) * RELEASE_PERCENT // 100):
            backend.is_draining = True
            cluster.start_backend(backend.entry.service, backend.entry.zone, self._warm_at_ms())
            cluster.env.process(self._stop_drained(backend))
            yield cluster.env.timeout(RELEASE_INTERVAL_MS)

    def _stop_drained(self, backend: ModelBackend) -> SimProcess:
        yield self._cluster.env.timeout(DRAIN_MS)
        self._cluster.fail_backend(backend, Failure.CRASHED)

    def _evacuate(self) -> SimProcess:
        cluster = self._cluster
        cluster.evacuated_zones = frozenset({FAULTY_ZONE})
        yield cluster.env.timeout(EVACUATION_MS)
        for backend in cluster.backends.values():
            if backend.entry.zone == FAULTY_ZONE and backend.failure is None:
                backend.cold_until_ms = self._warm_at_ms()
        cluster.evacuated_zones = frozenset()
