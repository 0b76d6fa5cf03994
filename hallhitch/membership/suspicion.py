"""Suspicions: how long a suspected member has to refute. The time shrinks with each independent accuser.

Source: Dadgar, Phillips, Currey: Lifeguard (2018), "Local Health Aware Suspicion". Times in ms.
"""

from __future__ import annotations

import math
from typing import Final

from hallhitch.membership.records import MemberKey

FULL_CONFIRMATIONS: Final = 3  # independent accusers past the first that shrink the time-out to its minimum
# A failure that another member reports counts as this many accusers: that member has waited out a suspicion already.
REPORTED_FAILURE_WEIGHT: Final = 2


class Suspicion:
    """One member's suspicion, from its first accuser on."""

    __slots__ = ("_full_confirmations", "accusers", "confirmations", "max_timeout_ms", "min_timeout_ms", "started_at")

    def __init__(self, now: float, min_timeout_ms: float, max_timeout_ms: float, other_accusers: int) -> None:
        """`other_accusers` is the number of members that could accuse it besides the first."""
        self.started_at = now
        self.min_timeout_ms = min_timeout_ms
        self.max_timeout_ms = max_timeout_ms
        self.accusers: set[int] = set()
        self.confirmations = -1  # accusers past the first
        self._full_confirmations = FULL_CONFIRMATIONS if other_accusers >= FULL_CONFIRMATIONS else 0

    def accuse(self, accuser: int, weight: int = 1) -> bool:
        """Count an accuser; return whether the accusation is worth passing on."""
        if accuser in self.accusers or self.confirmations >= max(1, self._full_confirmations):
            return False
        self.accusers.add(accuser)
        self.confirmations += weight
        return True

    @property
    def expires_at(self) -> float:
        """When the member is declared failed, unless it is heard until then."""
        if not self._full_confirmations:
            return self.started_at + self.min_timeout_ms
        confirmed_share = math.log(max(0, self.confirmations) + 1) / math.log(self._full_confirmations + 1)
        timeout_ms = self.max_timeout_ms - (self.max_timeout_ms - self.min_timeout_ms) * confirmed_share
        return self.started_at + max(self.min_timeout_ms, timeout_ms)


class SuspicionTable:
    """All suspicions of one view, and when to look at them next."""

    def __init__(self) -> None:
        self._by_key: dict[MemberKey, Suspicion] = {}
        self.wake_at = math.inf

    def open(self, key: MemberKey, suspicion: Suspicion) -> None:
        """Start a member's suspicion, in place of any earlier one."""
        self._by_key[key] = suspicion
        self.wake_at = min(self.wake_at, suspicion.expires_at)

    def close(self, key: MemberKey) -> None:
        """End a member's suspicion, if there is one."""
        self._by_key.pop(key, None)

    def get(self, key: MemberKey) -> Suspicion | None:
        """Return a member's suspicion."""
        return self._by_key.get(key)

    def accuse(self, key: MemberKey, accuser: int, weight: int = 1) -> bool:
        """Count an accuser of a suspected member; return whether the accusation is worth passing on."""
        suspicion = self._by_key.get(key)
        if suspicion is None or not suspicion.accuse(accuser, weight):
            return False
        self.wake_at = min(self.wake_at, suspicion.expires_at)
        return True

    def expired(self, now: float) -> list[MemberKey]:
        """Return the members whose time to refute is over, in order of their keys."""
        return sorted(key for key, suspicion in self._by_key.items() if suspicion.expires_at <= now)

    def reschedule(self) -> None:
        """Compute `wake_at` anew."""
        self.wake_at = min((suspicion.expires_at for suspicion in self._by_key.values()), default=math.inf)

    def postpone(self, delay_ms: float) -> None:
        """Extend all suspicions by a time in which this process stood still."""
        for suspicion in self._by_key.values():
            suspicion.started_at += delay_ms
        self.wake_at += delay_ms

    def restart(self, now: float) -> None:
        """Start all suspicions anew."""
        for suspicion in self._by_key.values():
            suspicion.started_at = now
        self.reschedule()
