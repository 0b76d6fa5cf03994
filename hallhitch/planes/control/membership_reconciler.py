"""Reconciliation of the members: agreement where it is missing, then the right members, one member at a time acting.

Owns when a change of members is proposed. One change is: the joint state, finished for the consensus at once, and
finished for leases after the votes on leases by the former members have expired. Invariant: the next change begins
only after that.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.planes.control import membership_policy, state_transitions
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.local_replica import LocalReplica
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.membership_policy import PeerSnapshot, TargetMembers

RECONCILE_INTERVAL_MS: Final = 100.0  # small against PROPOSER_STAGGER_MS, by which members take turns
PROPOSAL_TIMEOUT_MS: Final = 800.0  # for one change: others wait behind it, and the next reconciliation tries again


class GapKind(Enum):
    """Why a state is not fully replicated."""

    LAGGING_MEMBER = "a member holds an older state"
    NO_MAJORITY = "no majority was found to hold the newest state"


@dataclass(frozen=True, slots=True)
class ReplicationGap:
    """What the last read has found missing; another ballot makes it another gap."""

    kind: GapKind
    ballot: Ballot  # of the newest state


@dataclass(frozen=True, slots=True)
class Recommit:
    """Bring the newest state to the members that lack it."""

    gap: ReplicationGap


@dataclass(frozen=True, slots=True)
class FinishReconfiguration:
    """End a joint change for the consensus."""

    membership: Membership


@dataclass(frozen=True, slots=True)
class FinishLeaseTransition:
    """End a joint change for leases."""

    membership: Membership


Action = Recommit | FinishReconfiguration | FinishLeaseTransition | TargetMembers


@dataclass(frozen=True, slots=True)
class _DueAction:
    """An action and since when it has been left to members whose turn comes first."""

    action: Action | None
    since_ms: float


@dataclass(frozen=True, slots=True)
class _LeaseTransition:
    """A change that is finished for the consensus, and when that was known to be committed."""

    membership_version: int
    committed_ms: float


class MembershipReconciler:
    """One member's part in the reconciliation.

    `replication_gap` is what the last read found missing; `has_pending_work` says whether something is to be done,
    here or by a member whose turn comes first. `lease_ms` is for how long votes on leases by former members count.
    """

    def __init__(self, replica: LocalReplica, lease_ms: float) -> None:
        self.replication_gap: ReplicationGap | None = None
        self.tolerated_losses = 0
        self.has_pending_work = False
        self._replica, self._proposer = replica, replica.proposer
        self._lease_ms = lease_ms
        self._due = _DueAction(None, 0.0)
        self._lease_transition = _LeaseTransition(0, 0.0)
        self._log = ComponentLogger("members")
        self._failure_log = RateLimitedLog(self._log)

    async def run(self, may_propose: Callable[[], bool]) -> None:
        """Reconcile again and again while this process may propose; never ends by itself."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_MS / 1000)
            if not may_propose():
                continue
            try:
                await self.reconcile()
            except (PeerCallError, TimeoutError) as error:
                self._failure_log.warning(self._replica.clock(), "reconciliation incomplete", error=error)
            except Exception as error:  # noqa: BLE001  an outer edge: logged, and the process goes on
                self._log.exception("reconciliation failed", error)

    async def reconcile(self) -> None:
        """Do what is to be done, if it is this member's turn."""
        now_ms = self._replica.clock()
        membership = self._newest_membership()
        self._note_lease_transition(now_ms)
        action = self._next_action(membership, now_ms)
        is_change_under_way = bool(membership.previous_members or membership.previous_lease_members)
        self.has_pending_work = action is not None or is_change_under_way
        if action != self._due.action:
            self._due = _DueAction(action, now_ms)
        if action is None or now_ms - self._due.since_ms < self._delay_ms(action, membership, now_ms):
            return
        self._due = _DueAction(None, now_ms)
        await self._perform(action, membership)

    def can_hand_over(self) -> bool:
        """Return whether a change of members is under way or could begin now."""
        membership = self._newest_membership()
        if membership.previous_members or membership.previous_lease_members:
            return True
        observed = self._snapshot(membership, self._replica.clock())
        return membership_policy.target_members(membership.members, observed, self.tolerated_losses) is not None

    def _newest_membership(self) -> Membership:
        return Membership.from_state(self._proposer.newest_seen.state)

    def _snapshot(self, membership: Membership, now_ms: float) -> PeerSnapshot:
        return self._replica.observations.snapshot(membership, now_ms)

    def _note_lease_transition(self, now_ms: float) -> None:
        """Count from the finished change: a joint state that was given up may bear the version of the one chosen."""
        committed = self._proposer.committed_membership
        is_lease_transition = bool(committed.previous_lease_members) and not committed.previous_members
        if is_lease_transition and committed.version != self._lease_transition.membership_version:
            self._lease_transition = _LeaseTransition(committed.version, now_ms)

    def _next_action(self, membership: Membership, now_ms: float) -> Action | None:
        """Return what is to be done first."""
        observed = self._snapshot(membership, now_ms)
        if self.replication_gap is not None:
            return Recommit(self.replication_gap) if membership.has_quorum(observed.reachable) else None
        if membership != self._proposer.committed_membership:
            return None
        if membership.previous_members:
            return FinishReconfiguration(membership)
        if membership.previous_lease_members:
            have_votes_expired = now_ms - self._lease_transition.committed_ms >= self._lease_ms
            return FinishLeaseTransition(membership) if have_votes_expired else None
        return membership_policy.target_members(membership.members, observed, self.tolerated_losses)

    def _delay_ms(self, action: Action, membership: Membership, now_ms: float) -> float:
        """Return how long to leave the action to other members.

        A recommit waits for one turn more, as the state may be on its way to the others at this moment.
        """
        observed = self._snapshot(membership, now_ms)
        delay_ms = membership_policy.proposal_delay_ms(membership.members, self._replica.address, observed)
        return delay_ms + membership_policy.PROPOSER_STAGGER_MS if isinstance(action, Recommit) else delay_ms

    async def _perform(self, action: Action, membership: Membership) -> None:
        match action:
            case Recommit():
                await self._proposer.change(state_transitions.recommit, PROPOSAL_TIMEOUT_MS)
                self.replication_gap = None
            case FinishReconfiguration():
                await self._proposer.change(state_transitions.finish_reconfiguration, PROPOSAL_TIMEOUT_MS)
            case FinishLeaseTransition():
                await self._proposer.change(state_transitions.finish_lease_transition, PROPOSAL_TIMEOUT_MS)
            case TargetMembers():
                await self._reconfigure(action, membership)

    async def _reconfigure(self, target: TargetMembers, membership: Membership) -> None:
        """Commit the joint state and finish it for the consensus."""
        self._log.info("changing membership", members=target.members, reason=target.reason.value)
        transition = state_transitions.reconfigure_members(target.members, membership)
        after = await self._proposer.change(transition, PROPOSAL_TIMEOUT_MS)
        if after.previous_members:
            await self._proposer.change(state_transitions.finish_reconfiguration, PROPOSAL_TIMEOUT_MS)
