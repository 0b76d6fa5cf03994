"""The proposer at work: waiting changes go through the register, all of them in one ballot, one ballot at a time.

Owns the ballots of this process. Must never apply a change whose caller has left, and never call a change done before
a majority of each set of members has it on the disk.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

from hallhitch.messages.system_pb2 import ClusterState, Envelope, Promise
from hallhitch.node.clock import now
from hallhitch.node.errors import PeerCallError, RequestTimeout
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.planes.control.acceptor import DurableAcceptor
from hallhitch.planes.control.ballot import Ballot, BallotedState
from hallhitch.planes.control.contention import PhaseTime
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.proposal import AlreadyChosen, FoundingConflict, MembershipChanged, Proposal, SendAccepts
from hallhitch.planes.control.state_transitions import StateTransition, identity

PREPARE, ACCEPT = 900.0, 2500.0  # ms for one answer; a big word on a thin link takes its time
ANSWERED = 20.0  # ms before its caller's patience ends in which nothing more is waited for
LINGER = 150.0  # ms given to the others after a majority has it: more disks than needed
FIRST_PAUSE, LONGEST_PAUSE = 20.0, 200.0  # ms between ballots that came to nothing, drawn at random up to this
MOVES = 3  # times that a ballot may start over by other members without a pause
Call = Callable[[str, Envelope, float], Awaitable[Envelope]]


@dataclass(eq=False, slots=True)
class _Order:
    change: StateTransition
    asked: float  # ms, when it was asked
    ends: float  # ms, when its caller is answered at the latest
    done: asyncio.Future[ClusterState]


class Proposer:
    """Puts changes to the register. `learnt` is told each value that a majority holds."""

    def __init__(
        self,
        acceptor: DurableAcceptor,
        incarnation: str,
        call: Call,
        learnt: Callable[[ClusterState, Ballot], None],
        likely: Callable[[str], bool],
        clock: Callable[[], float] = now,
        rng: random.Random | None = None,
    ) -> None:
        self._acceptor, self._call, self._learnt, self._likely = acceptor, call, learnt, likely
        self._name = f"{acceptor.state.address}#{incarnation}"
        self._clock, self._rng = clock, rng or random.Random()
        self._round = 0
        self._orders: list[_Order] = []
        self._taken: list[_Order] = []  # those that the ballot under way has applied
        self._work: asyncio.Task[None] | None = None
        self._ballot: asyncio.Task[ClusterState | MembershipChanged | None] | None = None
        self.began = clock()  # when the ballot under way, or the last one, began
        self._calls: set[asyncio.Task[None]] = set()
        self._phase = PhaseTime()
        self._prepared: float | None = (
            None  # when the prepares of the ballot under way were sent, until a majority came
        )
        self._log = ComponentLogger("register")
        self._founding = RateLimitedLog(self._log)
        self.committed_membership: Membership = Membership.from_state(
            ClusterState()
        )  # the newest members that a majority is known to have taken
        self.newest_seen = BallotedState()  # the newest value met anywhere: by its members we ask

    async def change(self, change: StateTransition, patience: float) -> ClusterState:
        """Put a change to the register; the value after it. Raises Silent after `patience` ms: it may come yet."""
        order = _Order(change, self._clock(), self._clock() + patience, asyncio.get_running_loop().create_future())
        self._orders.append(order)
        if self._work is None or self._work.done():
            self._work = asyncio.ensure_future(self._serve())
        try:
            async with asyncio.timeout(patience / 1000):
                return await order.done
        except TimeoutError:
            raise RequestTimeout("agree", "", f"no majority in {patience:.0f} ms") from None
        finally:
            order.done.cancel()
            self._leave(order)

    def _leave(self, order: _Order) -> None:
        if order in self._orders:
            self._orders.remove(order)
        if self._ballot is not None and not any(one in self._orders for one in self._taken or self._orders):
            self._ballot.cancel()  # nobody waits for it any more, and others may wait behind it

    def stop(self) -> None:
        """No more ballots."""
        for task in [*self._calls, *([self._work] if self._work is not None else [])]:
            task.cancel()

    async def _serve(self) -> None:
        pause, moves = FIRST_PAUSE, 0
        ask: BallotedState | None = None
        while self._orders:
            await self._give_way()
            self._taken, result = [], None
            self.began = began = self._clock()
            self._ballot = asyncio.ensure_future(self._one(ask))
            try:
                result = await self._ballot
            except asyncio.CancelledError:
                own = asyncio.current_task()
                if own is not None and own.cancelling():
                    raise  # it is this process that ends
            except Exception as error:
                self._log.error(f"a ballot failed: {type(error).__name__}: {error}")
            finally:
                self._ballot = None
            ask = result.found_state if isinstance(result, MembershipChanged) else None
            if isinstance(result, ClusterState):
                pause, moves = FIRST_PAUSE, 0
                for order in self._taken:
                    if not order.done.done():
                        order.done.set_result(result)
                    if order in self._orders:
                        self._orders.remove(order)
                continue
            moves += 1
            if self._orders and (ask is None or moves > MOVES) and self._rival_wait() <= 0:
                # At least as long as a ballot takes here: over long ways two would else chase each other for ever.
                longest = max(pause, min(self._clock() - began, LONGEST_PAUSE))
                await asyncio.sleep(self._rng.uniform(0.2, 1.0) * longest / 1000)
                pause = min(2 * pause, LONGEST_PAUSE)

    def _rival_wait(self) -> float:
        """ms for which the ballot of another proposer is let through; 0 where none is under way."""
        return self._acceptor.rivals.wait_ms(self._clock(), self._phase.patience_ms)

    async def _give_way(self) -> None:
        """Wait while a ballot of another proposer stands between its prepares and its accepts."""
        ended = self._acceptor.rival_ended
        while self._orders and (left := self._rival_wait()) > 0:
            ended.clear()
            with suppress(TimeoutError):  # then looked at again: a newer one may have come meanwhile
                async with asyncio.timeout(left / 1000):
                    await ended.wait()

    def _propose(self, restart_from: BallotedState | None) -> Proposal:
        """The next ballot, above all that were met."""
        replica = self._acceptor.state
        local_state = replica.accepted_state
        basis = restart_from or self._newest_known(local_state)
        rival = self._acceptor.rivals.prepared
        self._round = max(self._round, replica.promised.round, basis.ballot.round, rival.round) + 1

        def apply_orders(state: ClusterState) -> ClusterState:
            return self._apply(proposal, state)

        ballot = Ballot(self._round, self._name)
        proposal = Proposal(ballot, basis, local_state, apply_orders, self.committed_membership)
        proposal.requires_commit = False
        return proposal

    def _newest_known(self, local_state: BallotedState) -> BallotedState:
        """Return the state by whose members to prepare."""
        is_local_newer = local_state.ballot > self.newest_seen.ballot or not self.newest_seen.state.members
        return local_state if is_local_newer else self.newest_seen

    def _apply(self, proposal: Proposal, value: ClusterState) -> ClusterState:
        """All orders that wait, one after the other, on the newest value among the promises.

        Only now, and only for those whose callers still wait (see `changes` on orders that come late): a process that
        stood still finds the end of an order by the clock before its time-out has run. A change of members that may
        not be made on top of these leaves the other orders alone.
        """
        members_may_change = proposal.membership == self.committed_membership
        for order in self._orders:
            if order.done.done() or self._clock() >= order.ends:
                continue
            if order.change is identity and order.asked > self.began:
                continue  # a promise may be older than this read, and no accept will show what came between
            after = order.change(value)
            if Membership.from_state(after) == Membership.from_state(value) or members_may_change:
                value = after
            self._taken.append(order)
            proposal.requires_commit |= order.change is not identity
        return value

    async def _one(self, ask: BallotedState | None) -> ClusterState | MembershipChanged | None:
        """One ballot: the value that a majority holds, by whose members to start over, or None."""
        proposal = self._propose(ask)
        if not proposal.recipients:
            return None
        answers = self._send_prepares(proposal)
        missing, committed = set(proposal.recipients), False
        ends = math.inf  # when a ballot that somebody refused is given up
        while not committed:
            try:
                async with asyncio.timeout(None if ends == math.inf else max(0.0, ends - self._clock()) / 1000):
                    member, answer = await answers.get()
            except TimeoutError:
                return None  # refused, and the others are silent: whoever is behind it is not held up
            if answer.HasField("promise"):
                chosen = self._promised(proposal, member, answer.promise, missing, answers)
                if isinstance(chosen, FoundingConflict):
                    lists = f"{chosen.own.members} and {chosen.peer.members}"
                    self._founding.warning(self._clock(), f"founded with different members, {lists}: not going on")
                    return None
                if isinstance(chosen, MembershipChanged | ClusterState):
                    return chosen
            else:
                missing.discard(member)
                if answer.HasField("accepted"):
                    committed = proposal.on_accepted(member, answer.accepted)
                else:
                    proposal.on_failure(member)
            self._round = max(self._round, proposal.highest_round_seen)
            if not committed and (proposal.has_failed() or (_refused(answer) and self._is_overtaken(proposal))):
                return None
            if _refused(answer):
                ends = min(ends, self._clock() + self._phase.patience_ms)
        value = proposal.state
        assert value is not None
        self._learnt(value, proposal.ballot)
        if proposal.is_changed:
            await self._linger(proposal, missing, answers)
        return value

    def _send_prepares(self, proposal: Proposal) -> asyncio.Queue[tuple[str, Envelope]]:
        """Ask all for their promises; where their answers come."""
        answers: asyncio.Queue[tuple[str, Envelope]] = asyncio.Queue()
        prepare = proposal.prepare_message()
        prepare.is_read = all(order.change is identity for order in self._orders)
        self._prepared = self._clock()
        for member in sorted(proposal.recipients):
            self._ask(member, Envelope(prepare=prepare), PREPARE, answers)
        return answers

    def _is_overtaken(self, proposal: Proposal) -> bool:
        """Whether a ballot without a majority of promises has met a higher one that is on its way to the others too."""
        return proposal.state is None and self._rival_wait() > 0

    def _promised(
        self,
        proposal: Proposal,
        member: str,
        answer: Promise,
        missing: set[str],
        answers: asyncio.Queue[tuple[str, Envelope]],
    ) -> ClusterState | MembershipChanged | FoundingConflict | None:
        """One promise or refusal; the value where nothing has to be handed on for it."""
        if not answer.ok and not answer.is_recovering:
            self._acceptor.rivals.saw_prepare(Ballot.from_message(answer.promised), self._clock())
            self._acceptor.rivals.saw_accept(Ballot.from_message(answer.accepted))
        chosen = proposal.on_promise(member, answer)
        if isinstance(chosen, AlreadyChosen):
            self._learnt(chosen.state, proposal.newest_state.ballot)
            return chosen.state
        if isinstance(chosen, SendAccepts):
            if self._prepared is not None:
                self._phase.measured(self._clock() - self._prepared)
                self._prepared = None
            missing |= chosen.recipients
            for one in sorted(chosen.recipients):
                self._ask(one, Envelope(accept=proposal.accept_message(one)), ACCEPT, answers)
            return None
        return chosen

    async def _linger(
        self, proposal: Proposal, missing: set[str], answers: asyncio.Queue[tuple[str, Envelope]]
    ) -> None:
        """A majority has it; wait a little for the others that are likely to answer."""
        try:
            left = min([LINGER, *(order.ends - self._clock() - ANSWERED for order in self._taken)])
            async with asyncio.timeout(left / 1000):
                while any(self._likely(one) for one in missing):
                    member, answer = await answers.get()
                    if answer.HasField("promise") and answer.promise.ok:
                        proposal.on_promise(member, answer.promise)
                        self._ask(member, Envelope(accept=proposal.accept_message(member)), ACCEPT, answers)
                    else:
                        missing.discard(member)
        except TimeoutError:
            pass

    def _ask(self, member: str, envelope: Envelope, wait: float, answers: asyncio.Queue[tuple[str, Envelope]]) -> None:
        async def ask() -> None:
            try:
                if member == self._acceptor.state.address:
                    answer = await self._acceptor.handle(envelope)
                else:
                    answer = await self._call(member, envelope, wait)
            except PeerCallError:
                answer = Envelope()
            answers.put_nowait((member, answer))

        task = asyncio.ensure_future(ask())
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)


def _refused(answer: Envelope) -> bool:
    """Whether a replica has met a higher ballot."""
    if answer.HasField("promise"):
        return not answer.promise.ok and not answer.promise.is_recovering
    return answer.HasField("accepted") and not answer.accepted.ok and not answer.accepted.is_recovering
