"""Damped view of the gateways: how many share the servers, and how many the budgets. No I/O.

The member view changes with every message; placement and budgets do not. A name counts for placement once it has been
present for a while, at most a part of the names come back at a step, and a suspicion changes nothing. A member that
failed stops counting for placement, as its servers need another gateway, but goes on counting for budgets: it may be
partitioned and spend its share. A member that left counts for neither.

**Invariant.** Let a gateway count `placement_count` members for placement and `budget_count` for budgets. It serves
the servers where its rank is below k, and takes 1 / (k * budget_count / placement_count) of what a server bears, in
the mean over its ranks (more at the first ones). Over all servers these shares add up to at most 1 in the mean,
whatever the views, as long as each gateway counts all that run: a gateway's rank is below k with probability
k / placement_count, so it takes 1 / budget_count in the mean, and there are at most `budget_count` gateways. In
partitions that do not see each other it holds at every server: k gateways in each, whose shares are as much smaller as
their partition is.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Final

import xxhash
from msgspec import Struct

from hallhitch.membership.records import MemberKey, MemberRecord, MemberState, gateway_ids
from hallhitch.membership.rendezvous import RendezvousRanking

MIN_EVALUATION_INTERVAL_MS: Final = 200.0  # while the view goes on changing
# Budgets grow by steps of a twentieth, so that fading members do not change them at every evaluation.
BUDGET_SHRINK_RATIO: Final = 0.95
ROUNDING_SLACK: Final = 1e-9  # sums of fading shares that are whole but for rounding


class DampingSettings(Struct, frozen=True):
    """Times in ms; the defaults are those of `[follow]` in the settings file."""

    settle_ms: float = 2_000.0  # a newcomer is present before it counts for placement
    return_pause_ms: float = 5_000.0  # a member that failed is back before it does
    step_ms: float = 1_000.0  # between changes of placement
    readmission_ratio: float = 0.1  # of the counted members, that may come back at a step
    budget_hold_ms: float = 15_000.0  # a failed member counts in full for budgets
    budget_fade_ms: float = 45_000.0  # over which it then stops counting
    startup_ms: float = 4_000.0  # from the start on in which all members are admitted at once


class GatewayCounts(Struct, frozen=True):
    """What the decision module is given."""

    placement_count: int  # gateways that share the servers
    budget_count: int  # gateways that share the budgets
    rank: Callable[[str], int]  # this gateway's rank in a server's order


def readmission_order(name: str) -> int:
    """Return the position at which a name is readmitted: the same in all processes, unrelated to the names' order."""
    return xxhash.xxh3_64_intdigest(name.encode())


def _least_id_by_name(ids: dict[MemberKey, int]) -> dict[str, int]:
    least: dict[str, int] = {}
    for key, gateway_id in ids.items():
        least[key.name] = min(gateway_id, least.get(key.name, gateway_id))
    return least


class DampedView:
    """Follows a member view and derives the gateway counts."""

    def __init__(self, local: MemberRecord, configured_count: int, damping: DampingSettings, now: float) -> None:
        """`configured_count` is the number of gateways by the settings, which holds until another one is seen."""
        self.damping = damping
        self.ranking = RendezvousRanking(local.name)
        self.wake_at = math.inf  # when to call `evaluate` next
        self._local = local
        self._started_at = now
        self._configured_count = configured_count
        self._present_since: dict[str, float] = {}  # by placement name, without a break
        self._failed_at: dict[str, float] = {}
        self._has_seen_others = False
        self._last_counts: tuple[int, int] = (0, 0)
        self._last_placement_at = -math.inf
        self._last_evaluated_at = -math.inf

    def on_view_changed(self, now: float) -> None:
        """Schedule an evaluation soon, one for many changes."""
        self.wake_at = min(self.wake_at, max(now, self._last_evaluated_at + MIN_EVALUATION_INTERVAL_MS))

    @staticmethod
    def placement_states(records: Iterable[MemberRecord]) -> dict[str, MemberState]:
        """Map placement names to states.

        A gateway has one name, however many processes it has; another gateway that uses the same name by mistake gets
        a name of its own.
        """
        listed = list(records)
        ids = gateway_ids(listed)
        least_ids = _least_id_by_name(ids)
        states: dict[str, MemberState] = {}
        for record in listed:
            name = record.name
            if record.state.is_present:
                gateway_id = ids[record.key]
                if gateway_id != least_ids[name]:
                    name = f"{name}/{gateway_id:x}"
            elif name in least_ids:
                continue  # another process is present in its place
            states[name] = min(states.get(name, MemberState.LEFT), record.state)
        return states

    def evaluate(self, records: Iterable[MemberRecord], now: float) -> GatewayCounts | None:
        """Follow the view and return the counts, or None while they stay as they are."""
        records = list(records)
        self._last_evaluated_at = now
        self.wake_at = math.inf
        states = self.placement_states(records)
        local_name = self._local_placement_name(records)
        present = {name for name, state in states.items() if state.is_present} | {local_name}
        self._has_seen_others = self._has_seen_others or len(present) > 1
        self._track(states, present, now)
        if not self._has_seen_others:
            return None
        budget_count = self._budget_count(present, now)
        has_fading = bool(self._failed_at) or self._unseen_share(present, now) > 0
        self.wake_at = now + self.damping.step_ms if has_fading else math.inf
        self._update_placement(present, local_name, now)
        return self._changed_counts(budget_count, len(present), now)

    @property
    def missing_count(self) -> int:
        """Number of members that failed not long ago."""
        return sum(name not in self._present_since for name in self._failed_at)

    @property
    def present_count(self) -> int:
        """Number of present gateways, this one included."""
        return len(self._present_since)

    def _local_placement_name(self, records: list[MemberRecord]) -> str:
        """Return the name under which this very process is ranked."""
        local = self._local
        namesakes = [record for record in records if record.name == local.name and record.key != local.key]
        least_id = min([local.gateway_id, *gateway_ids(namesakes).values()])
        return local.name if local.gateway_id == least_id else f"{local.name}/{local.gateway_id:x}"

    def _track(self, states: dict[str, MemberState], present: set[str], now: float) -> None:
        """Keep since when names are present, and when they failed."""
        for name in present - self._present_since.keys():
            self._present_since[name] = now
        for name in [name for name in self._present_since if name not in present]:
            del self._present_since[name]
            if states.get(name) is MemberState.FAILED:
                self._failed_at[name] = now
        for name in list(self._failed_at):
            has_faded = now - self._failed_at[name] > self.damping.budget_hold_ms + self.damping.budget_fade_ms
            has_left = states.get(name) is MemberState.LEFT
            is_readmitted = name in present and name in self.ranking.gateways
            if has_faded or has_left or is_readmitted:
                del self._failed_at[name]

    def _update_placement(self, present: set[str], local_name: str, now: float) -> None:
        """Drop absent names from the ranking and admit those that have been present long enough."""
        counted = self.ranking.gateways & present | {local_name}
        ready = self._ready_names(present - counted, now)
        next_step_at = self._last_placement_at + self.damping.step_ms
        if ready or counted != self.ranking.gateways:
            if now >= next_step_at:
                self.ranking.rename(local_name)
                self.ranking.set_gateways(counted | set(self._admitted(ready, len(counted), now)))
                self._last_placement_at = now
            else:
                self.wake_at = min(self.wake_at, next_step_at)
        ready_times = [self._present_since[name] + self._delay_ms(name) for name in present - self.ranking.gateways]
        if ready_times:
            self.wake_at = min(self.wake_at, max(self._last_placement_at + self.damping.step_ms, min(ready_times)))

    def _admitted(self, ready: set[str], counted: int, now: float) -> list[str]:
        limit = len(ready) if self._is_starting(now) else max(1, math.floor(self.damping.readmission_ratio * counted))
        return sorted(ready, key=readmission_order)[:limit]

    def _changed_counts(self, budget_count: int, present_count: int, now: float) -> GatewayCounts | None:
        """Return the counts if they differ enough from the last ones, or placement has just changed."""
        placement_count = len(self.ranking.gateways)
        budget_count = max(budget_count, placement_count)
        last_placement, last_budget = self._last_counts
        counts = placement_count, budget_count
        # Shares of a budget shrink at once, and grow by steps.
        has_grown = budget_count > last_budget
        has_shrunk = budget_count < BUDGET_SHRINK_RATIO * last_budget or budget_count == present_count
        is_notable = placement_count != last_placement or has_grown or has_shrunk
        has_new_placement = self._last_placement_at == now
        if not has_new_placement and (counts == self._last_counts or not is_notable):
            return None
        self._last_counts = counts
        return GatewayCounts(placement_count, budget_count, self.ranking.rank)

    def _is_starting(self, now: float) -> bool:
        return now - self._started_at < self.damping.startup_ms

    def _delay_ms(self, name: str) -> float:
        """Return how long a name has to be present before it counts for placement."""
        if self._is_starting(self._present_since[name]):
            return 0.0
        return self.damping.return_pause_ms if name in self._failed_at else self.damping.settle_ms

    def _ready_names(self, names: set[str], now: float) -> set[str]:
        # The same sum as in `wake_at`: another order of operations may round to a time that is not yet due.
        return {name for name in names if now >= self._present_since[name] + self._delay_ms(name)}

    def _budget_share(self, failed_at: float, now: float) -> float:
        """Return how much of a member that failed at this time still counts for budgets."""
        fading_ms = now - failed_at - self.damping.budget_hold_ms
        return 1.0 if fading_ms <= 0 else max(0.0, 1 - fading_ms / self.damping.budget_fade_ms)

    def _unseen_share(self, present: set[str], now: float) -> float:
        """Return how many of the configured gateways were never seen, as far as they still count."""
        return max(0, self._configured_count - len(present)) * self._budget_share(self._started_at, now)

    def _budget_count(self, present: set[str], now: float) -> int:
        failed = sum(
            self._budget_share(failed_at, now) for name, failed_at in self._failed_at.items() if name not in present
        )
        return math.ceil(len(present) + max(failed, self._unseen_share(present, now)) - ROUNDING_SLACK)
