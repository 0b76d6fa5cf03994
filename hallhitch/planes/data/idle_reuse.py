"""How long a connection to a backend may rest and still be used, learned for each service. No socket, no clock."""

from __future__ import annotations

UNTOLD = 4000.0  # ms that a connection may rest where the backend has not told how long it keeps it
TOLD_SHARE = 0.7  # of the time it told
UNSAFE = 1000.0  # and where a request must not be written to a connection that may be dead
SHORT = 250.0  # resets at a younger age say nothing about resting
LESSON = 30_000.0  # ms for which a lesson holds
PAIR = 10_000.0  # ms within which two backends must close resting connections to be believed


class IdleReuse:
    """What one service's backends showed."""

    def __init__(self) -> None:
        self._most, self._until = UNTOLD, 0.0
        self._closed: tuple[float, str, float] | None = None  # when, by which instance, at what age

    def most(self, now: float, told: float, unsafe: bool) -> float:
        """The age (ms) up to which a connection is used; `told` is its backend's time, 0 where it told none."""
        most = told * TOLD_SHARE if told else UNTOLD
        if now < self._until:
            most = min(most, self._most)
        return min(most, max(UNSAFE, told * TOLD_SHARE / 2)) if unsafe else most

    def reset(self, now: float, age: float) -> None:
        """A connection that had rested for so long broke when a request was written to it."""
        if age >= SHORT:
            held = self._most if now < self._until else UNTOLD
            self._most, self._until = max(SHORT, min(held, age / 2)), now + LESSON

    def closed(self, now: float, instance: str, age: float) -> None:
        """A backend closed a resting connection. One alone may have ended; two of them close what rests so long."""
        if age < SHORT:
            return
        before, self._closed = self._closed, (now, instance, age)
        if before is not None and before[1] != instance and now - before[0] < PAIR:
            self.reset(now, 1.4 * min(age, before[2]))
