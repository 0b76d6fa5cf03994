"""Tests of schedules that random choices do not reach: a replica votes, loses its disk, and its vote counts later.

With incarnations, no schedule loses an acknowledged change; without them, each schedule loses one. There is no such
schedule for a cluster that tolerates no loss, because none of its members may lose its disk.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Final

import pytest

from hallhitch.messages.system_pb2 import AcceptorQuery, AcceptorReport, Prepare, Promise
from hallhitch.planes.control.vote_tally import VoteTally
from tests.system.control.consensus_simulation import ConsensusSimulation, MessageInFlight

CLUSTERS: Final = [(3, 0, 1), (3, 2, 1), (3, 3, 2), (5, 1, 2)]  # initial members, spares, tolerated losses
SEEDS: Final = 30


def deliver_matching(simulation: ConsensusSimulation, matches: Callable[[MessageInFlight], bool]) -> None:
    """Deliver matching messages, including those sent in response, in order; all others stay in flight."""
    while message := next((message for message in simulation.in_flight if matches(message)), None):
        simulation.in_flight.remove(message)
        simulation.deliver(message)


def belongs_to(exchange: object, among: Iterable[str]) -> Callable[[MessageInFlight], bool]:
    """Return a predicate that matches the messages of one proposal between these replicas."""
    names = set(among)
    return lambda message: (message.exchange is exchange and message.sender in names and message.recipient in names)


def count_vote_of_earlier_incarnation(simulation: ConsensusSimulation, rng: random.Random) -> None:
    """Run a schedule in which a replica votes for a slow ballot, loses its disk, and votes for another one.

    A majority that includes the replica commits the other change, then the slow ballot continues. The schedule starts
    at the bootstrap state: later, an accept may carry a delta, which a replica with another base state refuses, and
    that would hide the failure that is tested here.
    """
    names = sorted(simulation.replicas)[: len(simulation.bootstrap_state.members)]
    majority = len(names) // 2 + 1
    slow = names[-1]  # in equal rounds, the ballot of the later name is higher
    wiped, *others = rng.sample(names[:-1], len(names) - 1)
    quick_quorum, unaware = [wiped, *others[: majority - 1]], others[majority - 1 :]

    simulation.propose(slow, "slow")
    ballot = simulation.replicas[slow].proposal
    deliver_matching(
        simulation,
        lambda message: message.recipient == wiped and message.exchange is ballot and isinstance(message.body, Prepare),
    )
    deliver_matching(
        simulation,
        lambda message: message.sender == wiped and message.exchange is ballot and isinstance(message.body, Promise),
    )
    simulation.wipe(wiped)
    assert simulation.replicas[wiped].acceptor.is_recovering
    simulation.recover(wiped)
    deliver_matching(simulation, lambda message: isinstance(message.body, AcceptorQuery | AcceptorReport))
    assert not simulation.replicas[wiped].acceptor.is_recovering

    simulation.propose(others[0], "quick")
    deliver_matching(simulation, belongs_to(simulation.replicas[others[0]].proposal, quick_quorum))
    assert "quick" in simulation.acknowledged
    deliver_matching(simulation, belongs_to(ballot, [slow, wiped, *unaware]))
    for _ in range(100):
        simulation.step()
    simulation.run_without_faults()


def count_violations(initial_members: int, spares: int, tolerated_losses: int) -> int:
    """Return the number of seeds with which an acknowledged change was lost."""
    violations = 0
    for seed in range(SEEDS):
        simulation = ConsensusSimulation(seed, initial_members, spares, tolerated_losses)
        try:
            count_vote_of_earlier_incarnation(simulation, random.Random(seed))
        except AssertionError:
            violations += 1
    return violations


@pytest.mark.parametrize(("initial_members", "spares", "tolerated_losses"), CLUSTERS)
def test_void_vote_never_counts(initial_members: int, spares: int, tolerated_losses: int) -> None:
    assert count_violations(initial_members, spares, tolerated_losses) == 0


@pytest.mark.parametrize(("initial_members", "spares", "tolerated_losses"), CLUSTERS)
def test_each_schedule_loses_a_change_without_incarnations(
    initial_members: int, spares: int, tolerated_losses: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(VoteTally, "valid_votes", lambda tally: set(tally._granted))
    assert count_violations(initial_members, spares, tolerated_losses) == SEEDS
