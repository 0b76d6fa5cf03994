"""One request at one gateway of the model: the policy's actions carried out, as the request handler does.

The policy learns what a gateway would: how its own attempts end, and nothing of the backends' queues.
"""
# simpy's processes, events and resources are not typed for strict checking.
# mypy: disable-error-code="no-untyped-call"

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from math import log
from typing import Any

import simpy

from hallhitch.lab.data_plane_cases import RequestClass
from hallhitch.lab.data_plane_cluster import Failure, ModelBackend, ModelCluster, SimProcess
from hallhitch.planes.data.interfaces import (
    Action,
    Enqueue,
    Fail,
    Forward,
    LoadBalancingPolicy,
    Outcome,
    Reject,
    RequestInfo,
)
from hallhitch.planes.values import Gateway

COLD_WORK_FACTOR = 2.0
TAIL_PROBABILITY, TAIL_WORK_FACTOR = 0.01, 5.0
MIN_WAIT_MS = 0.01  # so that simulated time passes whatever the policy says
TIMER_TOLERANCE_MS = 0.02  # above the shortest wait: a timer is not missed by rounding
CLIENT_GONE = "client gone"  # cause of an interrupt: nobody waits for the response


@dataclass(frozen=True)
class Served:
    """The client has a response."""


@dataclass
class _Attempt:
    process: Any
    started_at_ms: float


class ModelRequest:
    """One request of a client at one gateway."""

    def __init__(
        self,
        cluster: ModelCluster,
        policy: LoadBalancingPolicy[Any],
        gateway: Gateway,
        request_class: RequestClass,
        deadline_ms: float,
    ) -> None:
        self._cluster, self._policy, self._gateway, self._class = cluster, policy, gateway, request_class
        route = request_class.route
        self._request = RequestInfo(
            route, request_class.service, route.allowed_regions, route.priority, cluster.now(), deadline_ms
        )
        self._attempts: dict[str, _Attempt] = {}  # not ended, by instance
        self._hedge_at_ms: dict[str, float] = {}  # by instance
        self._ended: list[tuple[str, Outcome]] = []  # instances, not yet reported
        self._arrived = 0  # attempts that reached a backend
        self._runs = 0

    def run(self) -> Generator[Any, Any, Served | Reject | Fail]:
        """Carry out the policy's actions until the request is over."""
        cluster, policy = self._cluster, self._policy
        cluster.requests_ms[self._request.service].append(cluster.now())
        state = policy.begin_request(cluster.now(), self._request)
        action = policy.next_action(cluster.now(), state)
        result: Served | Reject | Fail | None = None
        while result is None:
            if isinstance(action, Reject | Fail):
                result = action
                break
            yield self._next_event(self._carry_out(action))
            is_served = self._report_ended(state)
            self._report_timed_out(state)
            if is_served:
                result = Served()
            else:
                action = policy.next_action(cluster.now(), state)
        policy.finish_request(cluster.now(), state)
        self._cancel_attempts(state)
        self._count(result)
        return result

    def _carry_out(self, action: Action) -> float:
        """Start the attempt of an action; returns when to ask for the next, unless an attempt ends before."""
        cluster, now = self._cluster, self._cluster.now()
        wake_at_ms = self._request.deadline_ms
        if isinstance(action, Forward):
            instance = action.backend.instance
            backend = cluster.backends[instance]
            if backend.failure is None:
                if self._arrived:
                    cluster.retries_ms[self._request.service].append(now)
                    cluster.result.retries += 1
                self._arrived += 1
            self._attempts[instance] = _Attempt(cluster.env.process(self._attempt(backend)), now)
            self._hedge_at_ms[instance] = now + action.hedge_delay_ms
        elif isinstance(action, Enqueue):
            wake_at_ms = now + action.recheck_after_ms
        return min([wake_at_ms, *(t for i, t in self._hedge_at_ms.items() if i in self._attempts)])

    def _next_event(self, wake_at_ms: float) -> Any:
        # A process that ended without an outcome is a backend that does not respond.
        running = [attempt.process for attempt in self._attempts.values() if attempt.process.is_alive]
        timer = self._cluster.env.timeout(max(MIN_WAIT_MS, wake_at_ms - self._cluster.now()))
        return self._cluster.env.any_of([timer, *running])

    def _report_ended(self, state: Any) -> bool:
        """Report the attempts that have ended; returns whether one succeeded."""
        is_served = False
        for instance, outcome in self._ended:
            attempt = self._attempts.pop(instance)
            self._hedge_at_ms.pop(instance, None)
            self._report(state, instance, attempt, outcome)
            is_served = is_served or outcome is Outcome.OK
        self._ended.clear()
        return is_served

    def _report_timed_out(self, state: Any) -> None:
        due_ms = self._cluster.now() + TIMER_TOLERANCE_MS
        for instance in [i for i, hedge_at_ms in self._hedge_at_ms.items() if hedge_at_ms <= due_ms]:
            del self._hedge_at_ms[instance]
            self._report(state, instance, self._attempts[instance], Outcome.TIMED_OUT)

    def _cancel_attempts(self, state: Any) -> None:
        for instance, attempt in self._attempts.items():
            if attempt.process.is_alive:
                attempt.process.interrupt(CLIENT_GONE)
            self._report(state, instance, attempt, Outcome.CANCELLED)

    def _report(self, state: Any, instance: str, attempt: _Attempt, outcome: Outcome) -> None:
        now, entry = self._cluster.now(), self._cluster.backends[instance].entry
        self._policy.on_attempt_ended(now, state, entry, outcome, now - attempt.started_at_ms)

    def _count(self, result: Served | Reject | Fail) -> None:
        counts, route = self._cluster.result, self._request.route
        counts.unsafe_reruns += self._runs > 1 and not route.is_idempotent
        if isinstance(result, Reject):
            elapsed_ms = self._cluster.now() - self._request.arrived_at_ms
            counts.late_rejections += elapsed_ms > route.latency_target_ms / 4

    # The attempt, as it goes at the backend.

    def _attempt(self, backend: ModelBackend) -> SimProcess:
        cluster = self._cluster
        self._count_bytes(backend)
        process = cluster.env.active_process
        outcome: Outcome | None = Outcome.CONNECTION_LOST
        try:
            outcome = yield from self._round_trip(backend, process)
        except simpy.Interrupt as interrupt:
            if interrupt.cause is not Failure.CRASHED:
                return  # nobody waits for it, or nothing more comes from there
        finally:
            backend.work.discard(process)
        if outcome is not None:
            self._ended.append((backend.entry.instance, outcome))

    def _round_trip(self, backend: ModelBackend, process: Any) -> Generator[Any, Any, Outcome | None]:
        """Send the request and wait for the response; None where nothing comes back."""
        cluster, case = self._cluster, self._cluster.case
        delay_ms = cluster.delay_ms(self._gateway.zone, backend.entry.zone)
        yield cluster.env.timeout(delay_ms)
        if backend.failure is Failure.UNRESPONSIVE:
            return None
        if backend.failure is Failure.CRASHED:
            yield cluster.env.timeout(delay_ms)
            return Outcome.UNREACHABLE
        if backend.cold_until_ms > cluster.now():
            backend.arrivals_while_cold_ms.append(cluster.now())
        if len(backend.slots.queue) >= case.max_queued:
            cluster.result.resets += case.resets_when_full
            yield cluster.env.timeout(delay_ms)
            return Outcome.CONNECTION_LOST if case.resets_when_full else Outcome.DECLINED
        backend.work.add(process)
        with backend.slots.request() as slot:
            yield slot
            self._runs += 1
            yield cluster.env.timeout(self._draw_work_ms(backend))
        yield cluster.env.timeout(delay_ms)
        return Outcome.OK

    def _draw_work_ms(self, backend: ModelBackend) -> float:
        rng, request_class = self._cluster.rng, self._class
        factor = backend.slowness * (COLD_WORK_FACTOR if backend.cold_until_ms > self._cluster.now() else 1.0)
        factor *= TAIL_WORK_FACTOR if rng.random() < TAIL_PROBABILITY else 1.0
        sigma = request_class.work_sigma
        return rng.lognormvariate(log(request_class.mean_work_ms) - sigma**2 / 2, sigma) * factor

    def _count_bytes(self, backend: ModelBackend) -> None:
        response_mb = self._class.response_bytes / 1e6
        if backend.entry.region != self._gateway.region:
            self._cluster.result.cross_region_mb += response_mb
        elif backend.entry.zone != self._gateway.zone:
            self._cluster.result.cross_zone_mb += response_mb
