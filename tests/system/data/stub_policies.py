"""Minimal stubs of the load balancer and the quota counter."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from hallhitch.planes.data.interfaces import Action, Enqueue, Fail, Forward, Outcome, Reject, RequestInfo
from hallhitch.planes.values import Backend, ClusterConfig, Gateway, QuotaDecision, Tenant

LONG_WAIT_MS = 60_000.0  # longer than any test runs
RETRY_AFTER_MS = 250.0


@dataclass
class UntriedBackends:
    """The state of one request, with the backends that it has not been sent to yet."""

    backends: list[Backend]
    in_flight_count: int = 0
    may_have_run: bool = False
    is_finished: bool = False


class EachBackendOncePolicy:
    """Selects each backend once, in order; then rejects requests that never ran and fails the others."""

    def __init__(self, hedge_delay_ms: float = LONG_WAIT_MS) -> None:
        self.hedge_delay_ms = hedge_delay_ms
        self.backends: list[Backend] = []
        self.outcomes: list[tuple[str, Outcome]] = []  # backend instance and outcome, in the order of the reports
        self.requests: list[RequestInfo] = []

    def set_backends(self, now: float, entries: Sequence[Backend]) -> None:
        """Use these backends for requests that begin from now on."""
        self.backends = list(entries)

    def set_gateways(self, now: float, entries: Sequence[Gateway]) -> None:
        """Ignore other gateways."""

    def set_config(self, now: float, config: ClusterConfig) -> None:
        """Ignore the configuration."""

    def begin_request(self, now: float, request: RequestInfo) -> UntriedBackends:
        """Record the request."""
        self.requests.append(request)
        return UntriedBackends(list(self.backends))

    def next_action(self, now: float, state: UntriedBackends) -> Action:
        """Select the next backend, or wait for the attempts in flight."""
        if state.backends:
            state.in_flight_count += 1
            return Forward(state.backends.pop(0), self.hedge_delay_ms)
        if state.in_flight_count:
            return Enqueue(LONG_WAIT_MS)
        return Fail(502) if state.may_have_run else Reject(RETRY_AFTER_MS)

    def on_attempt_ended(
        self, now: float, state: UntriedBackends, backend: Backend, outcome: Outcome, latency_ms: float
    ) -> None:
        """Record the outcome."""
        self.outcomes.append((backend.instance, outcome))
        if outcome is not Outcome.TIMED_OUT:
            state.in_flight_count -= 1
        state.may_have_run = state.may_have_run or outcome.may_have_run

    def finish_request(self, now: float, state: UntriedBackends) -> None:
        """Mark the request as finished."""
        state.is_finished = True


class NeverAvailablePolicy(EachBackendOncePolicy):
    """Keeps every request waiting for capacity."""

    def next_action(self, now: float, state: UntriedBackends) -> Action:
        """Make the request wait."""
        return Enqueue(LONG_WAIT_MS)


class StubQuotaCounter:
    """A quota counter that returns a fixed decision and records refunds."""

    def __init__(self) -> None:
        self.decision = QuotaDecision(True, refund_token=1)
        self.refunds: list[QuotaDecision] = []
        self.admit_count = 0

    async def admit(self, tenant: Tenant, timeout_ms: float) -> QuotaDecision:
        """Return the fixed decision."""
        self.admit_count += 1
        return self.decision

    def refund(self, decision: QuotaDecision) -> None:
        """Record the refund."""
        self.refunds.append(decision)
