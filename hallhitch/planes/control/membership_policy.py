"""The decision which coordinators should be members. Values in, values out: no clock, no I/O.

A replacement, a growth or a shrinkage is one joint change to the members that `target_members` returns. Invariants:

- *No even detour*: a leaving or unresponsive member is replaced by a candidate in one step, and a set grows by as many
  members at once as make its size odd.
- *Never below the needed number*: without a candidate, no member is removed that the tolerated losses need.
- *Reachable*: a majority of the present members and a majority of the target are reachable.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

# Of the catch-up time, within which a lost member must be replaced: the start of the change and the members' turns to
# propose it come on top, and all of it must be over before the catch-up time is.
UNRESPONSIVE_SHARE: Final = 0.5
# Of the catch-up time: four rounds lie in the time after which a member is unresponsive, so one lost reply replaces
# nobody.
ROUND_INTERVAL_SHARE: Final = 0.125
MAX_ROUND_INTERVAL_MS: Final = 2000.0  # enough for any catch-up time above 16 s
# Of the catch-up time: a round and its interval end well within the time after which a member is unresponsive.
REPLY_TIMEOUT_SHARE: Final = 0.2
MAX_REPLY_TIMEOUT_MS: Final = 800.0  # below the second after which callers of the operator API give up
# What each member leaves to the one before it, so that mostly one proposes: two would only delay each other.
PROPOSER_STAGGER_MS: Final = 400.0


def replicas_needed(tolerated_losses: int) -> int:
    """Return how many replicas keep a majority after so many losses."""
    return 2 * tolerated_losses + 1


@dataclass(frozen=True, slots=True)
class ObservationTiming:
    """Times that follow from the catch-up time, after which a lost machine no longer counts as a loss."""

    unresponsive_after_ms: float  # without a reply: unreachable, to be replaced where there is a candidate
    round_interval_ms: float  # between rounds of observation
    reply_timeout_ms: float  # for the replies of one round

    @staticmethod
    def from_catch_up(catch_up_ms: float) -> ObservationTiming:
        """Return the times for a catch-up time of the settings."""
        return ObservationTiming(
            unresponsive_after_ms=UNRESPONSIVE_SHARE * catch_up_ms,
            round_interval_ms=min(MAX_ROUND_INTERVAL_MS, ROUND_INTERVAL_SHARE * catch_up_ms),
            reply_timeout_ms=min(MAX_REPLY_TIMEOUT_MS, REPLY_TIMEOUT_SHARE * catch_up_ms),
        )


class ReconfigurationReason(Enum):
    """Why members change; the value is what the log says."""

    REPLACE = "leaving or unresponsive member replaced"
    GROW = "more members needed for the tolerated losses"
    SHRINK = "member lost, fewer tolerate the same losses"


@dataclass(frozen=True, slots=True)
class PeerSnapshot:
    """What one process has observed of the coordinators, itself included, when a decision is due.

    A member is neither reachable nor unresponsive while this process has not listened for long enough.
    """

    reachable: frozenset[str]  # replied a moment ago
    leaving: frozenset[str] = frozenset()
    unresponsive: frozenset[str] = frozenset()
    candidates: frozenset[str] = frozenset()  # reachable non-members that hold the newest state on their disk


@dataclass(frozen=True, slots=True)
class TargetMembers:
    """The members to change to, sorted."""

    members: tuple[str, ...]
    reason: ReconfigurationReason


def target_members(members: Iterable[str], observed: PeerSnapshot, tolerated_losses: int) -> TargetMembers | None:
    """Return the members to change to; None where these are right or no better ones can be reached."""
    present = frozenset(members)
    target = _preferred_target(present, observed, tolerated_losses)
    if target is None or not _has_reachable_majority(present, observed):
        return None
    return target if _has_reachable_majority(frozenset(target.members), observed) else None


def proposal_delay_ms(members: Iterable[str], address: str, observed: PeerSnapshot) -> float:
    """Return how long to leave a change to other members; infinity for a non-member. Leaving members go first."""
    able = (frozenset(members) & observed.reachable) | (frozenset(members) & {address})
    if address not in able:
        return float("inf")
    order = sorted(able, key=lambda member: (member not in observed.leaving, member))
    return order.index(address) * PROPOSER_STAGGER_MS


def _preferred_target(present: frozenset[str], observed: PeerSnapshot, tolerated_losses: int) -> TargetMembers | None:
    """Return the target if majorities can be reached: replace first, then grow, then shrink."""
    departing = _departing(present, observed)
    spares = sorted(observed.candidates - present - observed.leaving - observed.unresponsive)
    if departing and spares:
        replaced = min(len(departing), len(spares))
        after = present - frozenset(departing[:replaced]) | frozenset(spares[:replaced])
        after |= _additions(len(after), spares[replaced:], tolerated_losses)
        return _target(after, ReconfigurationReason.REPLACE)
    additions = _additions(len(present), spares, tolerated_losses)
    if additions:
        return _target(present | additions, ReconfigurationReason.GROW)
    if departing and len(present) > replicas_needed(tolerated_losses):
        return _shrunk_target(present, departing, tolerated_losses)
    return None


def _departing(present: frozenset[str], observed: PeerSnapshot) -> list[str]:
    """Return the members to replace, the unresponsive first: those that leave still vote meanwhile."""
    unresponsive = present & observed.unresponsive
    return sorted(unresponsive) + sorted((present & observed.leaving) - unresponsive)


def _additions(size: int, spares: list[str], tolerated_losses: int) -> frozenset[str]:
    """Return the candidates that join a set of this size, as many as are needed and make its size odd."""
    count = min(replicas_needed(tolerated_losses) - size, len(spares))
    if count > 0 and (size + count) % 2 == 0:
        count -= 1
    return frozenset(spares[: max(count, 0)])


def _shrunk_target(present: frozenset[str], departing: list[str], tolerated_losses: int) -> TargetMembers:
    """Return the set without at least one departing member, odd in size and not below the needed number."""
    staying = sorted(present - frozenset(departing))
    size = max(replicas_needed(tolerated_losses), len(staying) - (len(staying) + 1) % 2)
    kept = (staying + departing[::-1])[:size]
    return _target(frozenset(kept), ReconfigurationReason.SHRINK)


def _target(members: frozenset[str], reason: ReconfigurationReason) -> TargetMembers:
    return TargetMembers(tuple(sorted(members)), reason)


def _has_reachable_majority(members: frozenset[str], observed: PeerSnapshot) -> bool:
    return 2 * len(members & observed.reachable) > len(members)
