"""Schedules that random draws do not reach: a vote is cast, its disk is lost, and the vote is counted long after.

With the rule of incarnations nothing is lost in any of them; without it each of them loses what was acknowledged. A
cluster that has to bear no loss has no such schedule: none of its members may lose its disk.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Final

import pytest

from hallhitch.messages.system_pb2 import AcceptorQuery, AcceptorReport, Prepare, Promise
from hallhitch.planes.control.vote_tally import VoteTally
from tests.system.control.consensus_simulation import ConsensusSimulation, MessageInFlight

CLUSTERS: Final = [(3, 0, 1), (3, 2, 1), (3, 3, 2), (5, 1, 2)]  # founders, spares, losses to bear
SEEDS: Final = 30


def deliver_matching(simulation: ConsensusSimulation, matches: Callable[[MessageInFlight], bool]) -> None:
    """Deliver these messages and what follows from them, in order; all others stay in flight."""
    while message := next((message for message in simulation.in_flight if matches(message)), None):
        simulation.in_flight.remove(message)
        simulation.deliver(message)


def belongs_to(exchange: object, among: Iterable[str]) -> Callable[[MessageInFlight], bool]:
    """Match the messages of one proposal between these replicas."""
    names = set(among)
    return lambda message: (message.exchange is exchange and message.sender in names and message.recipient in names)


def count_vote_of_earlier_incarnation(simulation: ConsensusSimulation, rng: random.Random) -> None:
    """One votes for a slow ballot and loses its disk, a majority with it agrees on more, the slow ballot goes on.

    It begins at the founding: later an accept may name the state that it builds on in place of repeating it, and a
    replica that holds another one refuses, which would hide what is tested here.
    """
    names = sorted(simulation.replicas)[: len(simulation.founding_state.members)]
    majority = len(names) // 2 + 1
    slow = names[-1]  # of equal rounds the ballot of the later name is the higher one
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


def count_violations(founders: int, spares: int, losses: int) -> int:
    """Return in how many of the seeds something acknowledged was lost."""
    violations = 0
    for seed in range(SEEDS):
        simulation = ConsensusSimulation(seed, founders, spares, losses)
        try:
            count_vote_of_earlier_incarnation(simulation, random.Random(seed))
        except AssertionError:
            violations += 1
    return violations


@pytest.mark.parametrize(("founders", "spares", "losses"), CLUSTERS)
def test_void_vote_never_counts(founders: int, spares: int, losses: int) -> None:
    assert count_violations(founders, spares, losses) == 0


@pytest.mark.parametrize(("founders", "spares", "losses"), CLUSTERS)
def test_each_schedule_loses_a_change_without_incarnations(
    founders: int, spares: int, losses: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(VoteTally, "valid_votes", lambda tally: set(tally._granted))
    assert count_violations(founders, spares, losses) == SEEDS
