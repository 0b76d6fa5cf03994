"""This process beside another one of the same gateway: limits are shared, and learned state is kept for a successor.

Owns when the other process is looked for and when the state is written. Decides nothing about traffic: whoever shares
a limit is told whether another process runs and whether it accepts clients.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

import structlog

from hallhitch.core.deadlines import Deadlines
from hallhitch.ops.hot_restart import state_transfer
from hallhitch.ops.hot_restart.sibling_locks import LockByte, SiblingLocks

CHECK_INTERVAL_MS: Final = 250.0  # between checks for another process: a few system calls each
WRITE_INTERVAL_MS: Final = 1000.0  # between writes of the learned state: its age at a takeover, at most
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class SiblingStatus:
    """Whether another process of this gateway runs, and whether it accepts clients."""

    is_running: bool = False
    is_serving: bool = False


SiblingListener = Callable[[bool, bool], None]  # is another process running, is it serving


class SiblingMonitor:
    """Looks for another process and writes the learned state; without a folder it does neither."""

    def __init__(
        self,
        folder: str | None,
        deadlines: Deadlines,
        module: state_transfer.LearningModule,
        idle_times: state_transfer.IdleTimes,
    ) -> None:
        """`folder` is shared by all processes of this gateway and removed with the last of them."""
        self._folder = folder
        self._deadlines = deadlines
        self._module = module
        self._idle_times = idle_times
        self._locks = SiblingLocks(folder)
        self._status = SiblingStatus()
        self._listeners: Sequence[SiblingListener] = ()
        self._is_stopping = False
        self._was_written = True  # whether the last write succeeded

    def restore_state(self) -> None:
        """Apply the state that another running process has written, if there is one."""
        if self._folder is None or not self._locks.has_sibling(LockByte.RUNNING):
            return
        state = state_transfer.read_state(self._folder, self._deadlines.clock())
        if state is not None:
            state_transfer.apply_state(state, self._module, self._idle_times)
            log.info("state restored", classes=list(state.classes), customers=len(state.customers))

    def start_serving(self, listeners: Sequence[SiblingListener]) -> None:
        """Announce that this process accepts clients; notify the listeners of another one, now and on changes."""
        self._listeners = listeners
        self._locks.announce_serving()
        if self._folder is not None:
            self._check_periodically()
            self._write_periodically(self._folder)

    def check(self) -> None:
        """Look for another process now; called also before a request is rejected for a limit."""
        is_running = self._locks.has_sibling(LockByte.RUNNING)
        status = SiblingStatus(is_running, is_running and self._locks.has_sibling(LockByte.SERVING))
        if status != self._status:
            self._status = status
            log.info("sibling process changed", is_running=status.is_running, is_serving=status.is_serving)
            for listener in self._listeners:
                listener(status.is_running, status.is_serving)

    def stop_writing(self) -> None:
        """Write no more state: this process is stopping."""
        self._is_stopping = True

    def close(self) -> None:
        """Release the locks, so that the other process regards itself as alone."""
        self._locks.close()

    def _check_periodically(self) -> None:
        self.check()
        self._deadlines.call_after(CHECK_INTERVAL_MS, self._check_periodically)

    def _write_periodically(self, folder: str) -> None:
        if self._is_stopping:
            return
        is_written = state_transfer.write_state(folder, self._module, self._idle_times, self._deadlines.clock())
        if self._was_written and not is_written:
            log.warning("state not written", folder=folder)
        self._was_written = is_written
        self._deadlines.call_after(WRITE_INTERVAL_MS, lambda: self._write_periodically(folder))
