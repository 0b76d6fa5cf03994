"""Suspicions: how long a suspected member has to refute. Each independent accuser shortens that time.

Times are in ms. Source: Dadgar, Phillips, Currey: Lifeguard (2018), "Local Health Aware Suspicion".
"""

from __future__ import annotations

import math
from typing import Final

from hallhitch.membership.records import MemberKey

FULL_CONFIRMATIONS: Final = 3  # independent accusers after the first that reduce the time-out to its minimum
# A failure reported by another member counts as this many accusers, because a suspicion has already expired there.
REPORTED_FAILURE_WEIGHT: Final = 2


class Suspicion:
    """The suspicion of one member, which begins with its first accuser."""

    __slots__ = ("_full_confirmations", "accusers", "confirmations", "max_timeout_ms", "min_timeout_ms", "started_at")

    def __init__(self, now: float, min_timeout_ms: float, max_timeout_ms: float, other_accusers: int) -> None:
        """Begin a suspicion; `other_accusers` is the number of members that could accuse after the first."""
        self.started_at = now
        self.min_timeout_ms = min_timeout_ms
        self.max_timeout_ms = max_timeout_ms
        self.accusers: set[int] = set()
        self.confirmations = -1  # accusers after the first, by weight
        self._full_confirmations = FULL_CONFIRMATIONS if other_accusers >= FULL_CONFIRMATIONS else 0

    def accuse(self, accuser: int, weight: int = 1) -> bool:
        """Count an accuser; return whether the accusation must be passed on to other members."""
        if accuser in self.accusers or self.confirmations >= max(1, self._full_confirmations):
            return False
        self.accusers.add(accuser)
        self.confirmations += weight
        return True

    @property
    def expires_at(self) -> float:
        """When the member is declared failed, unless it refutes or sends a message before."""
        if not self._full_confirmations:
            return self.started_at + self.min_timeout_ms
        confirmed_ratio = math.log(max(0, self.confirmations) + 1) / math.log(self._full_confirmations + 1)
        timeout_ms = self.max_timeout_ms - (self.max_timeout_ms - self.min_timeout_ms) * confirmed_ratio
        return self.started_at + max(self.min_timeout_ms, timeout_ms)


class SuspicionTable:
    """All suspicions of one view, and the time of the next expiry."""

    def __init__(self) -> None:
        self._by_key: dict[MemberKey, Suspicion] = {}
        self.wake_at = math.inf

    def open(self, key: MemberKey, suspicion: Suspicion) -> None:
        """Add the suspicion of a member, replacing any earlier one."""
        self._by_key[key] = suspicion
        self.wake_at = min(self.wake_at, suspicion.expires_at)

    def close(self, key: MemberKey) -> None:
        """Remove the suspicion of a member, if there is one."""
        self._by_key.pop(key, None)

    def get(self, key: MemberKey) -> Suspicion | None:
        """Return the suspicion of a member, if there is one."""
        return self._by_key.get(key)

    def accuse(self, key: MemberKey, accuser: int, weight: int = 1) -> bool:
        """Count an accuser of a suspected member; return whether the accusation must be passed on to other members."""
        suspicion = self._by_key.get(key)
        if suspicion is None or not suspicion.accuse(accuser, weight):
            return False
        self.wake_at = min(self.wake_at, suspicion.expires_at)
        return True

    def expired(self, now: float) -> list[MemberKey]:
        """Return the members whose suspicion has expired, sorted by key."""
        return sorted(key for key, suspicion in self._by_key.items() if suspicion.expires_at <= now)

    def reschedule(self) -> None:
        """Recompute `wake_at`."""
        self.wake_at = min((suspicion.expires_at for suspicion in self._by_key.values()), default=math.inf)

    def postpone(self, delay_ms: float) -> None:
        """Extend all suspicions by a period in which this process was stalled."""
        for suspicion in self._by_key.values():
            suspicion.started_at += delay_ms
        self.wake_at += delay_ms

    def restart(self, now: float) -> None:
        """Restart all suspicions from now."""
        for suspicion in self._by_key.values():
            suspicion.started_at = now
        self.reschedule()
