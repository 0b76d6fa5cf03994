"""Periodic work that continues after a failed round."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from hallhitch.node.clock import now
from hallhitch.node.logs import ComponentLogger, RateLimitedLog


async def run_periodically(
    component: str, interval_ms: float, step: Callable[[], Awaitable[None]], clock: Callable[[], float] = now
) -> None:
    """Await `step` after each interval until cancelled; log its exceptions at most once a second."""
    failure_log = RateLimitedLog(ComponentLogger(component))
    while True:
        await asyncio.sleep(interval_ms / 1000)
        try:
            await step()
        except Exception as error:  # noqa: BLE001  top-level handler: logs the error, and the next round follows
            failure_log.exception(clock(), "periodic work failed", error)
