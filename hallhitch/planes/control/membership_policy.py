"""Decides which coordinators should be members. Pure functions of their arguments: no clock, no I/O.

Whether members are replaced, added or removed, it is one joint change to the members that `target_members` returns.
Invariants:

- *No even intermediate size*: a candidate replaces a leaving or unresponsive member in one step, and a set grows by as
  many members at once as make its size odd.
- *Never too few members*: without a candidate, no member is removed that is needed for the tolerated losses.
- *Reachable*: a majority of the current members and a majority of the target members are reachable.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

# The following shares are fractions of the catch-up time, within which a lost member must be replaced. After a member
# counts as unresponsive, the other members still take turns to propose the change, and all of that must end in time.
UNRESPONSIVE_SHARE: Final = 0.5
# Four rounds fit into the time after which a member is unresponsive, so one lost reply does not replace a member.
ROUND_INTERVAL_SHARE: Final = 0.125
MAX_ROUND_INTERVAL_MS: Final = 2000.0  # reached at a catch-up time of 16 s; longer ones need no longer interval
# A round and the interval before it are well below the time after which a member is unresponsive.
REPLY_TIMEOUT_SHARE: Final = 0.2
MAX_REPLY_TIMEOUT_MS: Final = 800.0  # below 1 s, after which callers of the operator API give up
# Delay between the turns of two members, so that usually only one proposes: two proposals would only delay each other.
PROPOSER_STAGGER_MS: Final = 400.0


def replicas_needed(tolerated_losses: int) -> int:
    """Return how many replicas are needed so that a majority remains after this many losses."""
    return 2 * tolerated_losses + 1


@dataclass(frozen=True, slots=True)
class ObservationTiming:
    """Times derived from the catch-up time, after which a lost machine no longer counts as a loss."""

    unresponsive_after_ms: float  # a member without a reply for this long is replaced if there is a candidate
    round_interval_ms: float  # between two observation rounds
    reply_timeout_ms: float  # timeout of the replies in one round

    @staticmethod
    def from_catch_up(catch_up_ms: float) -> ObservationTiming:
        """Return the times for the catch-up time in the settings."""
        return ObservationTiming(
            unresponsive_after_ms=UNRESPONSIVE_SHARE * catch_up_ms,
            round_interval_ms=min(MAX_ROUND_INTERVAL_MS, ROUND_INTERVAL_SHARE * catch_up_ms),
            reply_timeout_ms=min(MAX_REPLY_TIMEOUT_MS, REPLY_TIMEOUT_SHARE * catch_up_ms),
        )


class ReconfigurationReason(Enum):
    """Why members change. The value is the text in the log."""

    REPLACE = "leaving or unresponsive member replaced"
    GROW = "more members needed for the tolerated losses"
    SHRINK = "member lost, fewer tolerate the same losses"


@dataclass(frozen=True, slots=True)
class PeerSnapshot:
    """What one process has observed of the coordinators, including itself, at the time of a decision.

    While this process has not listened for long enough, a member without a reply is neither reachable nor unresponsive.
    """

    reachable: frozenset[str]  # replied recently
    leaving: frozenset[str] = frozenset()
    unresponsive: frozenset[str] = frozenset()
    candidates: frozenset[str] = frozenset()  # reachable non-members with the newest state on their disk


@dataclass(frozen=True, slots=True)
class TargetMembers:
    """The members to change to, in sorted order, and the reason."""

    members: tuple[str, ...]
    reason: ReconfigurationReason


def target_members(members: Iterable[str], observed: PeerSnapshot, tolerated_losses: int) -> TargetMembers | None:
    """Return the members to change to; None if the current ones are right or no better set is reachable."""
    current = frozenset(members)
    target = _preferred_target(current, observed, tolerated_losses)
    if target is None or not _has_reachable_majority(current, observed):
        return None
    return target if _has_reachable_majority(frozenset(target.members), observed) else None


def proposal_delay_ms(members: Iterable[str], address: str, observed: PeerSnapshot) -> float:
    """Return how long to wait for other members to propose; infinity for a non-member. Leaving members go first."""
    eligible = (frozenset(members) & observed.reachable) | (frozenset(members) & {address})
    if address not in eligible:
        return float("inf")
    order = sorted(eligible, key=lambda member: (member not in observed.leaving, member))
    return order.index(address) * PROPOSER_STAGGER_MS


def _preferred_target(current: frozenset[str], observed: PeerSnapshot, tolerated_losses: int) -> TargetMembers | None:
    """Return the target regardless of reachability: replacing members comes first, then adding, then removing."""
    departing = _departing(current, observed)
    spares = sorted(observed.candidates - current - observed.leaving - observed.unresponsive)
    if departing and spares:
        replaced = min(len(departing), len(spares))
        after = current - frozenset(departing[:replaced]) | frozenset(spares[:replaced])
        after |= _additions(len(after), spares[replaced:], tolerated_losses)
        return _make_target(after, ReconfigurationReason.REPLACE)
    additions = _additions(len(current), spares, tolerated_losses)
    if additions:
        return _make_target(current | additions, ReconfigurationReason.GROW)
    if departing and len(current) > replicas_needed(tolerated_losses):
        return _shrunk_target(current, departing, tolerated_losses)
    return None


def _departing(current: frozenset[str], observed: PeerSnapshot) -> list[str]:
    """Return the members to replace. The unresponsive ones come first, because leaving members still vote."""
    unresponsive = current & observed.unresponsive
    return sorted(unresponsive) + sorted((current & observed.leaving) - unresponsive)


def _additions(size: int, spares: list[str], tolerated_losses: int) -> frozenset[str]:
    """Return the candidates to add to a set of this size: at most as many as needed, and to an odd size."""
    count = min(replicas_needed(tolerated_losses) - size, len(spares))
    if count > 0 and (size + count) % 2 == 0:
        count -= 1
    return frozenset(spares[: max(count, 0)])


def _shrunk_target(current: frozenset[str], departing: list[str], tolerated_losses: int) -> TargetMembers:
    """Return a set without at least one departing member, of odd size and with no fewer members than needed."""
    staying = sorted(current - frozenset(departing))
    size = max(replicas_needed(tolerated_losses), len(staying) - (len(staying) + 1) % 2)
    kept = (staying + departing[::-1])[:size]
    return _make_target(frozenset(kept), ReconfigurationReason.SHRINK)


def _make_target(members: frozenset[str], reason: ReconfigurationReason) -> TargetMembers:
    return TargetMembers(tuple(sorted(members)), reason)


def _has_reachable_majority(members: frozenset[str], observed: PeerSnapshot) -> bool:
    return 2 * len(members & observed.reachable) > len(members)
