"""Time-outs that use the shared heap of deadlines, which is cheaper than one event-loop timer for each."""

from __future__ import annotations

import asyncio
import contextlib

from hallhitch.core.deadlines import Deadlines


class DeadlineTimeout:
    """Context manager that cancels its body after a delay in ms and raises TimeoutError."""

    def __init__(self, deadlines: Deadlines, delay_ms: float) -> None:
        self._deadlines = deadlines
        self._delay_ms = delay_ms
        self._is_expired = False

    async def __aenter__(self) -> None:
        self._task = asyncio.current_task()
        self._deadline = self._deadlines.call_after(self._delay_ms, self._on_expired)

    def _on_expired(self) -> None:
        self._is_expired = True
        if self._task is not None:
            self._task.cancel()

    async def __aexit__(self, kind: type[BaseException] | None, *_: object) -> None:
        self._deadlines.cancel(self._deadline)
        if self._is_expired and self._task is not None and self._task.uncancel() == 0:
            raise TimeoutError


async def sleep_ms(deadlines: Deadlines, delay_ms: float) -> None:
    """Sleep for a delay in ms."""
    with contextlib.suppress(TimeoutError):
        async with DeadlineTimeout(deadlines, delay_ms):
            await asyncio.get_running_loop().create_future()
