"""Periodic detection of a sibling process, and periodic writes of the learned state for a successor.

Components whose limits are divided between the two processes are passed as listeners: they are told whether a sibling
is running and whether it accepts clients. This module itself makes no routing decisions.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

import structlog

from hallhitch.core.deadlines import Deadlines
from hallhitch.ops.hot_restart import state_transfer
from hallhitch.ops.hot_restart.sibling_locks import LockByte, SiblingLocks

CHECK_INTERVAL_MS: Final = 250.0  # between checks for a sibling; each check takes a few system calls
WRITE_INTERVAL_MS: Final = 1000.0  # between writes of the learned state; the maximum age of the state at a takeover
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class SiblingStatus:
    """Whether another process of this gateway is running, and whether it accepts clients."""

    is_running: bool = False
    is_serving: bool = False


SiblingListener = Callable[[bool, bool], None]  # called with `is_running` and `is_serving` of SiblingStatus


class SiblingMonitor:
    """Detects a sibling process and writes the learned state; without a shared folder it does neither."""

    def __init__(
        self,
        folder: str | None,
        deadlines: Deadlines,
        module: state_transfer.LearningModule,
        idle_times: state_transfer.IdleTimes,
    ) -> None:
        """`folder` is shared by all processes of this gateway and is removed after the last of them has ended."""
        self._folder = folder
        self._deadlines = deadlines
        self._module = module
        self._idle_times = idle_times
        self._locks = SiblingLocks(folder)
        self._status = SiblingStatus()
        self._listeners: Sequence[SiblingListener] = ()
        self._is_stopping = False
        self._last_write_succeeded = True

    def restore_state(self) -> None:
        """Apply the learned state that a running sibling has written, if there is one."""
        if self._folder is None or not self._locks.has_sibling(LockByte.RUNNING):
            return
        state = state_transfer.read_state(self._folder, self._deadlines.clock())
        if state is not None:
            state_transfer.apply_state(state, self._module, self._idle_times)
            log.info("state restored", classes=list(state.classes), customers=len(state.customers))

    def start_serving(self, listeners: Sequence[SiblingListener]) -> None:
        """Announce that this process accepts clients, and start the periodic checks and writes.

        `listeners` are called whenever the status of the sibling changes.
        """
        self._listeners = listeners
        self._locks.announce_serving()
        if self._folder is not None:
            self._check_periodically()
            self._write_periodically(self._folder)

    def check(self) -> None:
        """Check for a sibling now. Also called before a client is rejected because a limit is reached."""
        is_running = self._locks.has_sibling(LockByte.RUNNING)
        status = SiblingStatus(is_running, is_running and self._locks.has_sibling(LockByte.SERVING))
        if status != self._status:
            self._status = status
            log.info("sibling process changed", is_running=status.is_running, is_serving=status.is_serving)
            for listener in self._listeners:
                listener(status.is_running, status.is_serving)

    def stop_writing(self) -> None:
        """Stop writing learned state because this process is shutting down."""
        self._is_stopping = True

    def close(self) -> None:
        """Release the locks, so that the sibling no longer detects this process."""
        self._locks.close()

    def _check_periodically(self) -> None:
        self.check()
        self._deadlines.call_after(CHECK_INTERVAL_MS, self._check_periodically)

    def _write_periodically(self, folder: str) -> None:
        if self._is_stopping:
            return
        succeeded = state_transfer.write_state(folder, self._module, self._idle_times, self._deadlines.clock())
        if self._last_write_succeeded and not succeeded:
            log.warning("state not written", folder=folder)
        self._last_write_succeeded = succeeded
        self._deadlines.call_after(WRITE_INTERVAL_MS, lambda: self._write_periodically(folder))
