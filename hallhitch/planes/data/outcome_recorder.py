"""Updates endpoint health, latency estimates and slow start from the outcomes of attempts."""

from __future__ import annotations

from random import Random
from typing import Final

from hallhitch.planes.data.endpoint import EndpointAttempt
from hallhitch.planes.data.endpoint_set import EndpointSet
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.data.outlier_detection import RESTART_SUSPECTED_AFTER_MS
from hallhitch.planes.data.request_state import RequestState
from hallhitch.planes.data.slow_start import SlowStart
from hallhitch.planes.values import Route

# Share of a service's endpoints in this region that failed recently; above it this gateway's own network is at fault.
LOCAL_FAULT_RATIO: Final = 0.5
LOCAL_FAULT_WINDOW_MS: Final = 2.0 * RESTART_SUSPECTED_AFTER_MS
# Ejections and backoffs are multiplied by a random factor from 0.8 to 1.2, so that gateways do not all test a backend
# at the same time.
MIN_JITTER: Final = 0.8
JITTER_RANGE: Final = 0.4


class OutcomeRecorder:
    """Records the outcomes of attempts in endpoint health, latency estimates and slow start."""

    def __init__(self, slow_start: SlowStart, endpoint_list_lag_ms: float, rng: Random) -> None:
        self._slow_start = slow_start
        self._endpoint_list_lag_ms = endpoint_list_lag_ms
        self._rng = rng

    def record(
        self,
        now: float,
        state: RequestState,
        attempt: EndpointAttempt,
        endpoints: EndpointSet | None,
        outcome: Outcome,
        latency_ms: float,
    ) -> None:
        """Record one outcome; `endpoints` is the service's endpoint set, None if the service no longer exists."""
        if outcome is Outcome.ABANDONED:
            _forget_send(attempt)
            return
        endpoint, route = attempt.endpoint, state.request.route
        jitter = MIN_JITTER + JITTER_RANGE * self._rng.random()
        if outcome not in (Outcome.CANCELLED, Outcome.TIMED_OUT, Outcome.UNREACHABLE):
            endpoint.zone_unanswered_sends.clear()
        if outcome in (Outcome.OK, Outcome.SERVER_ERROR):
            self._record_recovery(now, attempt, endpoints)
            if endpoints is not None and outcome is Outcome.OK:
                _record_latency(now, route, attempt, endpoints, latency_ms)
        elif outcome is Outcome.DECLINED:
            endpoint.health.record_overload(now, jitter)
        elif outcome is Outcome.CANCELLED:
            if not state.is_finished and now - attempt.started_at_ms >= attempt.hedge_delay_ms:
                # No connection was established within the hedge delay, so the backend counts as unresponsive.
                endpoint.health.record_failure(now, Outcome.TIMED_OUT, jitter)
        else:
            endpoint.health.record_failure(now, outcome, jitter)
            if outcome is Outcome.TIMED_OUT and endpoints is not None and route.is_idempotent:
                endpoints.latency.record_hedge_delay(is_exceeded=True)

    def _record_recovery(self, now: float, attempt: EndpointAttempt, endpoints: EndpointSet | None) -> None:
        endpoint = attempt.endpoint
        outage_ms = endpoint.health.record_success(now, attempt.started_at_ms)
        endpoint.unanswered_sends.clear()
        if outage_ms < RESTART_SUSPECTED_AFTER_MS or endpoints is None or _is_local_fault(now, endpoints):
            return
        # The backend may have been restarted; the endpoint list shows its new slow start only after a delay.
        until_ms = now + 2.0 * self._endpoint_list_lag_ms + RESTART_SUSPECTED_AFTER_MS
        self._slow_start.assume_warming(endpoint.backend.instance, until_ms)


def _forget_send(attempt: EndpointAttempt) -> None:
    """Remove the record of a send that this gateway abandoned, unless its response was already overdue."""
    if not attempt.is_timed_out:
        attempt.endpoint.unanswered_sends.forget(attempt.started_at_ms)
        attempt.endpoint.zone_unanswered_sends.forget(attempt.started_at_ms)


def _record_latency(
    now: float, route: Route, attempt: EndpointAttempt, endpoints: EndpointSet, latency_ms: float
) -> None:
    average = endpoints.latency.for_route(route.name, route.latency_target_ms)
    attempt.endpoint.latency_ratio.observe(now, latency_ms / max(average.mean_ms, 1.0))
    endpoints.latency.observe(average, latency_ms)
    if route.is_idempotent and not attempt.is_timed_out:
        endpoints.latency.record_hedge_delay(is_exceeded=False)


def _is_local_fault(now: float, endpoints: EndpointSet) -> bool:
    """Return whether so many endpoints of the region failed recently that this gateway's own network is at fault."""
    in_region = endpoints.primary + endpoints.secondary
    failed = sum(1 for e in in_region if e.health.last_failure_ms > now - LOCAL_FAULT_WINDOW_MS)
    return failed > LOCAL_FAULT_RATIO * len(in_region) > 0
