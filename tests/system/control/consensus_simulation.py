"""A simulation of the consensus logic alone: acceptors, proposals and recoveries over an unreliable network.

Messages are delayed, duplicated or lost, processes restart, and disks are wiped, all at random from one seed. There is
no event loop and no time. `ConsensusSimulation` asserts at each commit that no two states are committed under one
serial number and that no acknowledged change is missing from a later state.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from hallhitch.messages.system_pb2 import (
    Accept,
    Accepted,
    AcceptorQuery,
    AcceptorReport,
    ClusterState,
    Prepare,
    Promise,
)
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot, BallotedState
from hallhitch.planes.control.membership import Membership, initial_state
from hallhitch.planes.control.proposal import AlreadyChosen, MembershipChanged, Proposal, SendAccepts
from hallhitch.planes.control.recovery_quorum import RecoveryQuorum
from hallhitch.planes.control.state_delta import copy_state
from hallhitch.planes.control.state_transitions import StateTransition
from hallhitch.planes.control.vote_tally import VoteTally

REPLICA_NAMES: Final = "abcdefg"

# Probabilities of the random choices in a step.
DELIVERY_RATIO: Final = 0.93  # a step delivers a message, if one is in flight
DUPLICATE_RATIO: Final = 0.03  # a delivered message stays in flight, to be delivered again
LOSS_RATIO: Final = 0.05  # a message is lost instead of delivered

RECOVERY_ROUNDS: Final = 60  # rounds without faults, enough for all replicas to recover and for a read to commit
ROUNDS_PER_READER: Final = 12

Message = Prepare | Accept | AcceptorQuery | Promise | Accepted | AcceptorReport


@dataclass(frozen=True, slots=True)
class MessageInFlight:
    """A message in flight; `exchange` is the proposal, recovery or read that the message belongs to."""

    sender: str
    recipient: str
    exchange: object
    body: Message


class SimulatedReplica:
    """One replica: the content of its disk and the state of its process."""

    def __init__(self, name: str, state: ClusterState | None) -> None:
        self.acceptor = AcceptorState(name, is_recovering=True) if state is None else AcceptorState(name, state=state)
        self.process_number = 0
        self.restart()

    def restart(self) -> None:
        """Replace the process by a new one; the content of the disk stays."""
        self.process_number += 1
        self.proposal: Proposal | None = None
        self.change_id: str | None = None  # the change in the proposal; None for reads and changes of members
        self.recovery: RecoveryQuorum | None = None
        self.reports: dict[str, AcceptorReport] = {}
        self.newest_seen = BallotedState()
        self.restart_from: BallotedState | None = None  # the next prepares go to its members
        self.committed_membership = Membership.from_state(ClusterState())
        self.round = 0


class ConsensusSimulation:
    """All replicas and the messages in flight; `acknowledged` contains the changes that a proposer acknowledged."""

    def __init__(self, seed: int, initial_members: int, spares: int, tolerated_losses: int) -> None:
        self.rng, self.tolerated_losses = random.Random(seed), tolerated_losses
        self.bootstrap_state = initial_state(REPLICA_NAMES[:initial_members])
        self.replicas = {
            name: SimulatedReplica(name, self.bootstrap_state if name in self.bootstrap_state.members else None)
            for name in REPLICA_NAMES[: initial_members + spares]
        }
        self.in_flight: list[MessageInFlight] = []
        self.committed: dict[int, ClusterState] = {}  # by serial number
        self.acknowledged: set[str] = set()
        self.change_numbers = itertools.count()

    # --- Invariants.

    def record_commit(self, state: ClusterState) -> None:
        """Record that a majority holds this state, and check it against the other committed states."""
        assert self.committed.setdefault(state.serial, state) == state, "two states are committed under one serial"
        later = [committed for serial, committed in self.committed.items() if serial > state.serial]
        changes = set(state.annotations)
        assert all(changes <= set(committed.annotations) for committed in later), "a later state lost a change"
        if any(state.serial < serial for serial in self.committed):
            return
        assert self.acknowledged <= changes, "an acknowledged change is missing"

    # --- Requests by a replica.

    def send(self, sender: str, recipient: str, exchange: object, body: Message) -> None:
        """Add a message to those in flight."""
        self.in_flight.append(MessageInFlight(sender, recipient, exchange, body))

    def propose(
        self,
        name: str,
        change_id: str | None,
        choose_membership_change: Callable[[ClusterState], StateTransition] | None = None,
    ) -> None:
        """Start a ballot of this replica for a change, a change of members, or a read."""
        replica = self.replicas[name]
        local_state = replica.acceptor.accepted_state
        newest_known = replica.restart_from or max(
            local_state, replica.newest_seen, key=lambda known: (known.ballot, bool(known.state.members))
        )
        replica.restart_from = None
        if not newest_known.state.members:
            newest_known = BallotedState(state=self.bootstrap_state)
        replica.round = max(replica.round, replica.acceptor.promised.round, newest_known.ballot.round) + 1

        def change(state: ClusterState) -> ClusterState:
            if choose_membership_change is not None:
                return choose_membership_change(state)(state)
            if change_id is None or change_id in state.annotations:
                return state
            after = copy_state(state)
            after.serial += 1
            after.annotations[change_id] = ""
            if self.rng.random() < 0.5:
                after.config = change_id.encode()
            return after

        ballot = Ballot(replica.round, f"{name}#{replica.process_number}")
        replica.proposal = Proposal(ballot, newest_known, local_state, change, replica.committed_membership)
        replica.change_id = change_id
        for recipient in sorted(replica.proposal.recipients):
            self.send(name, recipient, replica.proposal, replica.proposal.prepare_message())

    def recover(self, name: str) -> None:
        """Send the queries of a recovering replica, in its first or second pass."""
        replica = self.replicas[name]
        if replica.recovery is None:
            replica.recovery = RecoveryQuorum(name)
        for recipient in sorted(self.replicas.keys() - {name}):
            query = AcceptorQuery(address=name, incarnation=replica.recovery.incarnation)
            self.send(name, recipient, replica.recovery, query)

    # --- Deliveries.

    def deliver(self, message: MessageInFlight) -> None:
        """Deliver a message to its recipient."""
        sender, recipient, exchange = message.sender, message.recipient, message.exchange
        replica = self.replicas[recipient]
        match message.body:
            case Prepare() as prepare:
                replica.acceptor, promise = replica.acceptor.prepare(prepare)
                self.send(recipient, sender, exchange, promise)
            case Accept() as accept:
                replica.acceptor, accepted = replica.acceptor.accept(accept)
                self.send(recipient, sender, exchange, accepted)
            case AcceptorQuery() as query:
                replica.acceptor, report = replica.acceptor.report(query)
                self.send(recipient, sender, exchange, report)
            case Promise() as promise if exchange is replica.proposal and replica.proposal is not None:
                self._on_promise_outcome(recipient, replica, replica.proposal.on_promise(sender, promise))
                replica.round = max(replica.round, replica.proposal.highest_round_seen if replica.proposal else 0)
            case Accepted() as accepted if exchange is replica.proposal and replica.proposal is not None:
                proposal = replica.proposal
                if proposal.on_accepted(sender, accepted):
                    assert proposal.state is not None
                    self._on_commit(replica, proposal.state, proposal.ballot)
            case AcceptorReport() as report if exchange is replica.recovery and replica.recovery is not None:
                self._on_recovery_report(sender, recipient, report)
            case AcceptorReport() as report if exchange is replica.reports and report.ok:
                replica.reports[sender] = report
                self._read_reports(replica)

    def _on_promise_outcome(self, name: str, replica: SimulatedReplica, outcome: object) -> None:
        match outcome:
            case MembershipChanged(newest):
                replica.proposal, replica.restart_from = None, newest
            case AlreadyChosen(state):
                assert replica.proposal is not None
                self._on_commit(replica, state, replica.proposal.newest_state.ballot)
            case SendAccepts(recipients):
                assert replica.proposal is not None
                for recipient in sorted(recipients):
                    self.send(name, recipient, replica.proposal, replica.proposal.accept_message(recipient))

    def _on_commit(self, replica: SimulatedReplica, state: ClusterState, ballot: Ballot) -> None:
        """Acknowledge the change of a proposal whose state a majority holds."""
        self.record_commit(state)
        if replica.change_id is not None:
            assert replica.change_id in state.annotations
            self.acknowledged.add(replica.change_id)
        replica.committed_membership = Membership.from_state(state)
        replica.proposal, replica.change_id = None, None
        replica.newest_seen = BallotedState(ballot, state)

    def _on_recovery_report(self, sender: str, name: str, report: AcceptorReport) -> None:
        replica = self.replicas[name]
        recovery = replica.recovery
        assert recovery is not None
        recovery.add_report(sender, report)
        if not recovery.is_sufficient():
            return
        if recovery.incarnation == 0:
            replica.recovery = RecoveryQuorum(name, recovery.next_incarnation())
            self.recover(name)
        else:
            replica.acceptor = recovery.recovered_state()
            replica.recovery = None

    def _read_reports(self, replica: SimulatedReplica) -> None:
        """Accept the newest reported state; if a majority of the reports holds it, it is committed."""
        newest = max(replica.reports.values(), key=lambda report: Ballot.from_message(report.accepted))
        ballot = Ballot.from_message(newest.accepted)
        tally = VoteTally(Membership.from_state(newest.state).quorum_sets)
        for member, report in replica.reports.items():
            tally.add(member, Ballot.from_message(report.accepted) == ballot, report.incarnations)
        if tally.has_quorum():
            self.record_commit(newest.state)
            replica.committed_membership = Membership.from_state(newest.state)
        reported = BallotedState(ballot, newest.state)
        replica.newest_seen = max(replica.newest_seen, reported, key=lambda known: known.ballot)
        if ballot != INITIAL_BALLOT:
            replica.acceptor, _ = replica.acceptor.accept(Accept(ballot=ballot.to_message(), state=newest.state))

    # --- Faults and random changes.

    def choose_random_membership_change(self, state: ClusterState) -> StateTransition:
        """Choose a random change of members that the state allows."""
        if state.previous_members:
            return state_transitions.finish_reconfiguration
        if state.previous_lease_members:
            return state_transitions.finish_lease_transition
        membership = Membership.from_state(state)
        recovered = [name for name, replica in self.replicas.items() if not replica.acceptor.is_recovering]
        chosen = self.rng.choice(recovered)
        if chosen in state.members:
            can_shrink = len(state.members) > 2 * self.tolerated_losses + 1
            return state_transitions.remove_member(chosen, membership) if can_shrink else state_transitions.identity
        if self.rng.random() < 0.5:  # a replacement in one step
            removed = self.rng.choice(list(state.members))
            return state_transitions.reconfigure_members({*state.members, chosen} - {removed}, membership)
        return state_transitions.add_member(chosen, membership)

    def wipe(self, name: str) -> None:
        """Wipe a disk, unless a membership in use would then lose more disks than it must tolerate."""
        lost = {other for other, replica in self.replicas.items() if replica.acceptor.is_recovering} | {name}
        if all(
            len(members & lost) <= min(self.tolerated_losses, (len(members) - 1) // 2)
            for state in self._states_in_use()
            for members in Membership.from_state(state).quorum_sets
        ):
            self.replicas[name].restart()
            self.replicas[name].acceptor = AcceptorState(name, is_recovering=True)

    def _states_in_use(self) -> list[ClusterState]:
        """Return the states that acceptors hold or that proposals in progress may still commit."""
        replicas = self.replicas.values()
        proposed = [replica.proposal.state for replica in replicas if replica.proposal is not None]
        return [replica.acceptor.state for replica in replicas] + [state for state in proposed if state is not None]

    # --- The schedule.

    def step(self) -> None:
        """Perform one random action, in most cases the delivery of a message."""
        name = self.rng.choice(sorted(self.replicas))
        if self.in_flight and self.rng.random() < DELIVERY_RATIO:
            self._deliver_random_message()
        else:
            self._act(name)

    def _deliver_random_message(self) -> None:
        position = int(len(self.in_flight) * self.rng.random() ** 3)  # mostly in order, but not always
        outcome_draw = self.rng.random()
        message = self.in_flight[position] if outcome_draw < DUPLICATE_RATIO else self.in_flight.pop(position)
        if outcome_draw < 1 - LOSS_RATIO:
            self.deliver(message)

    def _act(self, name: str) -> None:
        """Make a replica read, restart, lose its disk, recover or propose."""
        replica = self.replicas[name]
        draw = self.rng.random()
        if draw < 0.1:
            replica.reports = {}
            for recipient in sorted(self.replicas):
                self.send(name, recipient, replica.reports, AcceptorQuery())
        elif draw < 0.15:
            replica.restart()
        elif draw < 0.3:
            self.wipe(name)
        elif replica.acceptor.is_recovering:
            self.recover(name)
        elif replica.proposal is None or draw > 0.95:
            self._propose_random_change(name)

    def _propose_random_change(self, name: str) -> None:
        draw = self.rng.random()
        if draw < 0.25 and self.replicas[name].committed_membership.members:
            self.propose(name, None, self.choose_random_membership_change)
        else:
            self.propose(name, f"{next(self.change_numbers)}" if draw < 0.75 else None)

    def run_without_faults(self) -> None:
        """Deliver all messages; recovering replicas recover, and the replicas take turns to read through ballots."""
        for turn in range(RECOVERY_ROUNDS):
            for message in [*self.in_flight]:
                self.in_flight.remove(message)
                self.deliver(message)
            for name, replica in self.replicas.items():
                if replica.acceptor.is_recovering and not self.in_flight:
                    self.recover(name)
            reader = sorted(self.replicas)[turn // ROUNDS_PER_READER % len(self.replicas)]
            if not self.in_flight and self.replicas[reader].proposal is None:
                self.propose(reader, None)
