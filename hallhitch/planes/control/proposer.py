"""The proposer of a coordinator: pending changes are put to the consensus, all of them in one ballot at a time.

Owns the ballots of this process and the callers that wait for them. Invariant: a caller gets a state only once a
majority of each set of members holds it on disk.
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
from hallhitch.planes.control.proposal import FoundingConflict, MembershipChanged, Proposal
from hallhitch.planes.control.state_transitions import StateTransition

# Backoff between ballots that failed: from about a round trip between regions up to a few of them. The pause is drawn
# from MIN_BACKOFF_RATIO of it up to all of it, so that proposers which failed together do not begin together again.
INITIAL_BACKOFF_MS: Final = 20.0
MAX_BACKOFF_MS: Final = 200.0
MIN_BACKOFF_RATIO: Final = 0.2
MAX_IMMEDIATE_RESTARTS: Final = 3  # by other members, without a pause: more of them in a row mean contention


@dataclass(frozen=True, slots=True)
class ProposerPorts:
    """What a proposer uses of its process.

    `on_commit` gets each state that a majority holds, and its ballot; `is_responsive` says whether a replica is likely
    to answer.
    """

    call_peer: PeerCall
    on_commit: Callable[[ClusterState, Ballot], None]
    is_responsive: Callable[[str], bool]


class Proposer:
    """Puts changes to the consensus. `incarnation` distinguishes this process from earlier ones of its machine."""

    def __init__(
        self,
        acceptor: DurableAcceptor,
        incarnation: str,
        ports: ProposerPorts,
        clock: Callable[[], float] = now,
        rng: random.Random | None = None,
    ) -> None:
        self.committed_membership = Membership()  # the newest that a majority is known to hold
        self.newest_seen = BallotedState()  # the newest seen anywhere, by whose members to prepare
        self._acceptor = acceptor
        self._name = f"{acceptor.state.address}#{incarnation}"
        self._clock, self._rng = clock, rng or random.Random()
        self._round = 0
        self._pending = PendingChanges(clock)
        self._calls = MemberCalls(acceptor, ports.call_peer)
        self._context = BallotContext(
            self._calls, self._pending, acceptor.rivals, PhaseDuration(), ports.on_commit, ports.is_responsive, clock
        )
        self._work: asyncio.Task[None] | None = None  # runs ballots while changes are pending
        self._ballot: asyncio.Task[BallotResult] | None = None  # the ballot under way
        self._log = ComponentLogger("proposer")
        self._conflict_log = RateLimitedLog(self._log)

    @property
    def ballot_started_ms(self) -> float:
        """When the ballot under way, or the last one, began."""
        return self._pending.ballot_started_ms

    async def change(self, transition: StateTransition, timeout_ms: float) -> ClusterState:
        """Commit a change and return the state after it.

        Raises:
            RequestTimeout: no majority within `timeout_ms`; the change may be committed yet.
        """
        change = self._pending.add(transition, timeout_ms)
        if self._work is None or self._work.done():
            self._work = asyncio.ensure_future(self._run())
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await change.outcome
        except TimeoutError:
            raise RequestTimeout("agree", "", f"no majority in {timeout_ms:.0f} ms") from None
        finally:
            change.outcome.cancel()
            self._withdraw(change)

    def stop(self) -> None:
        """Cancel the ballot under way; no further one begins."""
        self._calls.cancel()
        if self._work is not None:
            self._work.cancel()

    def _withdraw(self, change: PendingChange) -> None:
        """Remove a change; cancel the ballot under way if no caller is left, as later changes wait for its end."""
        self._pending.discard(change)
        if self._ballot is not None and not self._pending.has_caller:
            self._ballot.cancel()

    async def _run(self) -> None:
        """Run ballots until no change is pending."""
        backoff_ms, restarts = INITIAL_BACKOFF_MS, 0
        restart_from: BallotedState | None = None
        while self._pending:
            await self._wait_for_rivals()
            result = await self._attempt(restart_from)
            restart_from = result.found_state if isinstance(result, MembershipChanged) else None
            if isinstance(result, Committed):
                backoff_ms, restarts = INITIAL_BACKOFF_MS, 0
                self._pending.complete(result.state)
                continue
            restarts += 1
            may_restart_at_once = restart_from is not None and restarts <= MAX_IMMEDIATE_RESTARTS
            if may_restart_at_once or not self._pending:
                continue
            if self._context.rival_wait_ms() <= 0:  # otherwise the wait for the rival is pause enough
                await self._back_off(backoff_ms)
                backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)

    async def _back_off(self, backoff_ms: float) -> None:
        """Sleep for a random part of the backoff, which is at least as long as the ballot took, within the maximum.

        With long round trips, proposers that began again sooner would undo each other's ballots again and again.
        """
        longest_ms = max(backoff_ms, min(self._clock() - self.ballot_started_ms, MAX_BACKOFF_MS))
        await asyncio.sleep(self._rng.uniform(MIN_BACKOFF_RATIO, 1.0) * longest_ms / 1000)

    async def _wait_for_rivals(self) -> None:
        """Wait while a ballot of another proposer is between its prepares and its accepts."""
        rival_ended = self._acceptor.rival_ended
        while self._pending and (wait_ms := self._context.rival_wait_ms()) > 0:
            rival_ended.clear()
            with suppress(TimeoutError):  # a newer rival may have come meanwhile, so the wait is computed again
                async with asyncio.timeout(wait_ms / 1000):
                    await rival_ended.wait()

    async def _attempt(self, restart_from: BallotedState | None) -> BallotResult:
        """Run one ballot in a task of its own, which is cancelled once nobody waits for it."""
        self._pending.begin_ballot()
        self._ballot = asyncio.ensure_future(self._run_ballot(restart_from))
        try:
            return await self._ballot
        except asyncio.CancelledError:
            this_task = asyncio.current_task()
            if this_task is not None and this_task.cancelling():
                raise  # the process ends, not only this ballot
        except Exception as error:  # noqa: BLE001  # a fault in one ballot ends that ballot, not the proposer
            self._log.exception("ballot failed", error)
        finally:
            self._ballot = None
        return Abandoned()

    async def _run_ballot(self, restart_from: BallotedState | None) -> BallotResult:
        proposal = self._propose(restart_from)
        try:
            result = await BallotAttempt(self._context, proposal).run()
        finally:
            self._round = max(self._round, proposal.highest_round_seen)
        if isinstance(result, FoundingConflict):
            self._conflict_log.warning(
                self._clock(), "founded with different members", own=result.own.members, peer=result.peer.members
            )
        return result

    def _propose(self, restart_from: BallotedState | None) -> Proposal:
        """Return the next proposal, whose ballot is above all that were seen."""
        replica = self._acceptor.state
        local_state = replica.accepted_state
        basis = restart_from or self._newest_known(local_state)
        rival = self._acceptor.rivals.prepared
        self._round = max(self._round, replica.promised.round, basis.ballot.round, rival.round) + 1

        def apply_pending(state: ClusterState) -> ClusterState:
            return self._apply_pending(proposal, state)

        ballot = Ballot(self._round, self._name)
        proposal = Proposal(ballot, basis, local_state, apply_pending, self.committed_membership)
        proposal.requires_commit = False
        return proposal

    def _newest_known(self, local_state: BallotedState) -> BallotedState:
        """Return the newest known state, by whose members to prepare."""
        is_local_newer = local_state.ballot > self.newest_seen.ballot
        return local_state if is_local_newer or not self.newest_seen.state.members else self.newest_seen

    def _apply_pending(self, proposal: Proposal, state: ClusterState) -> ClusterState:
        """Return the state after all pending changes: the transition of the proposal."""
        can_change_members = proposal.membership == self.committed_membership
        after = self._pending.apply(state, can_change_members)
        proposal.requires_commit = self._pending.requires_commit
        return after
