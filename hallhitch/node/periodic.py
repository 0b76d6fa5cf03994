"""Periodic work that goes on after a fault of one of its rounds."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from hallhitch.node.clock import now
from hallhitch.node.logs import ComponentLogger, RateLimitedLog


async def run_periodically(
    component: str, interval_ms: float, step: Callable[[], Awaitable[None]], clock: Callable[[], float] = now
) -> None:
    """Await `step` after each interval, until cancelled; an exception is logged, once a second at most."""
    failure_log = RateLimitedLog(ComponentLogger(component))
    while True:
        await asyncio.sleep(interval_ms / 1000)
        try:
            await step()
        except Exception as error:  # noqa: BLE001  an outer edge: logged, and the next round is made
            failure_log.exception(clock(), "periodic work failed", error)
