"""Each mechanism switched off, one at a time: the checks must find it, and find nothing with it on.

The table of it stands on the design page: mechanism, what was switched off, the rules that were found broken.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import pytest

from hallhitch.lab.simulation.disk import SimulatedDisk
from hallhitch.lab.simulation.faults import Fault, Kind, Schedule
from hallhitch.lab.simulation.history import Violation, rules
from hallhitch.lab.simulation.simulation import play
from hallhitch.messages.addressing import Identity
from hallhitch.messages.system_pb2 import AcceptorQuery
from hallhitch.planes.control import operator_api
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.config_digests import ConfigOutcome
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.peer_observations import PeerObservations
from hallhitch.planes.control.serving_lease import ServingLease
from hallhitch.planes.control.vote_tally import VoteTally
from tests.system.simulation import scenarios
from tests.system.simulation.scenarios import perform

Run = Callable[[], list[Violation]]


def _without_incarnations(patch: pytest.MonkeyPatch) -> None:
    """Votes of ended incarnations count."""
    patch.setattr(VoteTally, "valid_votes", lambda tally: set(tally._granted))


def _without_sync_of_folder(patch: pytest.MonkeyPatch) -> None:
    """Names of new files and removals are left to the disk."""
    patch.setattr(SimulatedDisk, "sync_directory", lambda disk: None)


def _without_serving_lease(patch: pytest.MonkeyPatch) -> None:
    """A confirmation by a majority lasts for ever."""

    def confirmed(lease: ServingLease) -> bool:
        return lease.confirmed_at_ms > float("-inf")

    patch.setattr(ServingLease, "is_valid", lambda lease, now: confirmed(lease))
    patch.setattr(ServingLease, "age_ms", lambda lease, now: 0.0 if confirmed(lease) else -1.0)


def _without_joint_change(patch: pytest.MonkeyPatch) -> None:
    """While members change, a majority of the new ones is enough."""
    patch.setattr(Membership, "quorum_sets", property(lambda one: (frozenset(one.members),) if one.members else ()))


def _without_state_of_candidates(patch: pytest.MonkeyPatch) -> None:
    """Who asks for a seat gets it, whatever it holds."""
    asked = PeerObservations.record_query

    def taken(contacts: PeerObservations, message: AcceptorQuery, at: float, newest: Ballot) -> None:
        asked(contacts, message, at, newest)
        for asker in contacts._queriers.values():
            asker.last_current_ms = asker.last_query_ms

    patch.setattr(PeerObservations, "record_query", taken)


def _without_digests(patch: pytest.MonkeyPatch) -> None:
    """An order is confirmed by its version alone."""
    patch.setattr(operator_api, "config_outcome", lambda state, version, digest: ConfigOutcome.RECORDED)


def _without_addressees(patch: pytest.MonkeyPatch) -> None:
    """Whoever is reached serves a frame, and whoever answers is taken for the one that was asked."""
    patch.setattr(Identity, "mismatch", lambda identity, address, incarnation: None)


def _all_lose_power(seed: int) -> list[Violation]:
    """All lose power in the middle of orders that come thick and fast."""
    fault = Fault(Kind.ALL_POWER, at=4.0 + 0.37 * seed, lasts=0.5)
    return play(Schedule(seed, 1, 3, 1, (fault,), lasts=6.0, delay=5.0, answers_lost=0.0, orders=2.0))


def _orders_race(seed: int) -> list[Violation]:
    """Operators whose orders often meet under one number; no faults."""
    return play(Schedule(seed, 1, 3, 1, (), lasts=6.0, delay=5.0, answers_lost=0.1, orders=2.0))


@dataclass(frozen=True, slots=True)
class Mechanism:
    """How it is switched off, the runs that are to show it, and a rule that each of them finds broken then."""

    switch_off: Callable[[pytest.MonkeyPatch], None]
    runs: tuple[Run, ...]
    rule: str


MECHANISMS = {
    "serving lease": Mechanism(
        _without_serving_lease,
        (
            partial(perform, scenarios.new_gateway_beside_a_cut_off_coordinator),
            partial(perform, scenarios.new_gateway_beside_a_coordinator_that_hears_nothing),
            partial(perform, scenarios.new_gateway_beside_a_coordinator_that_wakes),
        ),
        "old state",
    ),
    "incarnations": Mechanism(
        _without_incarnations, (partial(perform, scenarios.vote_of_a_forgotten_incarnation, 5),), "lost"
    ),
    "joint change": Mechanism(
        _without_joint_change, (partial(perform, scenarios.half_made_change_of_members),), "one state"
    ),
    "state of candidates": Mechanism(
        _without_state_of_candidates, (partial(perform, scenarios.newcomer_with_a_full_disk),), "empty seat"
    ),
    "digests": Mechanism(_without_digests, tuple(partial(_orders_race, seed) for seed in range(3)), "one confirmation"),
    "addressees": Mechanism(_without_addressees, (partial(perform, scenarios.address_taken_by_another),), "lost"),
    "sync of the folder": Mechanism(
        _without_sync_of_folder, tuple(partial(_all_lose_power, seed) for seed in range(4)), "lost"
    ),
}


@pytest.mark.parametrize("name", MECHANISMS)
def test_without_it_each_run_breaks_a_rule(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    mechanism = MECHANISMS[name]
    mechanism.switch_off(monkeypatch)
    for run in mechanism.runs:
        assert mechanism.rule in rules(run())


@pytest.mark.parametrize("name", MECHANISMS)
def test_with_it_all_rules_hold(name: str) -> None:
    for run in MECHANISMS[name].runs:
        assert not run()
