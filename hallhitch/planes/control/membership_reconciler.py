"""Reconciliation of the members: replicate the newest state fully first, then change to the right members.

Decides when a membership change is proposed; members take turns, so that one of them acts at a time. A change commits
a joint state, is finished for the consensus immediately, and is finished for leases after the votes on leases by the
former members have expired. Invariant: the next change begins only after the current one is finished for leases.
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

RECONCILE_INTERVAL_MS: Final = 100.0  # short compared with PROPOSER_STAGGER_MS, the delay from one turn to the next
PROPOSAL_TIMEOUT_MS: Final = 800.0  # for one change: others wait behind it, and the next reconciliation retries it


class GapKind(Enum):
    """Why a state is not fully replicated."""

    LAGGING_MEMBER = "a member holds an older state"
    NO_MAJORITY = "no majority was found to hold the newest state"


@dataclass(frozen=True, slots=True)
class ReplicationGap:
    """What the last read found missing; a gap of the same kind at another ballot is a new gap."""

    kind: GapKind
    ballot: Ballot  # of the newest state


@dataclass(frozen=True, slots=True)
class Recommit:
    """Replicate the newest state to the members that lack it, by committing it again."""

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
class _DeferredAction:
    """An action that is left to members whose turn comes first, and since when."""

    action: Action | None
    since_ms: float


@dataclass(frozen=True, slots=True)
class _LeaseTransition:
    """A change that is finished for the consensus but not for leases."""

    membership_version: int
    committed_ms: float  # when this process learned that the finished change is committed


class MembershipReconciler:
    """The reconciliation as one member runs it.

    `replication_gap` is what the last read found missing. `has_pending_work` says whether an action is due, here or at
    a member whose turn comes first, or a change is in progress. `lease_ms` is how long votes on leases by former
    members count.
    """

    def __init__(self, replica: LocalReplica, lease_ms: float) -> None:
        self.replication_gap: ReplicationGap | None = None
        self.tolerated_losses = 0
        self.has_pending_work = False
        self._replica, self._proposer = replica, replica.proposer
        self._lease_ms = lease_ms
        self._deferred = _DeferredAction(None, 0.0)
        self._lease_transition = _LeaseTransition(0, 0.0)
        self._log = ComponentLogger("members")
        self._failure_log = RateLimitedLog(self._log)

    async def run(self, may_propose: Callable[[], bool]) -> None:
        """Reconcile periodically while this process may propose; never returns by itself."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_MS / 1000)
            if not may_propose():
                continue
            try:
                await self.reconcile()
            except (PeerCallError, TimeoutError) as error:
                self._failure_log.warning(self._replica.clock(), "reconciliation incomplete", error=error)
            except Exception as error:  # noqa: BLE001  logged here, so that the loop and the process go on
                self._log.exception("reconciliation failed", error)

    async def reconcile(self) -> None:
        """Perform the next action if it is this member's turn."""
        now_ms = self._replica.clock()
        membership = self._newest_membership()
        self._record_lease_transition(now_ms)
        action = self._next_action(membership, now_ms)
        is_change_in_progress = bool(membership.previous_members or membership.previous_lease_members)
        self.has_pending_work = action is not None or is_change_in_progress
        if action != self._deferred.action:
            self._deferred = _DeferredAction(action, now_ms)
        if action is None or now_ms - self._deferred.since_ms < self._delay_ms(action, membership, now_ms):
            return
        self._deferred = _DeferredAction(None, now_ms)
        await self._perform(action, membership)

    def can_hand_over(self) -> bool:
        """Return whether a membership change is in progress or could begin now."""
        membership = self._newest_membership()
        if membership.previous_members or membership.previous_lease_members:
            return True
        observed = self._snapshot(membership, self._replica.clock())
        return membership_policy.target_members(membership.members, observed, self.tolerated_losses) is not None

    def _newest_membership(self) -> Membership:
        return Membership.from_state(self._proposer.newest_seen.state)

    def _snapshot(self, membership: Membership, now_ms: float) -> PeerSnapshot:
        return self._replica.observations.snapshot(membership, now_ms)

    def _record_lease_transition(self, now_ms: float) -> None:
        """Record when a change was first known to be finished for the consensus.

        The expiry of votes on leases is counted from then and not from the joint state, because an abandoned joint
        state may have the same version as the chosen one.
        """
        committed = self._proposer.committed_membership
        is_lease_transition = bool(committed.previous_lease_members) and not committed.previous_members
        if is_lease_transition and committed.version != self._lease_transition.membership_version:
            self._lease_transition = _LeaseTransition(committed.version, now_ms)

    def _next_action(self, membership: Membership, now_ms: float) -> Action | None:
        """Return the action that comes first; None if there is nothing to do or nothing can be done now."""
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

        A recommit waits one turn longer, because the state may still be on its way to the other members.
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
        """Commit the joint state, then finish the change for the consensus."""
        self._log.info("changing membership", members=target.members, reason=target.reason.value)
        transition = state_transitions.reconfigure_members(target.members, membership)
        after = await self._proposer.change(transition, PROPOSAL_TIMEOUT_MS)
        if after.previous_members:
            await self._proposer.change(state_transitions.finish_reconfiguration, PROPOSAL_TIMEOUT_MS)
