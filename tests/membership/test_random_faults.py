"""Random sequences of crashes, stalls, departures and network faults in a simulated cluster."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule, run_state_machine_as_test

from hallhitch.lab.fleet.cluster import Cluster
from hallhitch.lab.fleet.timeline import FleetFault
from hallhitch.membership.records import MemberKey, MemberState

LONGEST_FAULT_MS = 30_000.0
AGREEMENT_TIMEOUT_MS = 90_000.0
FAULT_FIELDS: dict[str, dict[str, object]] = {
    "split": {"parts": (0.5, 0.5)},
    "drop": {"share": 0.4},
    "duplicate": {"share": 0.5},
    "cut": {"whom": ("g1",), "one_way": True},
    "delay": {"delay_ms": (0.0, 300.0)},
    "stall": {"whom": ("g2",)},
}


class FaultyCluster(RuleBasedStateMachine):
    """Four members under any sequence of faults; when the faults are over, they must agree on one view."""

    @initialize(seed=st.integers(0, 50))
    def begin(self, seed: int) -> None:
        self.cluster = Cluster(4, seed)
        self.cluster.start_settled()
        self.greatest: dict[tuple[int, int, MemberKey], tuple[int, int]] = {}

    def advance(self, duration_ms: float) -> None:
        """Advance time, and check that no state was reverted and that queued updates are bounded."""
        self.cluster.time.run(self.cluster.time.now + duration_ms)
        for peer in self.cluster.running():
            for key, member in peer.swim.members.items():
                holder = peer.number, peer.swim.local.instance, key
                assert member.record.precedence >= self.greatest.get(holder, (0, 0)), "a member's state was reverted"
                self.greatest[holder] = member.record.precedence
            assert peer.swim.pending_updates <= len(peer.swim.members) + 1

    @rule(duration_ms=st.sampled_from([10.0, 400.0, 3_000.0, 20_000.0]))
    def wait(self, duration_ms: float) -> None:
        self.advance(duration_ms)

    @rule(number=st.integers(0, 3))
    def crash(self, number: int) -> None:
        if len(self.cluster.running()) > 2:
            self.cluster.kill(number)

    @rule(number=st.integers(0, 3))
    def start(self, number: int) -> None:
        if not self.cluster.members[number].is_alive:
            self.cluster.start(number)

    @rule(number=st.integers(0, 3), seconds=st.sampled_from([0.3, 3.0, 12.0]))
    def stall(self, number: int, seconds: float) -> None:
        peer = self.cluster.members[number]
        if peer.is_alive and peer.queued is None:
            self.cluster.begin_fault(FleetFault("stop", 0.0, seconds, (f"g{number}",)), seconds * 1000)

    @rule(number=st.integers(0, 3))
    def leave_or_rejoin(self, number: int) -> None:
        peer = self.cluster.members[number]
        if not peer.is_alive or peer.queued is not None:
            return
        if peer.swim.local.state is MemberState.LEFT:
            peer.swim.rejoin(self.cluster.time.now)
        else:
            peer.swim.leave(self.cluster.time.now)

    @rule(kind=st.sampled_from(list(FAULT_FIELDS)), seconds=st.sampled_from([1.0, 8.0, 25.0]))
    def disturb_network(self, kind: str, seconds: float) -> None:
        fault = FleetFault(kind, 0.0, seconds, **FAULT_FIELDS[kind])  # type: ignore[arg-type]
        self.cluster.begin_fault(fault, seconds * 1000)

    @precondition(lambda self: hasattr(self, "cluster"))
    @rule()
    def heal(self) -> None:
        """Wait until all faults are over; check that the members agree on one view and that it no longer changes."""
        self.advance(LONGEST_FAULT_MS)
        elapsed_ms = self.cluster.run_until(self.cluster.is_agreed, AGREEMENT_TIMEOUT_MS)
        assert elapsed_ms < AGREEMENT_TIMEOUT_MS, "the members have not agreed on one view"
        changes = len(self.cluster.view_changes)
        self.advance(5_000.0)
        assert len(self.cluster.view_changes) == changes, "a view changed without a fault"


def test_views_converge_after_any_sequence_of_faults() -> None:
    run_state_machine_as_test(
        FaultyCluster,
        settings=settings(
            max_examples=10,
            stateful_step_count=10,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
