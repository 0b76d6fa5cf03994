"""The event loop of one simulated process in virtual time, stepped by the simulation.

While a process is paused, the simulation does not step its loop: its timers and the bytes that reach it wait. When the
loop is stepped again, asyncio runs the callbacks that were ready before it looks at timers, as it does in production.
The loop of a process that has ended is only stepped to free its tasks: nothing that they still do, such as a `finally`
block or a last message, has an effect outside the process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from hallhitch.lab.simulation.network import Network

ITERATIONS_PER_STEP: Final = 20  # of one loop before other processes run at the same virtual time
MAX_CLEANUP_STEPS: Final = 50  # a cancelled task may need several steps and may start other tasks meanwhile


class _SocketlessSelector:
    """A selector without sockets: the simulation schedules incoming data on the loop itself."""

    def select(self, timeout: float | None) -> list[Any]:
        return []


class ProcessLoop(asyncio.BaseEventLoop):
    """The event loop of one process on the machine `host`. `clock` returns the virtual time in seconds."""

    def __init__(self, clock: Callable[[], float], network: Network, host: str) -> None:
        super().__init__()
        self._selector = _SocketlessSelector()
        self._clock = clock
        self.network = network
        self.host = host
        self.is_paused = False
        self.has_ended = False
        self.unhandled_errors: list[str] = []
        self.set_exception_handler(self._on_unhandled_error)

    def _process_events(self, events: list[Any]) -> None:
        pass

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock()

    def now_ms(self) -> float:
        """Return the virtual time in ms."""
        return self.time() * 1000

    def next_step_at_s(self) -> float:
        """Return the time of the next step of this process, or infinity if it is idle, paused or has ended."""
        if self.is_paused or self.has_ended:
            return float("inf")
        if self._ready:  # type: ignore[attr-defined]
            return self._clock()
        timers = self._scheduled  # type: ignore[attr-defined]
        return float(timers[0]._when) if timers else float("inf")

    def step(self) -> None:
        """Run the ready callbacks, the timers that are due, and the callbacks that these schedule for the same time."""
        asyncio._set_running_loop(self)
        try:
            for _ in range(ITERATIONS_PER_STEP):
                self._run_once()  # type: ignore[attr-defined]
                if not self._ready:  # type: ignore[attr-defined]
                    break
        finally:
            asyncio._set_running_loop(None)

    def spawn(self, main: Coroutine[Any, Any, Any]) -> None:
        """Start a task of this process. It runs until it returns or the process ends."""

        def start() -> None:
            task = self.create_task(main)
            task.add_done_callback(self._on_task_done)

        self.call_soon(start)

    def terminate(self) -> None:
        """End the process. Its tasks are cancelled only to free them: nothing that they do reaches another process."""
        self.has_ended = True
        for _ in range(MAX_CLEANUP_STEPS):
            tasks = asyncio.all_tasks(self)
            if not tasks:
                break
            for task in tasks:
                task.cancel()
            with suppress(RuntimeError):
                self.step()
        self.close()

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.unhandled_errors.append(f"{type(task.exception()).__name__}: {task.exception()}")

    def _on_unhandled_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        if not self.has_ended:
            self.unhandled_errors.append(str(context.get("exception") or context.get("message")))

    # --- Sockets, through the methods that asyncio's streams and protocols call.

    async def create_server(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Listen on a port of this machine."""
        return self.network.listen(self, int(port), factory)

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Connect to another machine. Retries without end while the machine cannot be reached.

        Raises:
            ConnectionRefusedError: No process listens on that port.
        """
        return await self.network.connect(self, str(host), int(port), factory)
