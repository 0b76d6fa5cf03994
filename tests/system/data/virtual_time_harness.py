"""A data plane on virtual time, with a stub policy or the production load balancer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from hallhitch.planes.data.load_balancer import LoadBalancer, LoadBalancerSettings
from tests.system.data.data_plane_harness import DataPlaneHarness
from tests.system.data.virtual_time_loop import VirtualTimeLoop

NEVER_RAN_STATUSES: Final = frozenset((429, 503, 408, 421))  # from these a client concludes that its request never ran
HEDGE_DELAY_MS: Final = 100.0


def make_load_balancer() -> LoadBalancer:
    """Return the production load balancer, with a retry budget that allows retries immediately."""
    return LoadBalancer(
        LoadBalancerSettings("edge-1", "a-1", "a", retry_window_ms=0.0, retry_budget_slack=100.0), Random(1)
    )


def run_in_virtual_time(test: Callable[[DataPlaneHarness], Awaitable[None]], is_load_balanced: bool = False) -> None:
    """Run a test with a data plane on virtual time."""
    loop = VirtualTimeLoop()

    async def run() -> None:
        load_balancer = make_load_balancer() if is_load_balanced else None
        harness = DataPlaneHarness(HEDGE_DELAY_MS, load_balancer, loop.clock)
        await harness.plane.start()
        try:
            await test(harness)
        finally:
            await harness.close()
        assert not harness.script_errors, harness.script_errors

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(run())
