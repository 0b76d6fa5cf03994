"""The control plane of a coordinator: its replica, its proposer, and the rounds in which it hears of the others.

Owns which value this process knows to be committed. Must never tell a value that no majority holds, and never vote
while it does not know what it voted before.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from typing import Protocol

from hallhitch.messages.system_pb2 import AcceptorQuery, AcceptorReport, ClusterState, Envelope
from hallhitch.node.clock import now
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.control import membership_policy
from hallhitch.planes.control.acceptor import DurableAcceptor
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot, BallotedState
from hallhitch.planes.control.graceful_departure import GracefulDeparture
from hallhitch.planes.control.lease_renewal import LeaseBasis, LeaseRenewal
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.membership_reconciler import MembershipReconciler
from hallhitch.planes.control.peer_observations import PeerObservations
from hallhitch.planes.control.proposer import Proposer
from hallhitch.planes.control.serving_lease import ServingLease
from hallhitch.planes.control.state_recovery import StateRecovery
from hallhitch.planes.control.state_store import StateStore
from hallhitch.planes.control.state_transitions import StateTransition
from hallhitch.planes.control.storage import DirectoryStorage, Storage
from hallhitch.planes.control.storage_thread import BlockingRunner, StorageThread
from hallhitch.planes.control.vote_eligibility import VoteEligibility
from hallhitch.planes.control.vote_tally import VoteTally
from hallhitch.planes.values import LeaseMembership

HURRY = 300.0  # ms between rounds at most while something is missing or under way
ANSWER = 800.0  # ms for the answers of a round
YOUNG = 3000.0  # ms from its start in which a coordinator still waits for enough replicas
STANDSTILL = 1000.0  # ms without a tick after which this process surely stood still
TICK = 200.0  # ms
LOAD = 500.0  # ms that a start waits for the disk; one that hangs is read in the background


class Peers(Protocol):
    """What is used of `messages.peer_links.PeerLinks`."""

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """One call; raises StepError."""


class ControlPlane:
    """The cluster configuration on one coordinator. `told` hears each newer committed value, on the loop.

    `lease_ms`: for how long votes on leases by former members may still be counted; 0 where nobody votes on any.
    """

    def __init__(
        self,
        node: NodeSettings,
        links: Peers,
        told: Callable[[ClusterState], None],
        *,
        disk: Storage | None = None,
        run: BlockingRunner | None = None,
        clock: Callable[[], float] = now,
        rng: random.Random | None = None,
        lease_ms: float = 0.0,
    ) -> None:
        self._node, self._links, self._told, self._clock = node, links, told, clock
        self._rng = rng or random.Random()
        self.address = node.internal_address
        self._worker = StorageThread()
        if disk is None and node.data_directory is not None:
            disk = DirectoryStorage(node.data_directory)
        store = StateStore(disk, self.address, node.cluster_name) if disk is not None else None
        self._acceptor = DurableAcceptor(self.address, store, run or self._worker.run, clock)
        self._proposer = Proposer(
            self._acceptor,
            f"{self._rng.getrandbits(64):016x}",
            links.call,
            self._committed,
            self._likely,
            clock,
            self._rng,
        )
        self._eligibility = VoteEligibility(self.address, self._acceptor)
        self._value = ClusterState(config_version=-1)
        self._at: Ballot = INITIAL_BALLOT  # the ballot of the newest value that a majority is known to hold
        self.lease = ServingLease(node.bounds.serving_lease_ms)
        self._renewal = LeaseRenewal(
            self.address, self.lease, self._confirmable, links.call, self._hear_from, self._hear_briefly, clock
        )
        self._known = False  # whether such a value was met in this incarnation
        self._loaded = self._empty = False
        self._loading: asyncio.Task[None] | None = None
        self._told_of: frozenset[str] = frozenset()
        self._began = self._ticked = clock()
        self._timing = membership_policy.ObservationTiming.from_catch_up(node.bounds.catch_up_ms)
        self._contacts = PeerObservations(self.address, self._began, self._timing.unresponsive_after_ms)
        self._heard = self._contacts.last_reply_ms
        self._upkeep = MembershipReconciler(self._proposer, self._contacts, self.address, clock, lease_ms)
        self._upkeep.tolerated_losses = node.tolerated_machine_losses
        self._recovery = StateRecovery(self._acceptor, self._others, self._ask, clock)
        self._departure = GracefulDeparture(
            self._acceptor, self._proposer, self._contacts, self._upkeep, self._tell, links.call, clock
        )
        self._stood = float("-inf")
        self._tasks: list[asyncio.Task[None]] = []
        self._log = ComponentLogger("control")
        self._failing = RateLimitedLog(self._log)

    # --- What the program sees.

    @property
    def committed_state(self) -> ClusterState:
        """The newest value known to be committed; serial 0 before any. Not to be changed."""
        return self._value

    @property
    def members(self) -> tuple[str, ...]:
        """The internal addresses of the replicas, as far as known."""
        return tuple(
            self._value.members or self._proposer.newest_seen.state.members or self._acceptor.state.state.members
        )

    @property
    def lease_membership(self) -> LeaseMembership:
        """Whose votes on leases count, by the newest state that this replica has accepted or knows to be committed.

        Accepted ones count at once: who has accepted a change must not vote for claims that know nothing of it. A
        replica that does not know what it accepted holds nothing, and so names nobody until it has met a majority.
        """
        newest = max(self._value, self._acceptor.state.state, key=lambda state: state.membership_version)
        return LeaseMembership(newest.membership_version, tuple(newest.members), tuple(newest.previous_lease_members))

    @property
    def has_quorum_contact(self) -> bool:
        """Whether a majority has confirmed this process within the serving lease, at this very moment."""
        return self.lease.is_valid(self._clock())

    async def start(self) -> None:
        """Read the disk and begin; a disk in trouble is asked again in the background. Never raises for it."""
        self._began = self._contacts.listening_since_ms = self._ticked = self._clock()
        self._loading = asyncio.ensure_future(self._load())
        await asyncio.wait([self._loading], timeout=LOAD / 1000)
        upkeep = self._upkeep.run(lambda: not self._acceptor.state.is_recovering and not self._refused)
        self._tasks = [
            asyncio.ensure_future(task) for task in (self._rounds(), self._tick(), self._renewal.run(), upkeep)
        ]

    async def leave(self, budget_ms: float) -> None:
        """Hand the seat and the state on, within that time; orders and other members are answered meanwhile."""
        self._contacts.is_leaving = True
        await self._departure.run(budget_ms)

    async def stop(self) -> None:
        """No more rounds, ballots or writes."""
        for task in [*self._tasks, *([self._loading] if self._loading is not None else [])]:
            task.cancel()
        self._renewal.stop()
        self._proposer.stop()
        self._worker.stop()

    def apply_settings(self, node: NodeSettings) -> None:
        """The settings have changed: seeds, losses."""
        self._node = node
        self._timing = membership_policy.ObservationTiming.from_catch_up(node.bounds.catch_up_ms)
        self._contacts.unresponsive_after_ms, self._upkeep.tolerated_losses = (
            self._timing.unresponsive_after_ms,
            node.tolerated_machine_losses,
        )

    def set_live_coordinators(self, addresses: Sequence[str]) -> None:
        """The internal addresses of the coordinators that live, as discovery tells."""
        self._told_of = frozenset(addresses)

    def adopt(self, value: ClusterState) -> None:
        """A committed value that another coordinator told; taken if it is newer."""
        if value.serial > self._value.serial:
            self._value = value
            try:
                self._told(value)
            except Exception as error:  # whoever is told has no part in what was agreed
                self._log.error(f"telling serial {value.serial} failed: {type(error).__name__}: {error}")

    def handle(self, envelope: Envelope) -> Envelope | Awaitable[Envelope] | None:
        """The answer to another replica's message; None where it is not for the register."""
        if envelope.HasField("acceptor_query"):
            self._contacts.record_query(envelope.acceptor_query, self._clock(), self._proposer.newest_seen.ballot)
            return self._acceptor.handle(envelope)
        if envelope.HasField("prepare") or envelope.HasField("accept"):
            return self._acceptor.handle(envelope)
        return None

    async def propose(self, change: StateTransition, patience: float) -> ClusterState:
        """Put a change to the register; the committed value after it. Raises Silent after `patience` ms."""
        if self._refused:
            raise PeerCallError("agree", self.address, self._refused)
        return await self._proposer.change(change, patience)

    @property
    def is_under_replicated(self) -> bool:
        """Whether more replicas are needed for the losses to be borne, and may still be on their way."""
        return self._clock() - self._began < YOUNG and (
            not self._known
            or len(self._proposer.committed_membership.members)
            < membership_policy.replicas_needed(self._node.tolerated_machine_losses)
        )

    @property
    def was_suspended(self) -> bool:
        """Whether this process stood still a moment ago: what it reads now may have waited long."""
        at = self._clock()
        return at - self._ticked > STANDSTILL or at - self._stood < STANDSTILL

    # --- Inside.

    async def _load(self) -> None:
        try:
            found = await self._acceptor.load()
        except OSError as error:
            self._failing.warning(self._clock(), f"the data folder cannot be read: {error}")
            return
        if found is None:
            self._log.warning("there is no data folder: this machine keeps nothing")
        elif found.state is None:
            self._empty = found.is_empty
            if found.is_empty and self._node.is_first_start and self.address in self._node.seed_addresses:
                # Not loaded before it is done: a round would ask the others for a memory that there never was.
                self._loaded = await self._recovery.found_cluster(self._node.seed_addresses)
                return
            self._log.warning("nothing usable in the data folder: the others are asked before any vote")
        self._loaded = True

    def _likely(self, address: str) -> bool:
        return self._contacts.is_responsive(address, self._clock())

    def _learnt(self, value: ClusterState, at: Ballot) -> None:
        """A majority holds this value under this ballot."""
        if at >= self._at:
            self._at, self._known = at, True
            self._proposer.committed_membership = Membership.from_state(value)
        if at > self._proposer.newest_seen.ballot:
            self._proposer.newest_seen = BallotedState(at, value)
        self.adopt(value)

    def _committed(self, value: ClusterState, at: Ballot) -> None:
        """A ballot of our own has ended: whatever was committed before it began is in it, or newer than it."""
        self._learnt(value, at)
        self.lease.confirm(self._proposer.ballot_started_ms)

    def _confirmable(self) -> LeaseBasis | None:
        """What a majority may confirm."""
        if not self._known:
            return None
        state = self._acceptor.state
        own = (
            None
            if state.is_recovering
            else state.report(AcceptorQuery(address=self.address, known_ballot=state.accepted.to_message()))
        )
        return LeaseBasis(
            self._at,
            self._proposer.committed_membership,
            own[1] if own is not None else None,
            self._contacts.is_leaving,
        )

    def _hear_from(self, address: str) -> None:
        self._heard[address] = self._clock()

    async def _hear_briefly(self) -> None:
        await self.read_committed(ANSWER)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK / 1000)
            at = self._clock()
            if at - self._ticked > STANDSTILL:
                self._stood = self._contacts.listening_since_ms = at  # it was this process that was silent
            self._ticked = at

    async def _rounds(self) -> None:
        while True:
            try:
                await self._round()
            except (PeerCallError, TimeoutError) as error:
                self._failing.warning(self._clock(), f"a round ended early: {error}")
            except Exception as error:
                self._log.error(f"a round failed: {type(error).__name__}: {error}")
            await asyncio.sleep(self._gap() * self._rng.uniform(0.8, 1.2) / 1000)

    def _gap(self) -> float:
        """How long to rest between rounds (ms)."""
        under_way = (
            self._upkeep.has_pending_work
            or self._contacts.is_leaving
            or self._contacts.has_unheard_querier(self._clock())
        )
        if not self._known or self._acceptor.state.is_recovering or under_way:
            return min(HURRY, self._timing.round_interval_ms)
        return self._timing.round_interval_ms

    async def _round(self) -> None:
        if not self._loaded and (self._loading is None or self._loading.done()):
            self._loading = asyncio.ensure_future(self._load())
            await asyncio.wait([self._loading], timeout=LOAD / 1000)
        if self._acceptor.state.is_recovering:
            await self._recover()
        await self._hear(self._timing.reply_timeout_ms)
        self._contacts.prune(self._proposer.committed_membership, self._clock())

    def _others(self) -> frozenset[str]:
        """Whom to ask: all who count under any value met; where none is, the seeds and whom discovery tells."""
        states = self._acceptor.state.state, self._proposer.newest_seen.state, self._value
        known = frozenset[str]().union(*(Membership.from_state(state).all_members for state in states))
        if not self._known or not self.has_quorum_contact or self.address not in known:
            known |= frozenset(self._node.seed_addresses) | self._told_of
        return (known | self._contacts.recent_queriers(self._clock())) - {self.address}

    async def _ask(self, address: str, asked: AcceptorQuery, wait: float = ANSWER) -> AcceptorReport | None:
        """What one of the others holds; None where it does not answer."""
        asked.is_leaving = self._contacts.is_leaving
        try:
            answer = (await self._links.call(address, Envelope(acceptor_query=asked), wait)).acceptor_report
        except PeerCallError:
            return None
        self._contacts.last_reply_ms[address] = self._clock()
        if not self._eligibility.check_report(address, answer):
            self._known = False
        return answer

    @property
    def _refused(self) -> str:
        """Why no change is put to the register by this process; empty where there is no reason."""
        is_out = self._contacts.is_leaving and self._departure.has_left
        return self._eligibility.refusal_reason or ("this machine has left the register" if is_out else "")

    async def _tell(self, addresses: frozenset[str], wait: float) -> dict[str, AcceptorReport]:
        """Say who we are, and what the others hold."""
        state = self._acceptor.state
        asked = AcceptorQuery(
            address=self.address, known_ballot=state.accepted.to_message(), can_vote=not state.is_recovering
        )
        return await self._read(addresses, asked, wait)

    async def _read(
        self, addresses: frozenset[str], asked: AcceptorQuery, wait: float = ANSWER
    ) -> dict[str, AcceptorReport]:
        """What the others hold; those who do not answer are left out."""

        order = sorted(addresses)
        answers = await asyncio.gather(*(self._ask(address, asked, wait) for address in order))
        return {address: answer for address, answer in zip(order, answers, strict=True) if answer is not None}

    async def read_committed(self, wait: float) -> None:
        """Ask the others what they hold, within `wait` ms; needs no disk. `value` is newer after it, or as before."""
        with suppress(PeerCallError, TimeoutError):
            async with asyncio.timeout(wait / 1000):
                await self._hear(0.8 * wait)

    async def confirm(self, wait: float) -> bool:
        """Whether a majority confirms within `wait` ms, asked from now on, that `value` is the newest one."""
        asked, ends = self._clock(), self._clock() + wait
        if not await self._renewal.confirm(wait):
            await self.read_committed(ends - self._clock())
        return self.lease.confirmed_at_ms >= asked

    async def _hear(self, wait: float = ANSWER) -> None:
        """What do the others hold? Take what is newer, and learn what a majority has."""
        state, began = self._acceptor.state, self._clock()
        asked = AcceptorQuery(
            address=self.address, known_ballot=state.accepted.to_message(), can_vote=not state.is_recovering
        )
        answers = {one: answer for one, answer in (await self._read(self._others(), asked, wait)).items() if answer.ok}
        for answer in answers.values():
            if Ballot.from_message(answer.accepted) == state.accepted != INITIAL_BALLOT:
                answer.state.CopyFrom(state.state)
        if not state.is_recovering:
            self._heard[self.address] = self._clock()
            answers[self.address] = state.report(AcceptorQuery(address=self.address))[1]
        if not answers:
            return
        newest = max(answers.values(), key=lambda one: Ballot.from_message(one.accepted))
        at, value = Ballot.from_message(newest.accepted), newest.state
        if at > self._proposer.newest_seen.ballot or not self._proposer.newest_seen.state.members:
            self._proposer.newest_seen = BallotedState(at, value)
        tally = VoteTally(Membership.from_state(value).quorum_sets)
        for member, answer in answers.items():
            tally.add(member, Ballot.from_message(answer.accepted) == at, answer.incarnations)
        if tally.has_quorum():
            self._learnt(value, at)
            self.lease.confirm(began)
            behind = [
                one
                for one in Membership.from_state(value).all_members & answers.keys()
                if Ballot.from_message(answers[one].accepted) < at
            ]
            self._wanted(("behind", at) if behind else None)
        elif Membership.from_state(value).has_quorum(answers):
            self._wanted(("agree", at))
        else:
            self._wanted(None)  # a ballot would hang now, and an order that comes as a cut ends would wait behind it
        if at > state.accepted and not state.is_recovering and not self._acceptor.is_busy:
            # The accept that did not reach this replica, or not yet: it may come from anybody.
            await asyncio.wait_for(self._acceptor.accept_from_peer(newest.accepted, value), ANSWER / 1000)

    def _wanted(self, what: object) -> None:
        self._upkeep.replication_gap = what

    async def _recover(self) -> None:
        """This replica does not know what it voted, or there never was anything."""
        if not self._loaded or not self._acceptor.has_storage:
            return
        if not self._others() and self._clock() - self._began > YOUNG and self._may_found_alone():
            await self._recovery.found_single_member()
            return
        await self._recovery.recover()

    def _may_found_alone(self) -> bool:
        """A first start on an empty folder, or the settings name this very machine and no other."""
        if self._node.seed_addresses == (self.address,):
            return True
        return self._node.is_first_start and self._empty and not self._node.seed_addresses
