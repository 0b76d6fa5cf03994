"""The control plane of a coordinator: the interface that the coordinator program uses.

Owns the components of the replica, their tasks, and the rounds in which the replica observes its peers. Invariants:

- A majority of each set of members holds `committed_state`; see the module `committed_state`.
- Nothing is proposed after the replica has left the membership, or has met a replica that was founded with different
  members; see `graceful_departure` and `vote_eligibility`.
- A recovering replica changes no members, and its own vote does not count; see `state_recovery` and `acceptor_state`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, Protocol

from hallhitch.messages.system_pb2 import AcceptorQuery, ClusterState, Envelope
from hallhitch.node.clock import now
from hallhitch.node.errors import PeerCallError
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.control.acceptor import DurableAcceptor
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.committed_state import CommittedState
from hallhitch.planes.control.graceful_departure import GracefulDeparture
from hallhitch.planes.control.lease_renewal import LeaseBasis, LeaseRenewal, RenewalPorts
from hallhitch.planes.control.local_replica import LocalReplica
from hallhitch.planes.control.membership_policy import ObservationTiming, replicas_needed
from hallhitch.planes.control.membership_reconciler import MembershipReconciler, ReplicationGap
from hallhitch.planes.control.observation_rounds import ObservationRounds
from hallhitch.planes.control.peer_observations import PeerObservations
from hallhitch.planes.control.proposer import Proposer, ProposerPorts
from hallhitch.planes.control.replica_startup import ReplicaStartup
from hallhitch.planes.control.serving_lease import ServingLease
from hallhitch.planes.control.state_observer import QUERY_TIMEOUT_MS, StateObserver
from hallhitch.planes.control.state_recovery import StateRecovery
from hallhitch.planes.control.state_store import StateStore
from hallhitch.planes.control.state_transitions import StateTransition
from hallhitch.planes.control.storage import DirectoryStorage, Storage
from hallhitch.planes.control.storage_thread import BlockingRunner, StorageThread
from hallhitch.planes.control.suspension_detector import SuspensionDetector
from hallhitch.planes.values import LeaseMembership

DEPARTED_REASON: Final = "this machine has left the register"  # part of responses of the operator API


class Peers(Protocol):
    """The part of `messages.peer_links.PeerLinks` that the control plane uses."""

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Call a peer and return its reply.

        Raises:
            PeerCallError: the call failed or no reply came in time.
        """


@dataclass(frozen=True, slots=True)
class ReplicaEnvironment:
    """The facilities of the machine that a replica uses, and that a simulation replaces."""

    storage: Storage | None = None  # None: the data directory of the settings, if they name one
    run_blocking: BlockingRunner | None = None  # None: a dedicated thread
    clock: Callable[[], float] = now  # monotonic, in ms
    rng: random.Random = field(default_factory=random.Random)


class ControlPlane:
    """The replicated cluster state on one coordinator.

    `on_commit` is called on the event loop with each newer committed state. `lease_ms` is how long votes on leases by
    former members may still be counted; 0 if nobody votes on leases.
    """

    def __init__(
        self,
        node: NodeSettings,
        peers: Peers,
        on_commit: Callable[[ClusterState], None],
        environment: ReplicaEnvironment | None = None,
        lease_ms: float = 0.0,
    ) -> None:
        environment = environment or ReplicaEnvironment()
        self.address = node.internal_address
        self._node, self._clock = node, environment.clock
        self._storage_thread = StorageThread()
        timing = ObservationTiming.from_catch_up(node.bounds.catch_up_ms)
        self._observations = PeerObservations(self.address, self._clock(), timing.unresponsive_after_ms)
        self._acceptor = self._create_acceptor(environment)
        self._proposer = self._create_proposer(peers, environment)
        replica = LocalReplica(
            self.address, self._acceptor, self._proposer, self._observations, peers.call, self._clock
        )
        self.lease = ServingLease(node.bounds.serving_lease_ms)
        self._committed = CommittedState(self._proposer, on_commit)
        self._reconciler = MembershipReconciler(replica, lease_ms)
        self._observer = StateObserver(replica, self._committed, self.lease, self._on_replication_gap)
        recovery = StateRecovery(self._acceptor, self._observer.known_peers, self._observer.call_peer, self._clock)
        self._startup = ReplicaStartup(node, replica, recovery, self._observer.known_peers)
        self._rounds = ObservationRounds(
            replica, self._startup, self._observer, self._is_change_expected, environment.rng
        )
        self._departure = GracefulDeparture(replica, self._reconciler, self._observer.publish)
        self._suspension = SuspensionDetector(self._clock, self._on_resume)
        ports = RenewalPorts(self._lease_basis, peers.call, replica.record_reply, self._read_committed_for_lease)
        self._renewal = LeaseRenewal(self.address, self.lease, ports, self._clock)
        self._tasks: list[asyncio.Task[None]] = []
        self.apply_settings(node)

    @property
    def committed_state(self) -> ClusterState:
        """The newest state known to be committed, with serial 0 before any is known. Callers must not modify it."""
        return self._committed.state

    @property
    def members(self) -> tuple[str, ...]:
        """The internal addresses of the members, as far as they are known here; empty if they are not."""
        states = (self._committed.state, self._proposer.newest_seen.state, self._acceptor.state.state)
        return next((tuple(state.members) for state in states if state.members), ())

    @property
    def lease_membership(self) -> LeaseMembership:
        """Whose votes on leases count, by the newest state that this replica has accepted or knows to be committed.

        An accepted state counts immediately, because a replica that has accepted a change must not vote for a claim
        whose sender does not know of the change. A recovering replica holds no state, so it names nobody until it has
        been in contact with a majority.
        """
        newest = max(self._committed.state, self._acceptor.state.state, key=lambda state: state.membership_version)
        return LeaseMembership(newest.membership_version, tuple(newest.members), tuple(newest.previous_lease_members))

    @property
    def has_quorum_contact(self) -> bool:
        """Whether the serving lease is valid right now: a majority has confirmed this process within its length."""
        return self.lease.is_valid(self._clock())

    @property
    def is_under_replicated(self) -> bool:
        """Whether the tolerated losses require more members than there are, and these may still be starting."""
        if not self._startup.is_in_startup_grace_period:
            return False
        members = self._proposer.committed_membership.members
        needed = replicas_needed(self._node.tolerated_machine_losses)
        return not self._committed.is_confirmed or len(members) < needed

    @property
    def was_suspended(self) -> bool:
        """Whether this process was suspended until a moment ago: the messages that it reads now may be old."""
        return self._suspension.was_suspended

    async def start(self) -> None:
        """Read the disk and start all tasks; a disk that fails or hangs is read again in the background."""
        now_ms = self._clock()
        self._observations.listening_since_ms = now_ms
        self._suspension.start(now_ms)
        await self._startup.start(now_ms)
        self._tasks = [
            asyncio.ensure_future(work)
            for work in (
                self._rounds.run(),
                self._suspension.run(),
                self._renewal.run(),
                self._reconciler.run(self._may_propose),
            )
        ]

    async def leave(self, budget_ms: float) -> None:
        """Hand over membership and state within `budget_ms`; callers and peers still get answers meanwhile."""
        self._observations.is_leaving = True
        await self._departure.run(budget_ms)

    async def stop(self) -> None:
        """Cancel all rounds and ballots; the storage thread ends after the writes that are queued."""
        for task in self._tasks:
            task.cancel()
        self._startup.stop()
        self._renewal.stop()
        self._proposer.stop()
        self._storage_thread.stop()

    def apply_settings(self, node: NodeSettings) -> None:
        """Use the seeds, the tolerated losses and the times derived from the bounds of these settings from now on."""
        self._node = self._startup.node = node
        self._rounds.timing = ObservationTiming.from_catch_up(node.bounds.catch_up_ms)
        self._observations.unresponsive_after_ms = self._rounds.timing.unresponsive_after_ms
        self._observer.seed_addresses = frozenset(node.seed_addresses)
        self._reconciler.tolerated_losses = node.tolerated_machine_losses

    def set_live_coordinators(self, addresses: Iterable[str]) -> None:
        """Set the internal addresses of the live coordinators, as discovery has found them."""
        self._observer.live_coordinators = frozenset(addresses)

    def record_use(self) -> None:
        """Record that a peer holds a state that the cluster committed: it must not be bootstrapped again."""
        if self._acceptor.state.has_never_voted:
            self._acceptor.record_use()

    def handle(self, envelope: Envelope) -> Envelope | Awaitable[Envelope] | None:
        """Return the reply to another replica's message, or None if the message is not for the control plane."""
        if envelope.HasField("acceptor_query"):
            newest_ballot = self._proposer.newest_seen.ballot
            self._observations.record_query(envelope.acceptor_query, self._clock(), newest_ballot)
            return self._acceptor.handle(envelope)
        if envelope.HasField("prepare") or envelope.HasField("accept"):
            return self._acceptor.handle(envelope)
        return None

    async def propose(self, transition: StateTransition, timeout_ms: float) -> ClusterState:
        """Commit a transition and return the state after it.

        Raises:
            RequestTimeout: no majority within `timeout_ms`; the transition may still be committed later.
            PeerCallError: this process may not propose.
        """
        refusal = self._proposal_refusal()
        if refusal:
            raise PeerCallError("agree", self.address, refusal)
        return await self._proposer.change(transition, timeout_ms)

    async def read_committed(self, timeout_ms: float) -> None:
        """Observe the peers for up to `timeout_ms`; this updates `committed_state` if a newer state is committed."""
        await self._observer.read_committed(timeout_ms)

    async def confirm(self, timeout_ms: float) -> bool:
        """Return whether a majority, queried from now on, confirms in time that `committed_state` is the newest."""
        requested_at_ms = self._clock()
        deadline_ms = requested_at_ms + timeout_ms
        if not await self._renewal.confirm(timeout_ms):
            await self.read_committed(deadline_ms - self._clock())
        return self.lease.confirmed_at_ms >= requested_at_ms

    def _create_acceptor(self, environment: ReplicaEnvironment) -> DurableAcceptor:
        storage = environment.storage
        if storage is None and self._node.data_directory is not None:
            storage = DirectoryStorage(self._node.data_directory)
        store = StateStore(storage, self.address, self._node.cluster_name) if storage is not None else None
        return DurableAcceptor(self.address, store, environment.run_blocking or self._storage_thread.run, self._clock)

    def _create_proposer(self, peers: Peers, environment: ReplicaEnvironment) -> Proposer:
        incarnation = f"{environment.rng.getrandbits(64):016x}"  # so that no ballot of an earlier process is reused
        ports = ProposerPorts(
            peers.call,
            self._on_own_ballot_committed,
            lambda address: self._observations.is_responsive(address, self._clock()),
            lambda: self._startup.is_in_startup_grace_period,
        )
        return Proposer(self._acceptor, incarnation, ports, self._clock, environment.rng)

    def _on_own_ballot_committed(self, state: ClusterState, ballot: Ballot) -> None:
        """Learn the state; whatever was committed before the ballot began is part of it, or older than it."""
        self._committed.learn(state, ballot)
        self.lease.confirm(self._proposer.ballot_started_ms)

    def _on_replication_gap(self, gap: ReplicationGap | None) -> None:
        self._reconciler.replication_gap = gap

    def _on_resume(self, now_ms: float) -> None:
        self._observations.listening_since_ms = now_ms  # peers were not silent: this process did not listen

    def _proposal_refusal(self) -> str:
        """Return why this process may not propose; empty if it may."""
        has_left = self._observations.is_leaving and self._departure.has_left
        return self._observer.eligibility.refusal_reason or (DEPARTED_REASON if has_left else "")

    def _may_propose(self) -> bool:
        return not self._acceptor.state.is_recovering and not self._proposal_refusal()

    def _lease_basis(self) -> LeaseBasis | None:
        if not self._committed.is_confirmed:
            return None
        own, own_report = self._acceptor.state, None
        if not own.is_recovering:
            query = AcceptorQuery(address=self.address, known_ballot=own.accepted.to_message())
            _, own_report = own.report(query)
        membership = self._proposer.committed_membership
        return LeaseBasis(self._committed.ballot, membership, own_report, self._observations.is_leaving)

    def _is_change_expected(self) -> bool:
        """Return whether there is something to learn or to do, so that rounds should come faster."""
        return (
            not self._committed.is_confirmed
            or self._reconciler.has_pending_work
            or self._observations.is_leaving
            or self._observations.has_silent_querier(self._clock())
        )

    async def _read_committed_for_lease(self) -> None:
        await self.read_committed(QUERY_TIMEOUT_MS)
