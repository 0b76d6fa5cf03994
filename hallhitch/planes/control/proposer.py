"""The proposer of a coordinator: runs one ballot at a time, which proposes all pending changes together.

Owns the ballots of this process and the callers that wait for them. Invariant: a caller receives a state only after a
majority of each quorum set holds it on disk.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.node.clock import now
from hallhitch.node.errors import RequestTimeout
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.planes.control.acceptor import DurableAcceptor
from hallhitch.planes.control.ballot import Ballot, BallotedState
from hallhitch.planes.control.ballot_attempt import Abandoned, BallotAttempt, BallotContext, BallotResult, Committed
from hallhitch.planes.control.contention import PhaseDuration
from hallhitch.planes.control.member_calls import MemberCalls, PeerCall
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.pending_changes import PendingChange, PendingChanges
from hallhitch.planes.control.proposal import BootstrapConflict, MembershipChanged, Proposal
from hallhitch.planes.control.state_transitions import StateTransition

# Backoff after a failed ballot: from about one round trip between regions up to a few of them. The actual pause is
# random, between MIN_BACKOFF_RATIO of the backoff and all of it, so that proposers which failed together do not retry
# together.
INITIAL_BACKOFF_MS: Final = 20.0
MAX_BACKOFF_MS: Final = 200.0
MIN_BACKOFF_RATIO: Final = 0.2
# Restarts in a row without a pause, each because the newest state has other members. More of them indicate contention.
MAX_IMMEDIATE_RESTARTS: Final = 3


@dataclass(frozen=True, slots=True)
class ProposerPorts:
    """The functions of its process that a proposer calls.

    `on_commit` is called with each state that a majority holds, and its ballot. `is_responsive` returns whether a
    replica is likely to answer, `are_members_starting` whether the first change of a new cluster waits for all members.
    """

    call_peer: PeerCall
    on_commit: Callable[[ClusterState, Ballot], None]
    is_responsive: Callable[[str], bool]
    are_members_starting: Callable[[], bool]


class Proposer:
    """Proposes and commits changes. `incarnation` distinguishes this process from earlier ones on its machine."""

    def __init__(
        self,
        acceptor: DurableAcceptor,
        incarnation: str,
        ports: ProposerPorts,
        clock: Callable[[], float] = now,
        rng: random.Random | None = None,
    ) -> None:
        self.committed_membership = Membership()  # the newest membership that a majority is known to hold
        self.newest_seen = BallotedState()  # the newest state seen on any replica; its members receive the prepares
        self._acceptor = acceptor
        self._name = f"{acceptor.state.address}#{incarnation}"
        self._clock, self._rng = clock, rng or random.Random()
        self._round = 0
        self._pending = PendingChanges(clock)
        self._calls = MemberCalls(acceptor, ports.call_peer)
        self._are_members_starting = ports.are_members_starting
        self._context = BallotContext(
            self._calls,
            self._pending,
            acceptor.competing_ballots,
            PhaseDuration(),
            ports.on_commit,
            ports.is_responsive,
            clock,
        )
        self._run_task: asyncio.Task[None] | None = None  # runs ballots while changes are pending
        self._ballot_task: asyncio.Task[BallotResult] | None = None  # the ballot in progress
        self._log = ComponentLogger("proposer")
        self._conflict_log = RateLimitedLog(self._log)

    @property
    def ballot_started_ms(self) -> float:
        """The time at which the current or the last ballot began."""
        return self._pending.ballot_started_ms

    async def change(self, transition: StateTransition, timeout_ms: float) -> ClusterState:
        """Commit a change and return the state after it.

        Raises:
            RequestTimeout: no majority within `timeout_ms`; the change may still be committed later.
        """
        change = self._pending.add(transition, timeout_ms)
        if self._run_task is None or self._run_task.done():
            self._run_task = asyncio.ensure_future(self._run())
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await change.outcome
        except TimeoutError:
            raise RequestTimeout("agree", "", f"no majority in {timeout_ms:.0f} ms") from None
        finally:
            change.outcome.cancel()
            self._withdraw(change)

    def stop(self) -> None:
        """Cancel the ballot in progress and start no other."""
        self._calls.cancel()
        if self._run_task is not None:
            self._run_task.cancel()

    def _withdraw(self, change: PendingChange) -> None:
        """Remove a change; cancel the current ballot if no caller is left, because later changes wait for its end."""
        self._pending.discard(change)
        if self._ballot_task is not None and not self._pending.has_caller:
            self._ballot_task.cancel()

    async def _run(self) -> None:
        """Run ballots until no change is pending."""
        backoff_ms, restarts = INITIAL_BACKOFF_MS, 0
        restart_from: BallotedState | None = None
        while self._pending:
            await self._wait_for_competing_ballots()
            result = await self._attempt_ballot(restart_from)
            restart_from = result.newest if isinstance(result, MembershipChanged) else None
            if isinstance(result, Committed):
                backoff_ms, restarts = INITIAL_BACKOFF_MS, 0
                self._pending.complete(result.state)
                continue
            restarts += 1
            may_restart_immediately = restart_from is not None and restarts <= MAX_IMMEDIATE_RESTARTS
            if may_restart_immediately or not self._pending:
                continue
            if self._context.competing_wait_ms() <= 0:  # otherwise the wait for that ballot is enough
                await self._back_off(backoff_ms)
                backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)

    async def _back_off(self, backoff_ms: float) -> None:
        """Sleep for a random part of the backoff, which is at least the failed ballot's duration, up to the maximum.

        If round trips are long, proposers that retried sooner would preempt each other's ballots repeatedly.
        """
        longest_ms = max(backoff_ms, min(self._clock() - self.ballot_started_ms, MAX_BACKOFF_MS))
        await asyncio.sleep(self._rng.uniform(MIN_BACKOFF_RATIO, 1.0) * longest_ms / 1000)

    async def _wait_for_competing_ballots(self) -> None:
        """Wait while a ballot of another proposer is prepared and not yet accepted."""
        competing_ballot_ended = self._acceptor.competing_ballot_ended
        while self._pending and (wait_ms := self._context.competing_wait_ms()) > 0:
            competing_ballot_ended.clear()
            with suppress(TimeoutError):  # a newer ballot may have arrived meanwhile: compute the wait again
                async with asyncio.timeout(wait_ms / 1000):
                    await competing_ballot_ended.wait()

    async def _attempt_ballot(self, restart_from: BallotedState | None) -> BallotResult:
        """Run one ballot in its own task, which `_withdraw` cancels when no caller waits for the ballot."""
        self._pending.begin_ballot()
        self._ballot_task = asyncio.ensure_future(self._run_ballot(restart_from))
        try:
            return await self._ballot_task
        except asyncio.CancelledError:
            this_task = asyncio.current_task()
            if this_task is not None and this_task.cancelling():
                raise  # the proposer itself is stopped, not only this ballot
        except Exception as error:  # noqa: BLE001  # an error in one ballot must not end the proposer
            self._log.exception("ballot failed", error)
        finally:
            self._ballot_task = None
        return Abandoned()

    async def _run_ballot(self, restart_from: BallotedState | None) -> BallotResult:
        proposal = self._propose(restart_from)
        try:
            result = await BallotAttempt(self._context, proposal).run()
        finally:
            self._round = max(self._round, proposal.highest_round_seen)
        if isinstance(result, BootstrapConflict):
            self._conflict_log.warning(
                self._clock(), "bootstrapped with different members", own=result.own.members, peer=result.peer.members
            )
        return result

    def _propose(self, restart_from: BallotedState | None) -> Proposal:
        """Create the next proposal, with a ballot that is higher than all that were seen."""
        replica = self._acceptor.state
        local_state = replica.accepted_state
        newest_known = restart_from or self._newest_known(local_state)
        competing = self._acceptor.competing_ballots.prepared
        self._round = max(self._round, replica.promised.round, newest_known.ballot.round, competing.round) + 1

        def apply_pending(state: ClusterState) -> ClusterState:
            return self._apply_pending(proposal, state)

        ballot = Ballot(self._round, self._name)
        proposal = Proposal(ballot, newest_known, local_state, apply_pending, self.committed_membership)
        proposal.requires_commit = False
        proposal.needs_all_promises = not newest_known.state.serial and self._are_members_starting()
        return proposal

    def _newest_known(self, local_state: BallotedState) -> BallotedState:
        """Return the newest known state; its members receive the prepares."""
        is_local_newer = local_state.ballot > self.newest_seen.ballot
        return local_state if is_local_newer or not self.newest_seen.state.members else self.newest_seen

    def _apply_pending(self, proposal: Proposal, state: ClusterState) -> ClusterState:
        """Apply all pending changes to a state; this is the transition of the proposal."""
        can_change_members = proposal.membership == self.committed_membership
        after = self._pending.apply(state, can_change_members)
        proposal.requires_commit = self._pending.requires_commit
        return after
