"""Damped view of the gateways: how many of them share the servers, and how many share the budgets. No I/O.

The member view may change with every message; placement and budgets must not. A gateway counts for placement only
after it has been present for a minimum time, the number of gateways readmitted in one step is limited, and a suspicion
changes no count. A member that failed stops counting for placement, because another gateway has to take over its
servers. It continues to count for budgets for some time, because it may be partitioned and still spend its share. A
member that left counts for neither.

**Invariant.** Let a gateway count `placement_count` members for placement and `budget_count` for budgets. It uses the
servers for which its rank is below k, and takes 1 / (k * budget_count / placement_count) of a server's capacity,
averaged over its ranks (more at the lowest ranks). Averaged over all servers, these shares add up to at most 1 for
arbitrary views, provided that each gateway counts all running gateways in `budget_count`: a gateway's rank is below k
with probability k / placement_count, so it takes 1 / budget_count on average, and there are at most `budget_count`
gateways. In partitions that do not see each other, the bound holds for every single server: each partition has k
gateways for it, and their shares are reduced in proportion to the partition's size.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Final

import xxhash
from msgspec import Struct

from hallhitch.membership.records import MemberKey, MemberRecord, MemberState, gateway_ids
from hallhitch.membership.rendezvous import RendezvousRanking

MIN_EVALUATION_INTERVAL_MS: Final = 200.0  # while the view keeps changing
# While failed members fade, `budget_count` decreases in steps of more than 5 % instead of at every evaluation.
BUDGET_SHRINK_RATIO: Final = 0.95
ROUNDING_TOLERANCE: Final = 1e-9  # keeps a sum of weights that is an integer but for rounding from being rounded up


class DampingSettings(Struct, frozen=True):
    """Damping periods in ms; the defaults equal those of `[follow]` in the settings file."""

    settle_ms: float = 2_000.0  # how long a new member must be present before it counts for placement
    return_pause_ms: float = 5_000.0  # the same for a member that failed and has returned
    step_ms: float = 1_000.0  # minimum time between changes of placement
    readmission_ratio: float = 0.1  # fraction of the counted members that may be admitted in one step
    budget_hold_ms: float = 15_000.0  # how long a failed member counts in full for budgets
    budget_fade_ms: float = 45_000.0  # how long its weight then takes to fall to 0
    startup_ms: float = 4_000.0  # period after the start in which members are admitted immediately


class GatewayCounts(Struct, frozen=True):
    """The gateway counts and the ranking that the decision module receives."""

    placement_count: int  # gateways that share the servers
    budget_count: int  # gateways that share the budgets
    rank: Callable[[str], int]  # returns this gateway's rank for a server


def readmission_order(name: str) -> int:
    """Return the sort key for readmission: the same in all processes, and unrelated to the names' own order."""
    return xxhash.xxh3_64_intdigest(name.encode())


def _lowest_id_by_name(ids: dict[MemberKey, int]) -> dict[str, int]:
    lowest: dict[str, int] = {}
    for key, gateway_id in ids.items():
        lowest[key.name] = min(gateway_id, lowest.get(key.name, gateway_id))
    return lowest


class DampedView:
    """Derives the gateway counts from the member view."""

    def __init__(self, local: MemberRecord, configured_count: int, damping: DampingSettings, now: float) -> None:
        """Create the view of one gateway.

        Args:
            local: Record of this process.
            configured_count: Number of gateways in the settings, in effect until another gateway is seen.
            damping: Damping periods.
            now: Current time in ms.
        """
        self.damping = damping
        self.ranking = RendezvousRanking(local.name)
        self.wake_at = math.inf  # when to call `evaluate` next
        self._local = local
        self._started_at = now
        self._configured_count = configured_count
        self._present_since: dict[str, float] = {}  # by placement name: start of its uninterrupted presence
        self._failed_at: dict[str, float] = {}
        self._has_seen_others = False
        self._last_counts: tuple[int, int] = (0, 0)
        self._last_placement_at = -math.inf
        self._last_evaluated_at = -math.inf

    def on_view_changed(self, now: float) -> None:
        """Schedule an evaluation; changes in quick succession share one."""
        self.wake_at = min(self.wake_at, max(now, self._last_evaluated_at + MIN_EVALUATION_INTERVAL_MS))

    @staticmethod
    def placement_states(records: Iterable[MemberRecord]) -> dict[str, MemberState]:
        """Return the state of each placement name.

        All processes of one gateway share one placement name. If several gateways are configured with the same name by
        mistake, each has its own placement name.
        """
        listed = list(records)
        ids = gateway_ids(listed)
        lowest_ids = _lowest_id_by_name(ids)
        states: dict[str, MemberState] = {}
        for record in listed:
            name = record.name
            if record.state.is_present:
                gateway_id = ids[record.key]
                if gateway_id != lowest_ids[name]:
                    name = f"{name}/{gateway_id:x}"
            elif name in lowest_ids:
                continue  # replaced by another process of the same name
            states[name] = min(states.get(name, MemberState.LEFT), record.state)
        return states

    def evaluate(self, records: Iterable[MemberRecord], now: float) -> GatewayCounts | None:
        """Update the counts from the view; return them if they have to be published, otherwise None."""
        records = list(records)
        self._last_evaluated_at = now
        self.wake_at = math.inf
        states = self.placement_states(records)
        local_name = self._local_placement_name(records)
        present = {name for name, state in states.items() if state.is_present} | {local_name}
        self._has_seen_others = self._has_seen_others or len(present) > 1
        self._track_presence(states, present, now)
        if not self._has_seen_others:
            return None
        budget_count = self._budget_count(present, now)
        has_fading = bool(self._failed_at) or self._unseen_weight(present, now) > 0
        self.wake_at = now + self.damping.step_ms if has_fading else math.inf
        self._update_placement(present, local_name, now)
        return self._changed_counts(budget_count, len(present), now)

    @property
    def missing_count(self) -> int:
        """Number of absent members that failed recently."""
        return sum(name not in self._present_since for name in self._failed_at)

    @property
    def present_count(self) -> int:
        """Number of present gateways, including this one."""
        return len(self._present_since)

    def _local_placement_name(self, records: list[MemberRecord]) -> str:
        """Return the placement name of this process."""
        local = self._local
        same_name = [record for record in records if record.name == local.name and record.key != local.key]
        lowest_id = min([local.gateway_id, *gateway_ids(same_name).values()])
        return local.name if local.gateway_id == lowest_id else f"{local.name}/{local.gateway_id:x}"

    def _track_presence(self, states: dict[str, MemberState], present: set[str], now: float) -> None:
        """Record since when each name has been present, and when it failed."""
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
                self.ranking.set_gateways(counted | set(self._select_admitted(ready, len(counted), now)))
                self._last_placement_at = now
            else:
                self.wake_at = min(self.wake_at, next_step_at)
        ready_times = [self._present_since[name] + self._delay_ms(name) for name in present - self.ranking.gateways]
        if ready_times:
            self.wake_at = min(self.wake_at, max(self._last_placement_at + self.damping.step_ms, min(ready_times)))

    def _select_admitted(self, ready: set[str], counted: int, now: float) -> list[str]:
        limit = len(ready) if self._is_starting(now) else max(1, math.floor(self.damping.readmission_ratio * counted))
        return sorted(ready, key=readmission_order)[:limit]

    def _changed_counts(self, budget_count: int, present_count: int, now: float) -> GatewayCounts | None:
        """Return the counts if placement has just changed or they differ enough from the last published ones."""
        placement_count = len(self.ranking.gateways)
        budget_count = max(budget_count, placement_count)
        last_placement, last_budget = self._last_counts
        counts = placement_count, budget_count
        # A growing count takes effect immediately, so that a gateway's share of a budget shrinks without delay; a
        # falling count takes effect in steps.
        has_grown = budget_count > last_budget
        has_shrunk = budget_count < BUDGET_SHRINK_RATIO * last_budget or budget_count == present_count
        is_significant = placement_count != last_placement or has_grown or has_shrunk
        has_new_placement = self._last_placement_at == now
        if not has_new_placement and (counts == self._last_counts or not is_significant):
            return None
        self._last_counts = counts
        return GatewayCounts(placement_count, budget_count, self.ranking.rank)

    def _is_starting(self, now: float) -> bool:
        return now - self._started_at < self.damping.startup_ms

    def _delay_ms(self, name: str) -> float:
        """Return how long a name must be present before it counts for placement."""
        if self._is_starting(self._present_since[name]):
            return 0.0
        return self.damping.return_pause_ms if name in self._failed_at else self.damping.settle_ms

    def _ready_names(self, names: set[str], now: float) -> set[str]:
        # The sum must be computed exactly as for `wake_at`: another order of operations may round to a later time, and
        # the evaluation would be due again at once.
        return {name for name in names if now >= self._present_since[name] + self._delay_ms(name)}

    def _budget_weight(self, failed_at: float, now: float) -> float:
        """Return the weight, from 1 down to 0, with which a member that failed at this time counts for budgets."""
        fading_ms = now - failed_at - self.damping.budget_hold_ms
        return 1.0 if fading_ms <= 0 else max(0.0, 1 - fading_ms / self.damping.budget_fade_ms)

    def _unseen_weight(self, present: set[str], now: float) -> float:
        """Return the total budget weight of configured gateways that are not present; it fades from the start on."""
        return max(0, self._configured_count - len(present)) * self._budget_weight(self._started_at, now)

    def _budget_count(self, present: set[str], now: float) -> int:
        failed = sum(
            self._budget_weight(failed_at, now) for name, failed_at in self._failed_at.items() if name not in present
        )
        return math.ceil(len(present) + max(failed, self._unseen_weight(present, now)) - ROUNDING_TOLERANCE)
