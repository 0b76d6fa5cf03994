"""The messages of one ballot: prepares to the members, accepts on top of their promises, answers until the outcome.

Owns the time-outs of a ballot. What the answers mean is decided in `proposal`.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from hallhitch.messages.system_pb2 import ClusterState, Envelope, Promise
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.contention import PhaseDuration, RivalBallots
from hallhitch.planes.control.member_calls import MemberAnswer, MemberCalls
from hallhitch.planes.control.pending_changes import PendingChanges
from hallhitch.planes.control.proposal import (
    AlreadyChosen,
    FoundingConflict,
    MembershipChanged,
    PromiseOutcome,
    Proposal,
    SendAccepts,
)

PREPARE_TIMEOUT_MS: Final = 900.0  # above operator_api.ORDER_TIMEOUT_MS (850): later promises come too late to be used
ACCEPT_TIMEOUT_MS: Final = 2500.0  # an accept may carry a large configuration over a slow link
SPARE_ACCEPTS_WAIT_MS: Final = 150.0  # for the accepts beyond a majority, so that more disks than needed hold a change
REPLY_MARGIN_MS: Final = 20.0  # before the first caller's deadline, in which nothing more is waited for


@dataclass(frozen=True, slots=True)
class Committed:
    """A majority of each set of members holds this state."""

    state: ClusterState


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The ballot ended without an outcome: refused, overtaken, unanswered or cancelled."""


BallotResult = Committed | MembershipChanged | FoundingConflict | Abandoned


@dataclass(frozen=True, slots=True)
class BallotContext:
    """What all ballots of a proposer share.

    `on_commit` gets each state that a majority holds, and its ballot; `is_responsive` says whether a replica is likely
    to answer.
    """

    calls: MemberCalls
    pending: PendingChanges
    rivals: RivalBallots
    phase: PhaseDuration
    on_commit: Callable[[ClusterState, Ballot], None]
    is_responsive: Callable[[str], bool]
    clock: Callable[[], float]

    def rival_wait_ms(self) -> float:
        """Return for how long to let the ballot of another proposer finish; 0 where none is under way."""
        return self.rivals.wait_ms(self.clock(), self.phase.rival_timeout_ms)


class BallotAttempt:
    """The exchange of messages for one proposal."""

    def __init__(self, context: BallotContext, proposal: Proposal) -> None:
        self._context, self._proposal = context, proposal
        self._answers: asyncio.Queue[MemberAnswer] = asyncio.Queue()
        self._unanswered = set(proposal.recipients)
        self._prepares_sent_ms = math.inf
        self._has_measured_phase = False
        self._refusal_deadline_ms = math.inf  # set by the first refusal: unresponsive replicas are not waited for long

    async def run(self) -> BallotResult:
        """Send the messages until the outcome is clear."""
        if not self._proposal.recipients:
            return Abandoned()
        self._send_prepares()
        while (answer := await self._next_answer()) is not None:
            result = self._on_answer(answer)
            if result is None:
                continue
            if isinstance(result, Committed) and self._proposal.is_changed:
                await self._wait_for_spare_accepts()
            return result
        return Abandoned()

    async def _next_answer(self) -> MemberAnswer | None:
        """Return the next answer, or None once a ballot that was refused has waited long enough."""
        deadline_ms = self._refusal_deadline_ms
        timeout_s = None if deadline_ms == math.inf else max(0.0, deadline_ms - self._context.clock()) / 1000
        try:
            async with asyncio.timeout(timeout_s):
                return await self._answers.get()
        except TimeoutError:
            return None

    def _on_answer(self, answer: MemberAnswer) -> BallotResult | None:
        """Handle one answer; return the result of the ballot, or None while it goes on."""
        envelope, proposal = answer.envelope, self._proposal
        if envelope.HasField("promise"):
            result = self._on_promise(answer.member, envelope.promise)
            if result is not None:
                return result
        elif self._on_accept_answer(answer):
            return self._commit()
        is_overtaken = answer.is_refusal and self._is_overtaken()
        if is_overtaken or proposal.has_failed():
            return Abandoned()
        if answer.is_refusal:
            deadline_ms = self._context.clock() + self._context.phase.rival_timeout_ms
            self._refusal_deadline_ms = min(self._refusal_deadline_ms, deadline_ms)
        return None

    def _on_promise(self, member: str, promise: Promise) -> BallotResult | None:
        if not promise.ok and not promise.is_recovering:
            self._record_rival(promise)
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
        """Handle the answer to an accept, or a failed call; return whether the state is committed now."""
        self._unanswered.discard(answer.member)
        if answer.envelope.HasField("accepted"):
            return self._proposal.on_accepted(answer.member, answer.envelope.accepted)
        self._proposal.on_failure(answer.member)
        return False

    def _commit(self) -> Committed:
        state = self._proposal.chosen_state
        self._context.on_commit(state, self._proposal.ballot)
        return Committed(state)

    def _record_rival(self, refusal: Promise) -> None:
        rivals = self._context.rivals
        rivals.record_prepare(Ballot.from_message(refusal.promised), self._context.clock())
        rivals.record_accept(Ballot.from_message(refusal.accepted))

    def _is_overtaken(self) -> bool:
        """Return whether a ballot without a majority of promises has met a higher one that is under way."""
        return self._proposal.state is None and self._context.rival_wait_ms() > 0

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
        """Record how long a majority of promises took; later promises of the ballot are no measure."""
        if self._has_measured_phase:
            return
        self._has_measured_phase = True
        self._context.phase.observe(self._context.clock() - self._prepares_sent_ms)

    async def _wait_for_spare_accepts(self) -> None:
        """Wait a little for the other replicas that are likely to answer, after a majority has the state."""
        context = self._context
        until_first_deadline_ms = context.pending.first_deadline_ms - context.clock() - REPLY_MARGIN_MS
        try:
            async with asyncio.timeout(min(SPARE_ACCEPTS_WAIT_MS, until_first_deadline_ms) / 1000):
                while any(context.is_responsive(member) for member in self._unanswered):
                    answer = await self._answers.get()
                    if answer.envelope.HasField("promise") and answer.envelope.promise.ok:
                        self._proposal.on_promise(answer.member, answer.envelope.promise)
                        self._send_accept(answer.member)
                    else:
                        self._unanswered.discard(answer.member)
        except TimeoutError:
            pass
