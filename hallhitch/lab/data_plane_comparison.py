"""The load balancer beside a policy that sees every backend, on the same cases of the model.

Run `python -m hallhitch.lab.data_plane_comparison [CASE...]`.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from hallhitch.lab.data_plane_cases import CASES
from hallhitch.lab.data_plane_cluster import ModelBackend, ModelCluster
from hallhitch.lab.data_plane_model import DataPlaneModel
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
from hallhitch.planes.data.load_balancer import LoadBalancer, LoadBalancerSettings
from hallhitch.planes.data.request_state import RequestState
from hallhitch.planes.values import Backend, ClusterConfig, Gateway

RETRY_AFTER_MS = 300.0
# What an attempt costs, in rounds of work.
SLOWNESS_COST = 0.5
CROSS_ZONE_COST = 0.1
CROSS_REGION_COST = 1.0
TIE_BREAK_COST = 0.01


@dataclass
class _OmniscientState:
    request: RequestInfo
    is_forwarded: bool = False


class OmniscientPolicy:
    """The policy to compare with: it sees the queue and health of every backend, and never hedges."""

    def __init__(self, cluster: ModelCluster, settings: LoadBalancerSettings, rng: Random) -> None:
        self._cluster, self._settings, self._rng = cluster, settings, rng

    def set_backends(self, now: float, entries: Sequence[Backend]) -> None:
        """Not needed."""

    def set_gateways(self, now: float, entries: Sequence[Gateway]) -> None:
        """Not needed."""

    def set_config(self, now: float, config: ClusterConfig) -> None:
        """Not needed."""

    def begin_request(self, now: float, request: RequestInfo) -> _OmniscientState:
        """Start the state of an admitted request."""
        return _OmniscientState(request)

    def next_action(self, now: float, state: _OmniscientState) -> Action:
        """Forward to the backend that would begin the request first, near ones among equals."""
        request = state.request
        if state.is_forwarded:
            return Enqueue(request.deadline_ms - now) if now < request.deadline_ms else Fail(504)
        usable = [b for b in self._cluster.backends.values() if self._is_usable(b, request, now)]
        if not usable:
            return Reject(RETRY_AFTER_MS)
        state.is_forwarded = True
        return Forward(min(usable, key=self._cost).entry, request.deadline_ms - now)

    def on_attempt_ended(
        self, now: float, state: _OmniscientState, backend: Backend, outcome: Outcome, latency_ms: float
    ) -> None:
        """Allow another attempt if the request never ran."""
        state.is_forwarded = outcome.may_have_run

    def finish_request(self, now: float, state: _OmniscientState) -> None:
        """Not needed."""

    def _is_usable(self, backend: ModelBackend, request: RequestInfo, now: float) -> bool:
        entry = backend.entry
        is_up = backend.failure is None and not backend.is_draining and backend.cold_until_ms <= now
        is_allowed = not request.allowed_regions or entry.region in request.allowed_regions
        is_evacuated = entry.zone in self._cluster.evacuated_zones
        return entry.service == request.service and is_up and is_allowed and not is_evacuated

    def _cost(self, backend: ModelBackend) -> float:
        entry = backend.entry
        is_other_zone = entry.zone != self._settings.zone
        is_other_region = entry.region != self._settings.region
        # What is on its way is not in the queue yet, but it is known here.
        queue_rounds = max(0, len(backend.work) + 1 - entry.slots) / entry.slots
        distance = CROSS_ZONE_COST * is_other_zone + CROSS_REGION_COST * is_other_region
        return queue_rounds + backend.slowness * SLOWNESS_COST + distance + TIE_BREAK_COST * self._rng.random()


def make_load_balancer(
    cluster: ModelCluster, settings: LoadBalancerSettings, rng: Random
) -> LoadBalancingPolicy[RequestState]:
    """Return the load balancer as it runs in a gateway."""
    return LoadBalancer(settings, rng)


if __name__ == "__main__":
    for case in CASES:
        if len(sys.argv) > 1 and case.name not in sys.argv[1:]:
            continue
        print(f"{case.name:10} thin {DataPlaneModel(case, 1, make_load_balancer).run().summary()}")
        print(f"{'':10} all  {DataPlaneModel(case, 1, OmniscientPolicy).run().summary()}")
