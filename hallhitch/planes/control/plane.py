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

from hallhitch.messages.system_pb2 import ClusterState, Envelope, Recover, Recovered
from hallhitch.node.clock import now
from hallhitch.node.errors import StepError
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.node.settings import Node
from hallhitch.planes.control import changes, members
from hallhitch.planes.control.acceptor import DurableAcceptor, Run, Worker
from hallhitch.planes.control.files import Disk, Folder, Store
from hallhitch.planes.control.proposer import Proposer
from hallhitch.planes.control.register import (
    NEVER,
    AcceptorState,
    Ballot,
    Change,
    Membership,
    Recovery,
    Tally,
    founded,
)
from hallhitch.planes.control.renewal import Known, LeaseRenewal
from hallhitch.planes.control.serving import ServingLease

HURRY, CALM = 300.0, 2000.0  # ms between rounds: until the committed value is known, and after
ANSWER = 800.0  # ms for the answers of a round
YOUNG = 3000.0  # ms from its start in which a coordinator still waits for enough replicas
STANDSTILL = 1000.0  # ms without a tick after which this process surely stood still
TICK = 200.0  # ms
LOAD = 500.0  # ms that a start waits for the disk; one that hangs is read in the background


class Peers(Protocol):
    """What is used of `messages.link.Links`."""

    async def call(self, address: str, envelope: Envelope, wait: float) -> Envelope:
        """One call; raises StepError."""


class ControlPlane:
    """The cluster configuration on one coordinator. `told` hears each newer committed value, on the loop."""

    def __init__(
        self,
        node: Node,
        links: Peers,
        told: Callable[[ClusterState], None],
        *,
        disk: Disk | None = None,
        run: Run | None = None,
        clock: Callable[[], float] = now,
        rng: random.Random | None = None,
    ) -> None:
        self._node, self._links, self._told, self._clock = node, links, told, clock
        self._rng = rng or random.Random()
        self.address = node.internal
        self._worker = Worker()
        if disk is None and node.data is not None:
            disk = Folder(node.data)
        store = Store(disk, self.address) if disk is not None else None
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
        self._value = ClusterState(version=-1)
        self._at: Ballot = NEVER  # the ballot of the newest value that a majority is known to hold
        self.lease = ServingLease(node.bounds.serving_lease)
        self._renewal = LeaseRenewal(
            self.address, self.lease, self._confirmable, links.call, self._hear_from, self._hear_briefly, clock
        )
        self._known = False  # whether such a value was met in this incarnation
        self._loaded = self._stepping = False
        self._loading: asyncio.Task[None] | None = None
        self._heard: dict[str, float] = {}
        self._asking: dict[str, float] = {}
        self._told_of: frozenset[str] = frozenset()
        self._due: tuple[object, float] = (None, 0.0)  # what is to be done, and since when it was left to others
        self._began = self._since = self._ticked = clock()
        self._stood = float("-inf")
        self._tasks: list[asyncio.Task[None]] = []
        self._log = ComponentLogger("control")
        self._failing = RateLimitedLog(self._log)

    # --- What the program sees.

    @property
    def value(self) -> ClusterState:
        """The newest value known to be committed; serial 0 before any. Not to be changed."""
        return self._value

    @property
    def members(self) -> tuple[str, ...]:
        """The internal addresses of the replicas, as far as known."""
        return tuple(self._value.members or self._proposer.met[1].members or self._acceptor.state.value.members)

    @property
    def has_quorum_contact(self) -> bool:
        """Whether a majority has confirmed this process within the serving lease, at this very moment."""
        return self.lease.valid(self._clock())

    async def start(self) -> None:
        """Read the disk and begin; a disk in trouble is asked again in the background. Never raises for it."""
        self._began = self._since = self._ticked = self._clock()
        self._loading = asyncio.ensure_future(self._load())
        await asyncio.wait([self._loading], timeout=LOAD / 1000)
        self._tasks = [asyncio.ensure_future(one) for one in (self._rounds(), self._tick(), self._renewal.run())]

    async def stop(self) -> None:
        """No more rounds, ballots or writes."""
        for task in [*self._tasks, *([self._loading] if self._loading is not None else [])]:
            task.cancel()
        self._renewal.stop()
        self._proposer.stop()
        self._worker.stop()

    def settings(self, node: Node) -> None:
        """The settings have changed: seeds, losses."""
        self._node = node

    def coordinators(self, addresses: Sequence[str]) -> None:
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
        if envelope.HasField("recover"):
            asked = envelope.recover
            if asked.address and asked.sound:
                self._asking[asked.address] = self._clock()
            return self._acceptor.handle(envelope)
        if envelope.HasField("prepare") or envelope.HasField("accept"):
            return self._acceptor.handle(envelope)
        return None

    async def change(self, change: Change, patience: float) -> ClusterState:
        """Put a change to the register; the committed value after it. Raises Silent after `patience` ms."""
        return await self._proposer.change(change, patience)

    @property
    def short(self) -> bool:
        """Whether more replicas are needed for the losses to be borne, and may still be on their way."""
        return self._clock() - self._began < YOUNG and (
            not self._known or len(self._proposer.settled.members) < members.needed(self._node.losses)
        )

    @property
    def stood(self) -> bool:
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
        elif found.replica is None:
            if found.empty and self._node.first_start and self.address in self._node.peers:
                # Not loaded before it is done: a round would ask the others for a memory that there never was.
                self._loaded = await self._found()
                return
            self._log.warning("nothing usable in the data folder: the others are asked before any vote")
        self._loaded = True

    async def _found(self) -> bool:
        """The first start of the whole system: nobody has voted yet, and the seeds are the members."""
        try:
            await self._acceptor.become(AcceptorState(self.address, value=founded(self._node.peers)))
        except OSError as error:
            self._failing.warning(self._clock(), f"founding failed: {error}")
            return False
        return True

    def _likely(self, address: str) -> bool:
        return self._clock() - self._heard.get(address, float("-inf")) <= members.FRESH or address == self.address

    def _learnt(self, value: ClusterState, at: Ballot) -> None:
        """A majority holds this value under this ballot."""
        if at >= self._at:
            self._at, self._known = at, True
            self._proposer.settled = Membership.of(value)
        if at > self._proposer.met[0]:
            self._proposer.met = at, value
        self.adopt(value)

    def _committed(self, value: ClusterState, at: Ballot) -> None:
        """A ballot of our own has ended: whatever was committed before it began is in it, or newer than it."""
        self._learnt(value, at)
        self.lease.confirm(self._proposer.began)

    def _confirmable(self) -> Known | None:
        """What a majority may confirm."""
        if not self._known:
            return None
        state = self._acceptor.state
        own = None if state.recovering else state.recover(Recover(address=self.address, known=state.accepted.message()))
        return Known(self._at, self._proposer.settled, own[1] if own is not None else None)

    def _hear_from(self, address: str) -> None:
        self._heard[address] = self._clock()

    async def _hear_briefly(self) -> None:
        await self.look(ANSWER)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK / 1000)
            at = self._clock()
            if at - self._ticked > STANDSTILL:
                self._stood = self._since = at  # it was this process that was silent
            self._ticked = at

    async def _rounds(self) -> None:
        while True:
            try:
                await self._round()
            except (StepError, TimeoutError) as error:
                self._failing.warning(self._clock(), f"a round ended early: {error}")
            except Exception as error:
                self._log.error(f"a round failed: {type(error).__name__}: {error}")
            await asyncio.sleep(self._gap() * self._rng.uniform(0.8, 1.2) / 1000)

    def _gap(self) -> float:
        """How long to rest between rounds (ms)."""
        if not self._known or self._acceptor.state.recovering or self._due[0] is not None or self._stepping:
            return HURRY
        return CALM if self.address in self._proposer.settled.members else 2 * HURRY

    async def _round(self) -> None:
        if not self._loaded and (self._loading is None or self._loading.done()):
            self._loading = asyncio.ensure_future(self._load())
            await asyncio.wait([self._loading], timeout=LOAD / 1000)
        if self._acceptor.state.recovering:
            await self._recover()
        await self._hear()
        if not self._acceptor.state.recovering:
            await self._upkeep()

    def _others(self) -> frozenset[str]:
        """Whom to ask: all who count under any value met; where none is, the seeds and whom discovery tells."""
        states = self._acceptor.state.value, self._proposer.met[1], self._value
        known = frozenset[str]().union(*(Membership.of(state).everybody for state in states))
        if not self._known or not self.has_quorum_contact or self.address not in known:
            known |= frozenset(self._node.peers) | self._told_of
        fresh = (one for one, at in self._asking.items() if self._clock() - at <= members.FRESH)
        return (known | frozenset(fresh)) - {self.address}

    async def _read(self, addresses: frozenset[str], asked: Recover, wait: float = ANSWER) -> dict[str, Recovered]:
        """What the others hold; those who do not answer are left out."""

        async def one(address: str) -> tuple[str, Recovered | None]:
            try:
                answer = await self._links.call(address, Envelope(recover=asked), wait)
            except StepError:
                return address, None
            self._heard[address] = self._clock()
            return address, answer.recovered

        answers = await asyncio.gather(*(one(address) for address in sorted(addresses)))
        return {address: answer for address, answer in answers if answer is not None}

    async def look(self, wait: float) -> None:
        """Ask the others what they hold, within `wait` ms; needs no disk. `value` is newer after it, or as before."""
        with suppress(StepError, TimeoutError):
            async with asyncio.timeout(wait / 1000):
                await self._hear(0.8 * wait)

    async def confirm(self, wait: float) -> bool:
        """Whether a majority confirms within `wait` ms, asked from now on, that `value` is the newest one."""
        asked, ends = self._clock(), self._clock() + wait
        if not await self._renewal.confirm(wait):
            await self.look(ends - self._clock())
        return self.lease.confirmed >= asked

    async def _hear(self, wait: float = ANSWER) -> None:
        """What do the others hold? Take what is newer, and learn what a majority has."""
        state, began = self._acceptor.state, self._clock()
        asked = Recover(address=self.address, known=state.accepted.message(), sound=not state.recovering)
        answers = {one: answer for one, answer in (await self._read(self._others(), asked, wait)).items() if answer.ok}
        for answer in answers.values():
            if Ballot.of(answer.accepted) == state.accepted != NEVER:
                answer.value.CopyFrom(state.value)
        if not state.recovering:
            self._heard[self.address] = self._clock()
            answers[self.address] = state.recover(Recover(address=self.address))[1]
        if not answers:
            return
        newest = max(answers.values(), key=lambda one: Ballot.of(one.accepted))
        at, value = Ballot.of(newest.accepted), newest.value
        if at > self._proposer.met[0] or not self._proposer.met[1].members:
            self._proposer.met = at, value
        tally = Tally(Membership.of(value).sets)
        for member, answer in answers.items():
            tally.add(member, Ballot.of(answer.accepted) == at, answer.incarnations)
        if tally.reached():
            self._learnt(value, at)
            self.lease.confirm(began)
            behind = [
                one for one in Membership.of(value).everybody & answers.keys() if Ballot.of(answers[one].accepted) < at
            ]
            self._wanted(("behind", at) if behind else None)
        elif Membership.of(value).quorum_reached(answers):
            self._wanted(("agree", at))
        else:
            self._wanted(None)  # a ballot would hang now, and an order that comes as a cut ends would wait behind it
        if at > state.accepted and not state.recovering and not self._acceptor.busy:
            # The accept that did not reach this replica, or not yet: it may come from anybody.
            await asyncio.wait_for(self._acceptor.take(newest.accepted, value), ANSWER / 1000)

    def _wanted(self, what: object) -> None:
        if self._due[0] != what:
            self._due = what, self._clock()

    async def _upkeep(self) -> None:
        """Bring about what is missing, each member in its turn: agreement, then the right members."""
        at, what = self._clock(), self._due[0]
        value = self._proposer.met[1]
        wait = members.turn(value, self.address, at, self._heard) + HURRY
        self._stepping = False
        if what is not None:
            if at - self._due[1] >= wait and Membership.of(value).quorum_reached(members.reachable(at, self._heard)):
                await self.change(changes.renew, ANSWER)
                self._wanted(None)
            return
        if Membership.of(value) != self._proposer.settled:
            return
        step = members.step(value, at, self._since, self._heard, self._asking, self._node.losses)
        if step is None or wait == float("inf"):
            return
        self._stepping = True
        if wait > HURRY:
            await asyncio.sleep((wait - HURRY) / 1000)
            await self.look(ANSWER)
        if Membership.of(self._proposer.met[1]) != Membership.of(value):
            return
        among = Membership.of(value)
        match step:
            case members.Settle():
                change: Change = changes.settle
            case members.Add(address):
                self._log.info(f"{address} becomes a replica")
                change = changes.add(address, among)
            case members.Remove(address):
                self._log.info(f"{address} is no replica any more: silent for long")
                change = changes.remove(address, among)
        after = await self.change(change, ANSWER)
        if after.previous:
            after = await self.change(changes.settle, ANSWER)
        if after.lease_previous and not after.previous:
            await self.change(changes.end_lease_transition, ANSWER)

    async def _recover(self) -> None:
        """This replica does not know what it voted: read so many others that nothing it voted can be missed."""
        if not self._loaded or self._acceptor.diskless:
            return
        if not self._others() and self._clock() - self._began > YOUNG:
            self._log.warning("no other machine is known: beginning anew, alone")
            await self._found()
            return
        first = Recovery(self.address)
        await self._consult(first)
        if not first.enough():
            return
        second = Recovery(self.address, first.next_incarnation())
        await self._consult(second)
        if not second.enough() or not self._acceptor.state.recovering:
            return
        try:
            await self._acceptor.become(second.replica())
        except OSError as error:
            self._failing.warning(self._clock(), f"what was read back cannot be kept: {error}")
            return
        self._log.info(f"memory read back from the others, incarnation {second.incarnation}")

    async def _consult(self, recovery: Recovery) -> None:
        """Ask by the newest members met, until they stay the same."""
        asked = frozenset[str]()
        while more := (self._others() | Membership.of(recovery.newest()).everybody) - asked - {self.address}:
            asked |= more
            message = Recover(address=self.address, incarnation=recovery.incarnation)
            for member, answer in (await self._read(more, message)).items():
                recovery.answer(member, answer)
