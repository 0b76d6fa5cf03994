"""Actors: each owns its state and is reached through a bounded mailbox alone."""

from __future__ import annotations

from typing import Generic, TypeVar

import structlog

from hallhitch.core.deadlines import Scheduler
from hallhitch.core.invariants import COUNTS

M = TypeVar("M")
log = structlog.get_logger()


class Actor(Generic[M]):
    """Takes the messages of its mailbox in order, all that have come in one turn of the loop."""

    def __init__(self, name: str, scheduler: Scheduler, most: int = 4096) -> None:
        self.name, self._scheduler, self._most = name, scheduler, most
        self._mail: list[M] = []
        self._awake = False

    def post(self, message: M) -> bool:
        """Leave a message; False says that the mailbox is full and the message was not taken."""
        if len(self._mail) >= self._most:
            COUNTS["mailbox_full"] += 1
            return False
        self._mail.append(message)
        if not self._awake:
            self._awake = True
            self._scheduler.call_soon(self._run)
        return True

    def _run(self) -> None:
        self._awake = False
        mail, self._mail = self._mail, []
        if mail:
            self.turn(mail)

    def turn(self, mail: list[M]) -> None:
        """Take what has come; a failure costs its own message only."""
        for message in mail:
            try:
                self.receive(message)
            except Exception as error:
                self.crashed(error)
                self.spoilt(message)

    def crashed(self, error: Exception) -> None:
        """Log and count an exception."""
        COUNTS["actor_failed"] += 1
        log.error("actor failed", actor=self.name, exc_info=error)

    def receive(self, message: M) -> None:
        """Act on one message."""
        raise NotImplementedError

    def spoilt(self, message: M) -> None:
        """Put right what a failed message leaves behind."""
