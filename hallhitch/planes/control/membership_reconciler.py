"""Upkeep of the register: agreement where it is missing, then the right members, each by one member in its turn.

Owns when a change of members is put to the register. One change is: the joint state, settled at once, and after the
votes on leases by the former members have ended the state without `lease_previous`; the next one waits for that.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.planes.control import membership_policy, state_transitions
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.peer_observations import PeerObservations
from hallhitch.planes.control.proposer import Proposer
from hallhitch.planes.control.state_transitions import StateTransition

TICK = 100.0  # ms between looks: small against any turn
PATIENCE = 800.0  # ms for one change: others wait behind it, and the next look tries again


@dataclass(frozen=True, slots=True)
class Renew:
    """Bring the newest state to those who lack it. `missing` tells one occasion from another."""

    missing: object


@dataclass(frozen=True, slots=True)
class Settle:
    """End a joint change for the register."""

    membership: Membership


@dataclass(frozen=True, slots=True)
class EndLeaseTransition:
    """End a joint change for leases."""

    membership: Membership


Duty = Renew | Settle | EndLeaseTransition | membership_policy.TargetMembers


class MembershipReconciler:
    """One member's part in it. `missing` tells what no majority, or not every member, was last found to hold."""

    def __init__(
        self,
        proposer: Proposer,
        contacts: PeerObservations,
        address: str,
        clock: Callable[[], float],
        lease_ms: float,
    ) -> None:
        self._proposer, self._contacts, self._address, self._clock = proposer, contacts, address, clock
        self._lease_ms = lease_ms
        self.replication_gap: object = None
        self.tolerated_losses = 0
        self.has_pending_work = False  # whether something is to be done, here or by a member whose turn comes first
        self._duty: tuple[Duty | None, float] = (None, 0.0)  # and since when it was left to others
        self._transition: tuple[int, float] = (0, 0.0)  # version of a settled state, and when it was known committed
        self._log = ComponentLogger("members")
        self._failing = RateLimitedLog(self._log)

    async def run(self, able: Callable[[], bool]) -> None:
        """Look and act for ever; `able` says whether this process may propose."""
        while True:
            await asyncio.sleep(TICK / 1000)
            if not able():
                continue
            try:
                await self.reconcile()
            except (PeerCallError, TimeoutError) as error:
                self._failing.warning(self._clock(), f"upkeep ended early: {error}")
            except Exception as error:
                self._log.error(f"upkeep failed: {type(error).__name__}: {error}")

    async def reconcile(self) -> None:
        """Do what is to be done, if it is this member's turn."""
        at = self._clock()
        membership = Membership.from_state(self._proposer.newest_seen.state)
        self._note_transition(at)
        duty = self._next(membership, at)
        self.has_pending_work = duty is not None or bool(
            membership.previous_members or membership.previous_lease_members
        )
        if duty != self._duty[0]:
            self._duty = duty, at
        if duty is None or at - self._duty[1] < self._turn(duty, membership, at):
            return
        self._duty = None, at
        await self._do(duty, membership)

    def can_hand_over(self) -> bool:
        """Whether a change of members is under way, or could be made now."""
        membership = Membership.from_state(self._proposer.newest_seen.state)
        if membership.previous_members or membership.previous_lease_members:
            return True
        observed = self._contacts.snapshot(membership, self._clock())
        return membership_policy.target_members(membership.members, observed, self.tolerated_losses) is not None

    def _note_transition(self, at: float) -> None:
        """Counted from the settled state: a joint state that was given up may bear the number of the one chosen."""
        known = self._proposer.committed_membership
        if known.previous_lease_members and not known.previous_members and known.version != self._transition[0]:
            self._transition = known.version, at

    def _next(self, membership: Membership, at: float) -> Duty | None:
        """What is to be done first."""
        observed = self._contacts.snapshot(membership, at)
        if self.replication_gap is not None:
            return Renew(self.replication_gap) if membership.has_quorum(observed.reachable) else None
        if membership != self._proposer.committed_membership:
            return None
        if membership.previous_members:
            return Settle(membership)
        if membership.previous_lease_members:
            return EndLeaseTransition(membership) if at - self._transition[1] >= self._lease_ms else None
        return membership_policy.target_members(membership.members, observed, self.tolerated_losses)

    def _turn(self, duty: Duty, membership: Membership, at: float) -> float:
        """How long this one is left to others, and for a state that may be on its way to the others at this moment."""
        turn = membership_policy.proposal_delay_ms(
            membership.members, self._address, self._contacts.snapshot(membership, at)
        )
        return turn + membership_policy.PROPOSER_STAGGER_MS if isinstance(duty, Renew) else turn

    async def _do(self, duty: Duty, membership: Membership) -> None:
        match duty:
            case Renew():
                await self._change(state_transitions.recommit)
                self.replication_gap = None
            case Settle():
                await self._change(state_transitions.finish_reconfiguration)
            case EndLeaseTransition():
                await self._change(state_transitions.finish_lease_transition)
            case membership_policy.TargetMembers():
                self._log.info(f"members become {', '.join(duty.members)}: {duty.reason.value}")
                after = await self._change(state_transitions.reconfigure_members(duty.members, membership))
                if after.previous_members:
                    await self._change(state_transitions.finish_reconfiguration)

    async def _change(self, change: StateTransition) -> ClusterState:
        return await self._proposer.change(change, PATIENCE)
