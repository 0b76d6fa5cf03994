"""The message exchange of one ballot: sends the prepares, then the accepts, and reads the answers until the outcome.

Owns the timeouts of a ballot. `proposal` decides what the answers mean.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from hallhitch.messages.system_pb2 import ClusterState, Envelope, Promise
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.contention import CompetingBallots, PhaseDuration
from hallhitch.planes.control.member_calls import MemberAnswer, MemberCalls
from hallhitch.planes.control.pending_changes import PendingChanges
from hallhitch.planes.control.proposal import (
    AlreadyChosen,
    BootstrapConflict,
    MembershipChanged,
    PromiseOutcome,
    Proposal,
    SendAccepts,
)

PREPARE_TIMEOUT_MS: Final = 900.0  # above operator_api.COMMAND_TIMEOUT_MS (850): later promises are too late to be used
ACCEPT_TIMEOUT_MS: Final = 2500.0  # an accept may carry a large configuration over a slow link
# After a majority has accepted, the longest wait for further members, so that more disks than needed hold a change.
EXTRA_ACCEPTS_WAIT_MS: Final = 150.0
REPLY_MARGIN_MS: Final = 20.0  # the wait for further members ends this long before the first caller's deadline


@dataclass(frozen=True, slots=True)
class Committed:
    """A majority of each quorum set holds this state."""

    state: ClusterState


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The ballot ended without an outcome: it was refused, preempted, not answered or cancelled."""


BallotResult = Committed | MembershipChanged | BootstrapConflict | Abandoned


@dataclass(frozen=True, slots=True)
class BallotContext:
    """The objects that all ballots of a proposer share.

    `on_commit` is called with each state that a majority holds, and its ballot. `is_responsive` returns whether a
    replica is likely to answer.
    """

    calls: MemberCalls
    pending: PendingChanges
    competing_ballots: CompetingBallots
    phase: PhaseDuration
    on_commit: Callable[[ClusterState, Ballot], None]
    is_responsive: Callable[[str], bool]
    clock: Callable[[], float]

    def competing_wait_ms(self) -> float:
        """Return how long to let the ballot of another proposer finish; 0 if none is in progress."""
        return self.competing_ballots.wait_ms(self.clock(), self.phase.competing_timeout_ms)


class BallotAttempt:
    """Sends the messages of one proposal and handles the answers."""

    def __init__(self, context: BallotContext, proposal: Proposal) -> None:
        self._context, self._proposal = context, proposal
        self._answers: asyncio.Queue[MemberAnswer] = asyncio.Queue()
        self._unanswered = set(proposal.recipients)
        self._prepares_sent_ms = math.inf
        self._has_measured_phase = False
        # Set by the first refusal: from then on, replicas that have not answered are waited for only until this time.
        self._refusal_deadline_ms = math.inf

    async def run(self) -> BallotResult:
        """Send the messages and handle the answers until the outcome is known."""
        if not self._proposal.recipients:
            return Abandoned()
        self._send_prepares()
        while (answer := await self._next_answer()) is not None:
            result = self._on_answer(answer)
            if result is None:
                continue
            if isinstance(result, Committed) and self._proposal.is_changed:
                await self._wait_for_extra_accepts()
            return result
        return Abandoned()

    async def _next_answer(self) -> MemberAnswer | None:
        """Return the next answer, or None once the deadline that the first refusal set has passed."""
        deadline_ms = self._refusal_deadline_ms
        timeout_s = None if deadline_ms == math.inf else max(0.0, deadline_ms - self._context.clock()) / 1000
        try:
            async with asyncio.timeout(timeout_s):
                return await self._answers.get()
        except TimeoutError:
            return None

    def _on_answer(self, answer: MemberAnswer) -> BallotResult | None:
        """Handle one answer; return the result of the ballot, or None while the ballot continues."""
        envelope, proposal = answer.envelope, self._proposal
        if envelope.HasField("promise"):
            result = self._on_promise(answer.member, envelope.promise)
            if result is not None:
                return result
        elif self._on_accept_answer(answer):
            return self._commit()
        is_preempted = answer.is_refusal and self._is_preempted()
        if is_preempted or proposal.has_failed():
            return Abandoned()
        if answer.is_refusal:
            deadline_ms = self._context.clock() + self._context.phase.competing_timeout_ms
            self._refusal_deadline_ms = min(self._refusal_deadline_ms, deadline_ms)
        return None

    def _on_promise(self, member: str, promise: Promise) -> BallotResult | None:
        if not promise.ok and not promise.is_recovering:
            self._record_competing_ballot(promise)
        outcome: PromiseOutcome | None = self._proposal.on_promise(member, promise)
        match outcome:
            case AlreadyChosen(state):
                self._context.on_commit(state, self._proposal.newest_state.ballot)
                return Committed(state)
            case SendAccepts(recipients):
                self._measure_phase()
                self._unanswered |= recipients
                for recipient in sorted(recipients):
                    self._send_accept(recipient)
                return None
            case _:
                return outcome

    def _on_accept_answer(self, answer: MemberAnswer) -> bool:
        """Handle the answer to an accept, or a failed call; return whether the state is now committed."""
        self._unanswered.discard(answer.member)
        if answer.envelope.HasField("accepted"):
            return self._proposal.on_accepted(answer.member, answer.envelope.accepted)
        self._proposal.on_failure(answer.member)
        return False

    def _commit(self) -> Committed:
        state = self._proposal.proposed_state
        self._context.on_commit(state, self._proposal.ballot)
        return Committed(state)

    def _record_competing_ballot(self, refusal: Promise) -> None:
        competing_ballots = self._context.competing_ballots
        competing_ballots.record_prepare(Ballot.from_message(refusal.promised), self._context.clock())
        competing_ballots.record_accept(Ballot.from_message(refusal.accepted))

    def _is_preempted(self) -> bool:
        """Return whether a higher ballot is in progress before this one has a majority of promises."""
        return self._proposal.state is None and self._context.competing_wait_ms() > 0

    def _send_prepares(self) -> None:
        prepare = self._proposal.prepare_message()
        prepare.is_read = self._context.pending.are_all_reads
        self._prepares_sent_ms = self._context.clock()
        for member in sorted(self._proposal.recipients):
            self._context.calls.send(member, Envelope(prepare=prepare), PREPARE_TIMEOUT_MS, self._answers)

    def _send_accept(self, member: str) -> None:
        accept = self._proposal.accept_message(member)
        self._context.calls.send(member, Envelope(accept=accept), ACCEPT_TIMEOUT_MS, self._answers)

    def _measure_phase(self) -> None:
        """Record how long a majority of promises took; later promises of the same ballot are not measured."""
        if self._has_measured_phase:
            return
        self._has_measured_phase = True
        self._context.phase.observe(self._context.clock() - self._prepares_sent_ms)

    async def _wait_for_extra_accepts(self) -> None:
        """Wait briefly for the other responsive replicas, after a majority has accepted the state."""
        context = self._context
        until_first_deadline_ms = context.pending.first_deadline_ms - context.clock() - REPLY_MARGIN_MS
        try:
            async with asyncio.timeout(min(EXTRA_ACCEPTS_WAIT_MS, until_first_deadline_ms) / 1000):
                while any(context.is_responsive(member) for member in self._unanswered):
                    answer = await self._answers.get()
                    if answer.envelope.HasField("promise") and answer.envelope.promise.ok:
                        self._proposal.on_promise(answer.member, answer.envelope.promise)
                        self._send_accept(answer.member)
                    else:
                        self._unanswered.discard(answer.member)
        except TimeoutError:
            pass
