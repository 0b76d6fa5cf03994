"""Mutation tests: the checker reports violations when one mechanism is disabled, and none when all are enabled.

docs/design/control-under-faults.md lists each mechanism, how it was disabled, and the invariants that were violated.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import pytest

from hallhitch.lab.simulation.faults import Fault, FaultKind
from hallhitch.lab.simulation.operation_history import Invariant, Violation, violated_invariants
from hallhitch.lab.simulation.schedule import Schedule
from hallhitch.lab.simulation.simulated_disk import SimulatedDisk
from hallhitch.lab.simulation.simulation import run_schedule
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
from tests.system.simulation.scenario_plan import run_scenario

Run = Callable[[], list[Violation]]


def _without_incarnations(monkeypatch: pytest.MonkeyPatch) -> None:
    """Count the votes of ended incarnations, too."""
    monkeypatch.setattr(VoteTally, "valid_votes", lambda tally: set(tally._granted))


def _without_directory_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    """Don't sync the names of created and removed files."""
    monkeypatch.setattr(SimulatedDisk, "sync_directory", lambda disk: None)


def _without_serving_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make a confirmation by a majority valid without limit."""

    def was_confirmed(lease: ServingLease) -> bool:
        return lease.confirmed_at_ms > float("-inf")

    monkeypatch.setattr(ServingLease, "is_valid", lambda lease, now: was_confirmed(lease))
    monkeypatch.setattr(ServingLease, "age_ms", lambda lease, now: 0.0 if was_confirmed(lease) else -1.0)


def _without_joint_consensus(monkeypatch: pytest.MonkeyPatch) -> None:
    """Require only a majority of the new members during a membership change."""
    monkeypatch.setattr(
        Membership,
        "quorum_sets",
        property(lambda membership: (frozenset(membership.members),) if membership.members else ()),
    )


def _without_candidate_state(monkeypatch: pytest.MonkeyPatch) -> None:
    """Admit all candidates, whichever state they have."""
    record_query = PeerObservations.record_query

    def record_as_current(observations: PeerObservations, message: AcceptorQuery, now: float, newest: Ballot) -> None:
        record_query(observations, message, now, newest)
        for querier in observations._queriers.values():
            querier.last_current_ms = querier.last_query_ms

    monkeypatch.setattr(PeerObservations, "record_query", record_as_current)


def _without_digests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Acknowledge a write if its version was committed, with whichever content."""
    monkeypatch.setattr(operator_api, "config_outcome", lambda state, version, digest: ConfigOutcome.RECORDED)


def _without_identity_check(monkeypatch: pytest.MonkeyPatch) -> None:
    """Accept calls and replies of any address and incarnation."""
    monkeypatch.setattr(Identity, "mismatch", lambda identity, address, incarnation: None)


def _power_loss_of_all_coordinators(seed: int) -> list[Violation]:
    """Cut the power of all coordinators during frequent writes."""
    fault = Fault(FaultKind.ALL_POWER_LOSS, starts_at_s=4.0 + 0.37 * seed, duration_s=0.5)
    return run_schedule(
        Schedule(
            seed,
            1,
            3,
            1,
            (fault,),
            duration_s=6.0,
            link_delay_ms=5.0,
            response_loss_ratio=0.0,
            operation_rate_factor=2.0,
        )
    )


def _conflicting_writes(seed: int) -> list[Violation]:
    """Make operators often write different contents under one version, without faults."""
    return run_schedule(
        Schedule(
            seed, 1, 3, 1, (), duration_s=6.0, link_delay_ms=5.0, response_loss_ratio=0.1, operation_rate_factor=2.0
        )
    )


@dataclass(frozen=True, slots=True)
class Mechanism:
    """How to disable a mechanism, runs that exercise it, and an invariant that each of them violates without it."""

    disable: Callable[[pytest.MonkeyPatch], None]
    runs: tuple[Run, ...]
    invariant: Invariant


MECHANISMS = {
    "serving lease": Mechanism(
        _without_serving_lease,
        (
            partial(run_scenario, scenarios.gateway_reaches_only_partitioned_coordinator),
            partial(run_scenario, scenarios.gateway_reaches_only_coordinator_without_inbound_links),
            partial(run_scenario, scenarios.gateway_reaches_only_resumed_coordinator),
        ),
        Invariant.BOUNDED_STALENESS,
    ),
    "incarnations": Mechanism(
        _without_incarnations,
        (partial(run_scenario, scenarios.vote_of_incarnation_that_lost_its_disk, 5),),
        Invariant.DURABILITY,
    ),
    "joint consensus": Mechanism(
        _without_joint_consensus,
        (partial(run_scenario, scenarios.incomplete_membership_change),),
        Invariant.SINGLE_STATE,
    ),
    "candidate state": Mechanism(
        _without_candidate_state,
        (partial(run_scenario, scenarios.new_member_with_full_disk),),
        Invariant.MEMBERS_HOLD_STATE,
    ),
    "digests": Mechanism(
        _without_digests,
        tuple(partial(_conflicting_writes, seed) for seed in range(3)),
        Invariant.SINGLE_ACKNOWLEDGED_CONTENT,
    ),
    "identity check": Mechanism(
        _without_identity_check,
        (partial(run_scenario, scenarios.peer_address_redirected_to_caller),),
        Invariant.DURABILITY,
    ),
    "directory sync": Mechanism(
        _without_directory_sync,
        tuple(partial(_power_loss_of_all_coordinators, seed) for seed in range(4)),
        Invariant.DURABILITY,
    ),
}


@pytest.mark.parametrize("name", MECHANISMS)
def test_each_run_violates_an_invariant_without_the_mechanism(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    mechanism = MECHANISMS[name]
    mechanism.disable(monkeypatch)
    for run in mechanism.runs:
        assert mechanism.invariant in violated_invariants(run())


@pytest.mark.parametrize("name", MECHANISMS)
def test_no_run_violates_an_invariant_with_the_mechanism(name: str) -> None:
    for run in MECHANISMS[name].runs:
        assert not run()
