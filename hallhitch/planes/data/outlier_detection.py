"""The health of one backend as this gateway's own requests tell it: no probes.

Owns the pauses. Must never decide alone that nothing is left: the choice may still take one that is set aside.
"""

from __future__ import annotations

from enum import Enum

from hallhitch.planes.data.interfaces import Outcome

STRIKES = 2  # bad ends in a row that set a backend aside; one alone may be a closed idle connection, or chance
SAME = 40.0  # ms: bad ends so close together have one cause
PAUSE, PAUSE_MOST = 400.0, 5000.0  # ms: the first pause, doubled with each failed trial
FORGET = 3000.0  # ms after which bad news nobody has looked into is worth little
FULL, FULL_MOST = 20.0, 320.0  # ms: a queue has room again after part of an answer's time
GONE = 10_000.0  # ms: another backend has the address; its entry will go
SPELL = 500.0  # ms of trouble after which a backend that answers again may have been started anew


class UnansweredSends:
    """Whether a backend, or a whole zone, still answers at all: the first few sends since it was last heard."""

    __slots__ = ("sends", "_most")

    def __init__(self, most: int) -> None:
        self.sends: list[float] = []
        self._most = most

    def sent(self, now: float) -> None:
        """A request goes there."""
        if len(self.sends) < self._most:
            self.sends.append(now)

    def heard(self) -> None:
        """Something came from there."""
        self.sends.clear()


class State(Enum):
    """What may be sent to it."""

    GOOD = "good"
    DOUBTED = "doubted"  # its last end was bad: others go first
    DUE = "due"  # its pause is over: one trial
    ASIDE = "aside"


class Health:
    """Bad ends, pauses and trials of one backend."""

    __slots__ = (
        "bad_at",
        "full_until",
        "good_at",
        "moved",
        "trial",
        "until",
        "_first_bad",
        "_full",
        "_pause",
        "_strikes",
    )

    def __init__(self) -> None:
        self.good_at = self.bad_at = float("-inf")
        self.until = self.full_until = 0.0
        self.moved = False
        self.trial = False  # a trial is out
        self._strikes = 0
        self._pause, self._full = 0.0, 0.0
        self._first_bad = 0.0

    def state(self, now: float) -> State:
        """What may be sent to it now."""
        if not self._strikes:
            return State.GOOD
        if now < self.until:
            return State.ASIDE
        if self._pause:
            return State.DUE if now < self.until + FORGET or self.moved else State.DOUBTED
        return State.DOUBTED if now < self.bad_at + FORGET else State.GOOD

    def good(self, now: float, sent: float) -> float:
        """A whole answer to a request sent at `sent`; returns how long its trouble had lasted (ms), 0 if none had."""
        spell = now - self._first_bad if self._strikes and self._pause else 0.0
        self.good_at = now
        self._full = self.full_until = 0.0
        # An answer to what was sent before the trouble says nothing of now.
        if sent < self._first_bad and self._pause:
            return 0.0
        self._strikes, self._pause, self.until = 0, 0.0, 0.0
        self.moved = False
        return spell

    def bad(self, now: float, outcome: Outcome, jitter: float) -> None:
        """A bad end; `jitter` about 1 spreads the trials of many gateways."""
        if outcome is Outcome.MISDIRECTED:
            self.moved = True
            self._strikes, self._pause = STRIKES, PAUSE_MOST
            self.until = now + GONE
            return
        if self._strikes and now - self.bad_at < SAME and not self._pause:
            # A crash ends all its connections at once. No connection at all is news of its own.
            if outcome is not Outcome.UNREACHABLE:
                return
        elif self._pause and now < self.until:
            return
        if not self._strikes:
            self._first_bad = now
        self.bad_at = now
        self._strikes += STRIKES if outcome is Outcome.UNREACHABLE else 1
        if self._strikes >= STRIKES:
            self._pause = min(self._pause * 2.0, PAUSE_MOST) if self._pause else PAUSE
            self.until = now + self._pause * jitter

    def full(self, now: float, jitter: float) -> None:
        """It said that it is full."""
        if now < self.full_until:
            return
        self._full = min(self._full * 2.0, FULL_MOST) if self._full else FULL
        self.full_until = now + self._full * jitter
