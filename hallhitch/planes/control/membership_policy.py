"""Who should be a replica: plain decisions over what a process has observed. No clock, no I/O.

Every change is one joint change to the target that `target` returns. Invariants:

- no even detour: a leaving or silent member is exchanged for a candidate in one step, and sets grow by as many at once
  as make an odd number;
- never below the needed number: where no candidate is there, nothing is removed that the losses to be borne need;
- never out of reach: most of the present members and most of the target answered a moment ago.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

SILENCE_SHARE = (
    0.5  # of catch-up: a successor must be settled before its catch-up is over, its start and turns included
)
GAP_SHARE = 0.125  # of catch-up, between rounds: four rounds in a silence, so one lost answer replaces nobody
LONGEST_GAP = 2000.0  # ms between rounds at most: enough for any catch-up above 16 s
WAIT_SHARE = 0.2  # of catch-up, for the answers of one round: a round and its gap end well inside a silence
LONGEST_WAIT = 800.0  # ms for the answers of one round at most: one below the callers' second
PROPOSER_STAGGER_MS = 400.0  # ms that each member leaves to the one before it: one proposer is enough


def replicas_needed(losses: int) -> int:
    """How many replicas bear so many losses."""
    return 2 * losses + 1


@dataclass(frozen=True, slots=True)
class ObservationTiming:
    """Times (ms) that follow from `catchUp`, the time after which a loss no longer counts."""

    unresponsive_after_ms: float  # without an answer: out of reach, to be replaced where a candidate is there
    round_interval_ms: float  # between rounds
    reply_timeout_ms: float  # for the answers of a round

    @staticmethod
    def from_catch_up(catch_up: float) -> ObservationTiming:
        """The times for this bound of the settings."""
        return ObservationTiming(
            SILENCE_SHARE * catch_up, min(LONGEST_GAP, GAP_SHARE * catch_up), min(LONGEST_WAIT, WAIT_SHARE * catch_up)
        )


class ReconfigurationReason(Enum):
    """Why members change."""

    REPLACE = "a leaving or silent member is exchanged"
    GROW = "more are needed for the losses to be borne"
    SHRINK = "one is lost, and fewer bear the losses as well"


@dataclass(frozen=True, slots=True)
class PeerSnapshot:
    """What one process knows of the others: `reachable` answered it lately (itself included)."""

    reachable: frozenset[str]
    leaving: frozenset[str] = frozenset()
    unresponsive: frozenset[str] = frozenset()
    candidates: frozenset[str] = frozenset()  # ask for a seat, can be reached, and held the newest state on their disk


@dataclass(frozen=True, slots=True)
class TargetMembers:
    """The members to change to."""

    members: tuple[str, ...]
    reason: ReconfigurationReason


def target_members(members: Iterable[str], observed: PeerSnapshot, losses: int) -> TargetMembers | None:
    """The members that there should be, or None where these are right or nothing better can be reached."""
    present = frozenset(members)
    wanted = _wanted(present, observed, losses)
    if wanted is None or not _most(present, observed.reachable):
        return None
    return wanted if _most(frozenset(wanted.members), observed.reachable) else None


def _wanted(present: frozenset[str], observed: PeerSnapshot, losses: int) -> TargetMembers | None:
    departing = _departing(present, observed)
    spare = sorted(observed.candidates - present - observed.leaving - observed.unresponsive)
    if departing and spare:
        swapped = min(len(departing), len(spare))
        after = present - frozenset(departing[:swapped]) | frozenset(spare[:swapped])
        return _target(after | _growth(len(after), spare[swapped:], losses), ReconfigurationReason.REPLACE)
    growth = _growth(len(present), spare, losses)
    if growth:
        return _target(present | growth, ReconfigurationReason.GROW)
    if departing and len(present) > replicas_needed(losses):
        return _shrunk(present, departing, losses)
    return None


def _departing(present: frozenset[str], observed: PeerSnapshot) -> list[str]:
    """Who should give its seat up, the silent first: those that leave still vote meanwhile."""
    silent = present & observed.unresponsive
    return sorted(silent) + sorted((present & observed.leaving) - silent)


def _growth(size: int, spare: list[str], losses: int) -> frozenset[str]:
    """Who joins a set of this size, so that it is odd after it."""
    room = min(replicas_needed(losses) - size, len(spare))
    if room > 0 and (size + room) % 2 == 0:
        room -= 1
    return frozenset(spare[: max(room, 0)])


def _shrunk(present: frozenset[str], departing: list[str], losses: int) -> TargetMembers:
    """Without at least one that departs; of those that stay as many as make an odd number."""
    staying = sorted(present - frozenset(departing))
    size = max(replicas_needed(losses), len(staying) - (len(staying) + 1) % 2)
    kept = (staying + departing[::-1])[:size]
    return _target(frozenset(kept), ReconfigurationReason.SHRINK)


def _target(members: frozenset[str], reason: ReconfigurationReason) -> TargetMembers:
    return TargetMembers(tuple(sorted(members)), reason)


def _most(members: frozenset[str], reachable: frozenset[str]) -> bool:
    return 2 * len(members & reachable) > len(members)


def proposal_delay_ms(members: Iterable[str], address: str, observed: PeerSnapshot) -> float:
    """How long (ms) to leave what is to be done to others; endless for who is no member. Those that leave act first."""
    able = (frozenset(members) & observed.reachable) | (frozenset(members) & {address})
    order = sorted(able, key=lambda one: (one not in observed.leaving, one))
    return order.index(address) * PROPOSER_STAGGER_MS if address in able else float("inf")
