"""Log lines of membership: per step at most one line for each kind of change, regardless of the number of members."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

import structlog

from hallhitch.membership.damped_view import GatewayCounts
from hallhitch.membership.member_view import MemberChange
from hallhitch.membership.partition import ViewStatus
from hallhitch.membership.records import MemberRecord, MemberState

MAX_LOGGED_NAMES: Final = 8  # in one log line; its `count` field gives the total
log = structlog.get_logger()


class MemberEvent(StrEnum):
    """A change of a member's state that is logged; the value is the log event."""

    JOINED = "members joined"
    FAILED = "members failed"
    LEFT = "members left"


def classify(change: MemberChange) -> MemberEvent | None:
    """Return the event to log for a change, or None if it is not logged."""
    match change.record.state:
        case MemberState.ALIVE if change.previous_state is None or not change.previous_state.is_present:
            return MemberEvent.JOINED
        case MemberState.FAILED if change.previous_state is not None:
            return MemberEvent.FAILED
        case MemberState.LEFT:
            return MemberEvent.LEFT
        case _:
            return None


class MembershipLog:
    """Writes the log lines, and keeps the name conflicts that have been logged."""

    def __init__(self) -> None:
        self._conflicts: set[str] = set()
        self._present_at_partition = 0

    def started(self, local: MemberRecord, seeds: tuple[str, ...]) -> None:
        """Log that this gateway has joined the group."""
        log.info("membership started", address=local.address, instance=f"{local.instance:x}", seeds=list(seeds))

    def counts_changed(self, counts: GatewayCounts) -> None:
        """Log the new gateway counts for placement and budgets."""
        log.info("gateway counts changed", placement_count=counts.placement_count, budget_count=counts.budget_count)

    def members_changed(self, changes: list[MemberChange], present_count: int) -> None:
        """Log the changes of one step, one line for each event."""
        names_by_event: dict[MemberEvent, list[str]] = {}
        for change in changes:
            event = classify(change)
            if event is not None:
                names_by_event.setdefault(event, []).append(change.record.name)
        for event, names in names_by_event.items():
            write = log.warning if event is MemberEvent.FAILED else log.info
            write(event.value, names=names[:MAX_LOGGED_NAMES], count=len(names), present=present_count)

    def conflicts_changed(self, conflicts: dict[str, tuple[int, ...]]) -> None:
        """Log name conflicts that are new or resolved."""
        names = set(conflicts)
        for name in sorted(names - self._conflicts):
            log.error("member name conflict", name=name, instances=[f"{i:x}" for i in conflicts[name]])
        for name in sorted(self._conflicts - names):
            log.info("member name conflict resolved", name=name)
        self._conflicts = names

    def status_changed(
        self, previous: ViewStatus | None, status: ViewStatus, missing_count: int, present_count: int
    ) -> None:
        """Log that a partition is suspected or has healed, or that its missing members no longer count."""
        if status is not ViewStatus.COMPLETE:
            self._present_at_partition = present_count
            log.warning(
                "membership partition suspected", view=status.value, missing=missing_count, present=present_count
            )
        elif previous is not None:
            has_healed = present_count > self._present_at_partition
            event = "membership partition healed" if has_healed else "missing members expired"
            log.info(event, present=present_count)
