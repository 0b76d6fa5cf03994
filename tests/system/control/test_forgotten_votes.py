"""Schedules that chance does not draw: a vote is cast, its disk is lost, and the vote is counted long after.

With the rule of incarnations nothing is lost in any of them; without it each of them loses what was acknowledged. A
fleet that has to bear no loss has no such schedule: none of its members may lose its disk.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import pytest

from hallhitch.messages.system_pb2 import AcceptorQuery, AcceptorReport, Prepare, Promise
from hallhitch.planes.control.vote_tally import VoteTally
from tests.system.control.test_register import Message, World

FLEETS = [(3, 0, 1), (3, 2, 1), (3, 3, 2), (5, 1, 2)]
SEEDS = 30
Under = tuple[str, str, object, Message]  # from, to, whose answer it is, what


def deliver(world: World, wanted: Callable[[Under], bool]) -> None:
    """Deliver these and what follows from them, in order; all else stays under way."""
    while chosen := next((message for message in world.bag if wanted(message)), None):
        world.bag.remove(chosen)
        world.deliver(*chosen)


def of(token: object, among: Iterable[str]) -> Callable[[Under], bool]:
    """The messages of one proposal between these machines."""
    names = set(among)
    return lambda message: message[2] is token and message[0] in names and message[1] in names


def count_a_forgotten_vote(world: World, rng: random.Random) -> None:
    """One votes for a slow ballot and loses its disk, a majority with it agrees on more, the slow ballot goes on.

    It begins at the founding: later an accept may name the state that it builds on in place of repeating it, and who
    holds another one refuses, which would hide what is looked for here.
    """
    names = sorted(world.machines)[: len(world.first.members)]
    majority = len(names) // 2 + 1
    slow = names[-1]  # of equal rounds the ballot of the later name is the higher one
    forgetful, *others = rng.sample(names[:-1], len(names) - 1)
    quick, unaware = [forgetful, *others[: majority - 1]], others[majority - 1 :]
    world.propose(slow, "slow")
    ballot = world.machines[slow].proposal
    deliver(world, lambda one: one[1] == forgetful and one[2] is ballot and isinstance(one[3], Prepare))
    deliver(world, lambda one: one[0] == forgetful and one[2] is ballot and isinstance(one[3], Promise))
    world.wipe(forgetful)
    assert world.machines[forgetful].replica.is_recovering
    world.recover(forgetful)
    deliver(world, lambda one: isinstance(one[3], AcceptorQuery | AcceptorReport))
    assert not world.machines[forgetful].replica.is_recovering
    world.propose(others[0], "quick")
    deliver(world, of(world.machines[others[0]].proposal, quick))
    assert "quick" in world.acknowledged
    deliver(world, of(ballot, [slow, forgetful, *unaware]))
    for _ in range(100):
        world.step()
    world.calm()


def broken(founders: int, spares: int, losses: int) -> int:
    """In how many of the seeds something acknowledged was lost."""
    failed = 0
    for seed in range(SEEDS):
        world = World(seed, founders, spares, losses)
        try:
            count_a_forgotten_vote(world, random.Random(seed))
        except AssertionError:
            failed += 1
    return failed


@pytest.mark.parametrize(("founders", "spares", "losses"), FLEETS)
def test_a_forgotten_vote_never_counts(founders: int, spares: int, losses: int) -> None:
    assert broken(founders, spares, losses) == 0


@pytest.mark.parametrize(("founders", "spares", "losses"), FLEETS)
def test_without_incarnations_each_such_schedule_loses_something(
    founders: int, spares: int, losses: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(VoteTally, "valid_votes", lambda tally: set(tally._granted))
    assert broken(founders, spares, losses) == SEEDS
