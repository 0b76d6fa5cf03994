"""The load-balancing policy: selects backends, decides on retries and hedged requests, and queues or rejects requests.

The policy performs no I/O and reads no clock: callers pass in the current time and the random number generator. All
times are milliseconds of the monotonic clock.

Invariants:
- No request goes to a backend that is draining, in an evacuated zone or outside the request's allowed regions.
- A non-idempotent request that may have run is never sent again.
- Retries and hedged requests stay within the retry budget of the service.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from hallhitch.planes.data.endpoint import EndpointAttempt
from hallhitch.planes.data.endpoint_set import EndpointSet, SelectionCriteria
from hallhitch.planes.data.endpoint_topology import EndpointTopology, GatewayLocation
from hallhitch.planes.data.interfaces import Action, Enqueue, Fail, Forward, Outcome, Reject, RequestInfo
from hallhitch.planes.data.latency import LatencyAverage
from hallhitch.planes.data.outcome_recorder import OutcomeRecorder
from hallhitch.planes.data.request_state import RequestState
from hallhitch.planes.data.retry_budget import RetryBudget
from hallhitch.planes.data.slow_start import SlowStartBounds
from hallhitch.planes.values import Backend, ClusterConfig, Gateway

# Maximum time from a request's arrival to the end of its wait in the queue, as a multiple of the latency target of its
# route. A rejection counts as early if it reaches the client within 0.25 of the target; the rest is for sending it.
MAX_QUEUE_TIME_RATIO: Final = 0.22
MAX_RETRY_QUEUE_TIME_RATIO: Final = 0.5  # after a backend declined it: too late for an early rejection
MIN_QUEUE_TIME_MS: Final = 1.0  # a shorter wait is not worth a timer
# Interval between capacity checks of a queued request, as a multiple of the route's mean latency.
RECHECK_RATIO: Final = 0.1
MIN_RECHECK_MS: Final = 4.0
MAX_RECHECK_MS: Final = 20.0
# The interval is multiplied by a random factor from 0.75 to 1.25.
MIN_RECHECK_JITTER: Final = 0.75
RECHECK_JITTER_RANGE: Final = 0.5
# Retry-After of a rejection, as a multiple of the latency target. It is drawn at random from this range so that the
# rejected clients do not all retry at the same time.
MIN_RETRY_AFTER_RATIO: Final = 0.6
MAX_RETRY_AFTER_RATIO: Final = 1.1

# Limit on the attempts of one request that reach no backend; they do not count toward the route's attempt limit.
MAX_UNREACHED_ATTEMPTS: Final = 6
# Minimum time to the deadline for another attempt, as a multiple of the fastest recent latency. With less time left,
# no response can arrive before the deadline.
MIN_REMAINING_TIME_RATIO: Final = 0.8


@dataclass(frozen=True, slots=True)
class LoadBalancerSettings:
    """The settings of a gateway that its load balancer uses; the names match the node's settings."""

    name: str
    zone: str
    region: str
    retry_budget_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_budget_slack: float = 0.0
    slow_start_overshoot_ratio: float = 1.0
    slow_start_slack: float = 0.0
    endpoint_list_lag_ms: float = 1000.0  # how far the endpoint list may lag behind the platform


class LoadBalancer:
    """The load-balancing policy of one gateway; implements `interfaces.LoadBalancingPolicy`."""

    def __init__(self, settings: LoadBalancerSettings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        bounds = SlowStartBounds(
            settings.slow_start_overshoot_ratio, settings.slow_start_slack, settings.endpoint_list_lag_ms
        )
        self._topology = EndpointTopology(settings.name, GatewayLocation(settings.zone, settings.region), bounds)
        self._endpoint_sets = self._topology.endpoint_sets
        self._slow_start = self._topology.slow_start
        self._outcomes = OutcomeRecorder(self._slow_start, settings.endpoint_list_lag_ms, rng)
        self._retry_budgets: dict[str, RetryBudget] = {}  # by service

    # Configuration

    def set_backends(self, now: float, entries: Sequence[Backend]) -> None:
        """Replace the list of all backends, including draining ones."""
        self._topology.set_backends(now, entries)

    def set_gateways(self, now: float, entries: Sequence[Gateway]) -> None:
        """Replace the list of all live gateways; this gateway always counts, whether listed or not."""
        self._topology.set_gateways(now, entries)

    def set_config(self, now: float, config: ClusterConfig) -> None:
        """Replace the cluster configuration."""
        self._topology.set_config(now, config)

    # Request life cycle

    def begin_request(self, now: float, request: RequestInfo) -> RequestState:
        """Count an admitted request toward the retry budget and return its initial state."""
        self._retry_budget(now, request.service).record_request(now)
        return RequestState(request)

    def next_action(self, now: float, state: RequestState) -> Action:
        """Return what to do with a request now; it leaves the queue unless it has to wait again."""
        action = self._decide(now, state)
        if not isinstance(action, Enqueue):
            state.leave_queue()
        return action

    def on_attempt_ended(
        self, now: float, state: RequestState, backend: Backend, outcome: Outcome, latency_ms: float
    ) -> None:
        """Record that an attempt has ended, or that it has exceeded its hedge delay (TIMED_OUT)."""
        attempt = state.latest_attempt(backend.instance)
        if attempt is None:
            return
        attempt.may_have_run = attempt.may_have_run or outcome.may_have_run
        if outcome is Outcome.TIMED_OUT and not attempt.is_timed_out:
            attempt.mark_timed_out()
            state.failure_status = 504
        else:
            attempt.release()
        # An attempt cancelled after its time-out, or after the response has arrived, may have reached the backend.
        if not attempt.is_timed_out and not state.is_finished:
            self._refund_if_unsent(now, state, attempt, outcome)
        if not state.is_finished or outcome not in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST):
            # Once the request is finished, this gateway itself may have closed the connection or stopped waiting, so
            # neither outcome says anything about the backend.
            endpoints = self._endpoint_sets.get(backend.service)
            self._outcomes.record(now, state, attempt, endpoints, outcome, latency_ms)

    def finish_request(self, now: float, state: RequestState) -> None:
        """End a request whose client has received the response or has disconnected."""
        state.is_finished = True
        state.leave_queue()

    # Decisions

    def _decide(self, now: float, state: RequestState) -> Action:  # noqa: PLR0911  one return per case
        request = state.request
        route = request.route
        remaining_ms = request.deadline_ms - now
        if not route.is_idempotent and (state.has_in_flight or state.may_have_run):
            return _await_non_idempotent(state, remaining_ms)
        endpoints = self._endpoint_sets.get(request.service)
        if endpoints is None:
            return self._reject(request)
        average = endpoints.latency.for_route(route.name, route.latency_target_ms)
        if remaining_ms <= average.fastest_ms * MIN_REMAINING_TIME_RATIO:
            return self._await_or_give_up(state, remaining_ms, 504)
        if state.attempts and not self._may_try_again(now, state, endpoints):
            return self._await_or_give_up(state, remaining_ms, state.failure_status)
        criteria = SelectionCriteria(
            now,
            route.kind,
            not route.is_idempotent,
            route.latency_target_ms,
            average.mean_ms,
            request.allowed_regions,
            frozenset(a.endpoint.backend.instance for a in state.attempts),
            request.priority,
        )
        if state.attempts:
            attempt = self._select_retry(state, endpoints, criteria)
        else:
            attempt = self._select_first(request, endpoints, criteria)
        if attempt is not None:
            return self._forward(state, endpoints, average, attempt)
        if state.has_in_flight:
            return Enqueue(remaining_ms)
        return self._enqueue(now, state, endpoints, average)

    def _may_try_again(self, now: float, state: RequestState, endpoints: EndpointSet) -> bool:
        """Return whether the route's attempt limit, the retry budget and the service's latency allow one more attempt.

        A slow service gets no second attempt while the first one is in flight.
        """
        request = state.request
        arrived = sum(1 for a in state.attempts if a.may_have_arrived)
        if arrived >= max(request.route.max_attempts, 1):
            return False
        if len(state.attempts) - arrived >= MAX_UNREACHED_ATTEMPTS:
            return False
        if arrived and not self._retry_budget(now, request.service).allows_retry(now, len(self._topology.gateways)):
            return False
        return not (state.has_in_flight and endpoints.latency.is_slow)

    def _select_first(
        self, request: RequestInfo, endpoints: EndpointSet, criteria: SelectionCriteria
    ) -> EndpointAttempt | None:
        """Select an endpoint for the first attempt: a half-open endpoint if one is due, otherwise by cost."""
        endpoint = endpoints.take_half_open_endpoint(criteria)
        if endpoint is not None:
            return EndpointAttempt(endpoint, criteria.now, request.deadline_ms, is_half_open=True)
        endpoint = endpoints.select(criteria, self._rng) or endpoints.select_in_panic(criteria, self._rng)
        if endpoint is None or endpoints.is_reserved_for_higher_priority(endpoint, criteria):
            return None
        return EndpointAttempt(endpoint, criteria.now, request.deadline_ms)

    def _select_retry(
        self, state: RequestState, endpoints: EndpointSet, criteria: SelectionCriteria
    ) -> EndpointAttempt | None:
        """Select an endpoint for a retry or a hedged request, preferably one that the request has not tried."""
        rng = self._rng
        endpoint = endpoints.select(criteria, rng) or endpoints.select_in_panic(criteria, rng)
        if endpoint is None and not state.has_in_flight:
            # All other endpoints are excluded or full. An endpoint that was tried but where the request certainly
            # never ran may have capacity by now.
            ran_instances = frozenset(a.endpoint.backend.instance for a in state.attempts if a.may_have_run)
            criteria = replace(criteria, excluded_instances=ran_instances)
            endpoint = endpoints.select(criteria, rng) or endpoints.select_in_panic(criteria, rng)
        if endpoint is None:
            return None
        return EndpointAttempt(endpoint, criteria.now, state.request.deadline_ms)

    def _forward(
        self, state: RequestState, endpoints: EndpointSet, average: LatencyAverage, attempt: EndpointAttempt
    ) -> Forward:
        """Record the start of an attempt and return the action that sends it."""
        now, backend, request = attempt.started_at_ms, attempt.endpoint.backend, state.request
        if any(a.may_have_arrived for a in state.attempts):
            attempt.retry_spent_at_ms = self._retry_budget(now, request.service).spend(now)
        state.attempts.append(attempt)
        attempt.begin()
        endpoints.refill_half_open_tokens()
        self._slow_start.record_send(now, backend)
        route, remaining_ms = request.route, request.deadline_ms - now
        if route.is_idempotent:
            elapsed_ms = now - request.arrived_at_ms
            attempt.hedge_delay_ms = endpoints.latency.hedge_delay(
                average, route.latency_target_ms, elapsed_ms, remaining_ms
            )
        else:
            attempt.hedge_delay_ms = remaining_ms
        return Forward(backend, attempt.hedge_delay_ms)

    def _enqueue(self, now: float, state: RequestState, endpoints: EndpointSet, average: LatencyAverage) -> Action:
        """Queue a request for which no endpoint has capacity, or fail or reject it once its queue time is over."""
        request = state.request
        ratio = MAX_RETRY_QUEUE_TIME_RATIO if state.attempts else MAX_QUEUE_TIME_RATIO
        queue_time_ms = min(
            request.arrived_at_ms + ratio * request.route.latency_target_ms - now,
            request.deadline_ms - now - average.mean_ms,
        )
        if queue_time_ms <= MIN_QUEUE_TIME_MS:
            return Fail(state.failure_status) if state.may_have_run else self._reject(request)
        state.enter_queue(endpoints.queued)
        recheck_ms = max(MIN_RECHECK_MS, min(MAX_RECHECK_MS, average.mean_ms * RECHECK_RATIO))
        jitter = MIN_RECHECK_JITTER + RECHECK_JITTER_RANGE * self._rng.random()
        return Enqueue(min(queue_time_ms, recheck_ms * jitter))

    def _await_or_give_up(self, state: RequestState, remaining_ms: float, status: int) -> Action:
        """Wait for attempts in flight while time remains; otherwise fail the request, or reject it if it never ran."""
        has_in_flight = state.has_in_flight
        if has_in_flight and remaining_ms > 0:
            return Enqueue(remaining_ms)
        if has_in_flight or state.may_have_run:
            return Fail(status)
        return self._reject(state.request)

    def _reject(self, request: RequestInfo) -> Reject:
        ratio = MIN_RETRY_AFTER_RATIO + (MAX_RETRY_AFTER_RATIO - MIN_RETRY_AFTER_RATIO) * self._rng.random()
        return Reject(request.route.latency_target_ms * ratio)

    def _refund_if_unsent(self, now: float, state: RequestState, attempt: EndpointAttempt, outcome: Outcome) -> None:
        """Refund what an attempt spent of the retry budget if no part of it reached the backend."""
        if outcome not in (Outcome.UNREACHABLE, Outcome.CANCELLED):
            return
        attempt.may_have_arrived = False
        if attempt.retry_spent_at_ms is not None:
            self._retry_budget(now, state.request.service).refund(attempt.retry_spent_at_ms)
            attempt.retry_spent_at_ms = None

    def _retry_budget(self, now: float, service: str) -> RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = self._retry_budgets[service] = RetryBudget(
                settings.retry_budget_ratio, settings.retry_window_ms, settings.retry_budget_slack, now
            )
        return budget


def _await_non_idempotent(state: RequestState, remaining_ms: float) -> Action:
    """Wait for a non-idempotent request that may be running, or fail it; it is never sent a second time."""
    if remaining_ms <= 0:
        return Fail(504)
    if any(a.is_in_flight and not a.is_timed_out for a in state.attempts):
        return Enqueue(remaining_ms)
    return Fail(state.failure_status)
