"""Actors: each owns its state and receives messages only through its bounded mailbox."""

from __future__ import annotations

from typing import Final, Generic, TypeVar

import structlog

from hallhitch.core.deadlines import Scheduler
from hallhitch.core.invariants import COUNTS

MAX_MAILBOX_MESSAGES: Final = 4096
MessageT = TypeVar("MessageT")
log = structlog.get_logger()


class Actor(Generic[MessageT]):
    """Handles the messages of its mailbox in order; an iteration of the event loop handles all that are queued."""

    def __init__(self, name: str, scheduler: Scheduler, max_messages: int = MAX_MAILBOX_MESSAGES) -> None:
        self.name = name
        self._scheduler = scheduler
        self._max_messages = max_messages
        self._mailbox: list[MessageT] = []
        self._is_scheduled = False

    def post(self, message: MessageT) -> bool:
        """Append a message to the mailbox; return False if the mailbox was full and the message was dropped."""
        if len(self._mailbox) >= self._max_messages:
            COUNTS["mailbox_full"] += 1
            return False
        self._mailbox.append(message)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._scheduler.call_soon(self._run)
        return True

    def _run(self) -> None:
        self._is_scheduled = False
        messages, self._mailbox = self._mailbox, []
        if messages:
            self.handle_batch(messages)

    def handle_batch(self, messages: list[MessageT]) -> None:
        """Handle a batch of messages; an exception affects only the message that caused it."""
        for message in messages:
            try:
                self.handle(message)
            except Exception as error:  # noqa: BLE001  logged; the process must keep running
                self.record_failure(error)
                self.on_message_failed(message)

    def record_failure(self, error: Exception) -> None:
        """Count and log an unexpected exception with its traceback."""
        COUNTS["actor_failed"] += 1
        log.error("actor failed", actor=self.name, exc_info=error)

    def handle(self, message: MessageT) -> None:
        """Handle one message."""
        raise NotImplementedError

    def on_message_failed(self, message: MessageT) -> None:
        """Clean up after a message whose handler raised an exception."""
