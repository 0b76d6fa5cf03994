"""Log lines of membership: one a kind of change and step, however many members it concerns."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

import structlog

from hallhitch.membership.damped_view import GatewayCounts
from hallhitch.membership.member_view import MemberChange
from hallhitch.membership.partition import ViewStatus
from hallhitch.membership.records import MemberRecord, MemberState

MAX_LOGGED_NAMES: Final = 8  # names in one log line; `count` is of all
log = structlog.get_logger()


class MemberEvent(StrEnum):
    """A notable change of a member's state, by its log event."""

    JOINED = "members joined"
    FAILED = "members failed"
    LEFT = "members left"


def classify(change: MemberChange) -> MemberEvent | None:
    """Return the event to log for a change, if it is notable."""
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
    """Writes the log lines and remembers which name conflicts were logged."""

    def __init__(self) -> None:
        self._conflicts: set[str] = set()
        self._present_at_partition = 0

    def started(self, local: MemberRecord, seeds: tuple[str, ...]) -> None:
        """Log that this gateway takes part."""
        log.info("membership started", address=local.address, instance=f"{local.instance:x}", seeds=list(seeds))

    def counts_changed(self, counts: GatewayCounts) -> None:
        """Log new counts for placement and budgets."""
        log.info("gateway counts changed", placement_count=counts.placement_count, budget_count=counts.budget_count)

    def members_changed(self, changes: list[MemberChange], present_count: int) -> None:
        """Log the notable changes of one step, a line for each kind."""
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
        self, before: ViewStatus | None, status: ViewStatus, missing_count: int, present_count: int
    ) -> None:
        """Log that a partition is suspected, has healed, or that its missing members expired."""
        if status is not ViewStatus.COMPLETE:
            self._present_at_partition = present_count
            log.warning(
                "membership partition suspected", view=status.value, missing=missing_count, present=present_count
            )
        elif before is not None:
            has_healed = present_count > self._present_at_partition
            event = "membership partition healed" if has_healed else "missing members expired"
            log.info(event, present=present_count)
