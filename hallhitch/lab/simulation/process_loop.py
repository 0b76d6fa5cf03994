"""One process in virtual time: an event loop of its own, stepped by the simulation.

A loop that is not stepped is a process that stands still: its timers and the bytes that reach it wait. When it is
stepped again, asyncio itself runs what came before it looks at timers, as in service. A process that was ended is never
stepped again, so that nothing of it runs any more: no `finally`, no last message.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hallhitch.lab.simulation.network import Network

TURNS = 20  # of a loop in one step, before others have theirs
CLEANUP_STEPS = 50  # steps in which the tasks of an ended process are taken apart, its outlets being closed


class _NoSelector:
    """There are no sockets: whatever comes is put on the loop by the simulation."""

    def select(self, timeout: float | None) -> list[Any]:
        return []


class ProcessLoop(asyncio.BaseEventLoop):
    """The loop of one process on the machine `host`. `clock` tells virtual seconds."""

    def __init__(self, clock: Callable[[], float], network: Network, host: str) -> None:
        super().__init__()
        self._selector = _NoSelector()
        self._virtual_seconds = clock
        self.network, self.host = network, host
        self.frozen = self.ended = False
        self.failures: list[str] = []
        self.set_exception_handler(self._failed)

    def _process_events(self, events: list[Any]) -> None:
        pass

    def time(self) -> float:
        """Virtual seconds."""
        return self._virtual_seconds()

    def due(self) -> float:
        """The virtual second at which this process has something to do; endless where it stands still."""
        if self.frozen or self.ended:
            return float("inf")
        if self._ready:  # type: ignore[attr-defined]
            return self._virtual_seconds()
        timers = self._scheduled  # type: ignore[attr-defined]
        return float(timers[0]._when) if timers else float("inf")

    def step(self) -> None:
        """What is ready, the timers that are due, and what follows from both at this moment."""
        asyncio._set_running_loop(self)
        try:
            for _ in range(TURNS):
                self._run_once()  # type: ignore[attr-defined]
                if not self._ready:  # type: ignore[attr-defined]
                    break
        finally:
            asyncio._set_running_loop(None)

    def begin(self, main: Coroutine[Any, Any, Any]) -> None:
        """Start a task of this process."""

        def start() -> None:
            task = self.create_task(main)
            task.add_done_callback(self._finished)

        self.call_soon(start)

    def _finished(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(f"{type(task.exception()).__name__}: {task.exception()}")

    def _failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        if not self.ended:
            self.failures.append(str(context.get("exception") or context.get("message")))

    def end(self) -> None:
        """The process is gone. Its tasks are taken apart only to free them: nothing they do reaches anybody."""
        self.ended = True
        for _ in range(CLEANUP_STEPS):
            tasks = asyncio.all_tasks(self)
            if not tasks:
                break
            for task in tasks:
                task.cancel()
            with suppress(RuntimeError):
                self.step()
        self.close()

    # --- Sockets, as asyncio's streams and protocols ask for them.

    async def create_server(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Listen on this machine."""
        return self.network.listen(self, int(port), factory)

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Connect to another machine; ConnectionRefusedError where nobody listens, endless where no answer comes."""
        return await self.network.connect(self, str(host), int(port), factory)
