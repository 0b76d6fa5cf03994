"""Faults of processes and links among many members, in virtual time over seeds."""

from __future__ import annotations

import pytest

from hallhitch.lab.fleet.cluster import Cluster, ClusterOptions
from hallhitch.lab.fleet.timeline import FaultTimeline, FleetFault
from hallhitch.membership.protocol_settings import ProtocolSettings
from hallhitch.membership.records import MemberState
from tests.membership.modelled_cluster import (
    AGREEMENT_TIMEOUT_MS,
    advance,
    agreed_cluster,
    assert_agreed_within,
    inject,
    reported_failures,
    states_of,
)

COUNT = 9  # members of a cluster
each_seed = pytest.mark.parametrize("seed", [1, 2, 3])


# Processes that crash, stall, leave or return.


@each_seed
def test_crash_is_detected_by_all_and_no_other_member_is_failed(seed: int) -> None:
    cluster = agreed_cluster(seed)
    cluster.kill(4)
    assert cluster.run_until(cluster.is_agreed, AGREEMENT_TIMEOUT_MS) < 15_000
    assert set(reported_failures(cluster)) == {"g4"}
    assert len(reported_failures(cluster)) == 8


@each_seed
def test_restart_within_the_suspicion_is_another_instance(seed: int) -> None:
    cluster = agreed_cluster(seed)
    crashed_instance = cluster.members[4].swim.local.instance
    cluster.kill(4)
    advance(cluster, 1_500)
    new_instance = cluster.start(4).swim.local.instance
    assert_agreed_within(cluster, 10_000)
    for peer in cluster.running():
        states = {key.instance: member.record.state for key, member in peer.swim.members.items() if key.name == "g4"}
        assert states.get(crashed_instance, MemberState.FAILED) is not MemberState.ALIVE
        if peer.number != 4:
            assert states[new_instance] is MemberState.ALIVE
        assert peer.swim.conflicts == {}


@each_seed
def test_stalled_process_accuses_no_member_when_it_resumes(seed: int) -> None:
    cluster = agreed_cluster(seed)
    inject(cluster, "stop", 40.0, whom=("g4",))
    advance(cluster, 39_000)
    assert all(states_of(peer, "g4") == {MemberState.FAILED} for peer in cluster.running())
    failures = set(reported_failures(cluster))
    assert_agreed_within(cluster, 20_000)
    advance(cluster, 5_000)
    stalled = cluster.members[4].swim
    assert stalled.counters.accusations == 0
    assert set(reported_failures(cluster)) == failures
    assert stalled.local.incarnation > 0
    assert stalled.counters.stalls == 1


@each_seed
def test_slow_process_causes_no_failure(seed: int) -> None:
    delay_ms = {4: 0.0}
    cluster = Cluster(COUNT, seed, options=ClusterOptions(process_delay_ms=lambda number: delay_ms.get(number, 0.0)))
    cluster.start_settled()
    advance(cluster, 3_000)
    delay_ms[4] = 180.0
    advance(cluster, 60_000)
    delay_ms[4] = 0.0
    advance(cluster, 10_000)
    assert reported_failures(cluster) == []
    assert cluster.is_agreed()


@each_seed
def test_departure_is_not_a_failure(seed: int) -> None:
    cluster = agreed_cluster(seed)
    cluster.terminate(4)
    advance(cluster, 20_000)
    assert cluster.is_agreed()
    assert reported_failures(cluster) == []
    assert all(states_of(peer, "g4") == {MemberState.LEFT} for peer in cluster.running())


def test_member_rejoins_with_a_new_incarnation() -> None:
    cluster = agreed_cluster(1)
    cluster.members[4].swim.leave(cluster.time.now)
    advance(cluster, 5_000)
    assert all(states_of(peer, "g4") == {MemberState.LEFT} for peer in cluster.running() if peer.number != 4)
    cluster.members[4].swim.rejoin(cluster.time.now)
    assert_agreed_within(cluster, 10_000)
    assert cluster.members[4].swim.local.incarnation == 1


@each_seed
def test_members_restarted_at_once_find_each_other_with_two_of_three_seeds_crashed(seed: int) -> None:
    cluster = agreed_cluster(seed)
    inject(cluster, "kill", 1.0, whom=("g2-g8",))
    for number in (0, 1):
        cluster.kill(number)
    advance(cluster, 1_500)
    assert_agreed_within(cluster, 10_000)
    assert {peer.swim.present_count for peer in cluster.running()} == {7}
    cluster.start(0)  # restart a seed
    assert_agreed_within(cluster, 15_000)


def test_returning_seed_unites_members_that_started_without_seeds() -> None:
    cluster = Cluster(COUNT, 5)
    for number in range(3, 9):
        cluster.start(number)
    advance(cluster, 30_000)
    assert {peer.swim.present_count for peer in cluster.running()} == {1}
    cluster.start(1)
    assert_agreed_within(cluster, 15_000)


# Names.


def test_two_gateways_with_one_name_are_a_conflict_and_keep_a_rank_each() -> None:
    cluster = agreed_cluster(1)
    cluster.count += 1
    cluster.start(9, name="g4")
    advance(cluster, 10_000)
    for peer in cluster.running():
        assert list(peer.swim.conflicts) == ["g4"]
        assert peer.swim.counters.conflicts == 1
        assert peer.swim.present_count == 10
    ranks = [cluster.members[number].damped_view.ranking.rank("node-7") for number in range(10)]
    assert sorted(ranks) == list(range(10))
    cluster.kill(9)
    assert_agreed_within(cluster, 20_000)
    assert all(peer.swim.conflicts == {} for peer in cluster.running())


def test_replacement_process_is_not_a_conflict_and_counts_as_one_gateway() -> None:
    cluster = Cluster(4, 1)
    for number in range(4):
        cluster.start(number, gateway_id=7 if number == 3 else None)
    advance(cluster, 8_000)
    cluster.count = 5
    cluster.start(4, name="g3", gateway_id=7)
    advance(cluster, 8_000)
    for peer in cluster.running():
        assert peer.swim.conflicts == {}
        assert len(peer.damped_view.ranking.gateways) == 4
    cluster.terminate(3)
    advance(cluster, 8_000)
    assert [len(peer.damped_view.ranking.gateways) for peer in cluster.running()] == [4] * 4
    assert reported_failures(cluster) == []


# Links between members.


@each_seed
def test_one_link_cut_in_one_direction_causes_no_failure(seed: int) -> None:
    cluster = agreed_cluster(seed)
    inject(cluster, "cut", 40.0, whom=("g2",), to=("g5",), one_way=True)
    advance(cluster, 45_000)
    assert reported_failures(cluster) == []


@each_seed
def test_member_that_cannot_send_is_failed_by_the_others_alone(seed: int) -> None:
    cluster = agreed_cluster(seed)
    inject(cluster, "cut", 40.0, whom=("g4",), one_way=True)
    advance(cluster, 39_000)
    others = [peer for peer in cluster.running() if peer.number != 4]
    assert all(states_of(peer, "g4") == {MemberState.FAILED} for peer in others)
    assert {peer.swim.present_count for peer in others} == {8}
    assert_agreed_within(cluster, 25_000)


@pytest.mark.parametrize("parts", [(0.5, 0.5), (0.8, 0.2), (0.34, 0.33, 0.33)])
@pytest.mark.parametrize("seconds", [3.0, 30.0])
def test_views_converge_after_a_partition(parts: tuple[float, ...], seconds: float) -> None:
    cluster = agreed_cluster(2)
    inject(cluster, "split", seconds, parts=parts)
    advance(cluster, seconds * 1000 + 10)
    assert_agreed_within(cluster, 20_000)
    advance(cluster, 10_000)
    assert cluster.is_agreed()


def test_views_converge_after_flapping_links() -> None:
    cluster = agreed_cluster(3)
    flapping = FleetFault("cut", 4.0, 1.0, ("g1-g3",), ("g4-g8",), every_s=2.0, until_s=34.0)
    cluster.schedule(FaultTimeline(60.0, (flapping,)))
    advance(cluster, 32_000)
    assert_agreed_within(cluster, 15_000)


@each_seed
def test_partition_during_a_rolling_restart_heals(seed: int) -> None:
    cluster = agreed_cluster(seed)
    inject(cluster, "split", 20.0, parts=(0.5, 0.5))
    for number in range(COUNT):
        restart = FleetFault("term", 0.0, 1.0, (f"g{number}",))
        cluster.time.after(2_000.0 * number, cluster.begin_fault, restart, 1_000.0)
    advance(cluster, 22_000)
    assert_agreed_within(cluster, 25_000)
    assert {peer.swim.present_count for peer in cluster.running()} == {COUNT}


@each_seed
def test_datagrams_lost_duplicated_and_delayed_cause_no_failure(seed: int) -> None:
    cluster = agreed_cluster(seed)
    inject(cluster, "drop", 60.0, share=0.3)
    inject(cluster, "duplicate", 60.0, share=0.3)
    inject(cluster, "delay", 60.0, share=0.3, delay_ms=(1.0, 40.0))
    advance(cluster, 60_000)
    assert reported_failures(cluster) == []
    assert_agreed_within(cluster, 10_000)


def test_fifty_members_declare_no_failure_while_a_third_of_the_datagrams_is_lost() -> None:
    """Accusations must not arise faster than refutations spread; therefore each probe is sent a second time."""
    cluster = agreed_cluster(1, count=50)
    inject(cluster, "drop", 20.0, share=0.3)
    advance(cluster, 20_000)
    assert reported_failures(cluster) == []
    assert_agreed_within(cluster, 15_000)


def test_datagrams_delivered_late_in_a_burst_do_not_restore_old_states() -> None:
    cluster = agreed_cluster(4)
    inject(cluster, "stall", 15.0, whom=("g4",))
    advance(cluster, 15_010)
    assert_agreed_within(cluster, 25_000)


# Limits.


def test_updates_end_and_an_idle_cluster_sends_few_datagrams() -> None:
    cluster = agreed_cluster(1)
    cluster.kill(4)
    advance(cluster, 30_000)
    peers = cluster.running()
    assert {peer.swim.pending_updates for peer in peers} == {0}
    sent_before = sum(peer.datagrams_sent for peer in peers)
    advance(cluster, 10_000)
    assert (sum(peer.datagrams_sent for peer in peers) - sent_before) / len(peers) / 10 < 6


def test_table_is_bounded_and_absent_members_are_evicted() -> None:
    cluster = Cluster(6, 1, options=ClusterOptions(ProtocolSettings(max_members=4)))
    cluster.start_all()
    advance(cluster, 5_000)
    assert {len(peer.swim.members) for peer in cluster.running()} == {4}
    cluster.kill(5)
    advance(cluster, 40_000)
    assert all(len(peer.swim.members) <= 4 for peer in cluster.running())
    assert cluster.is_agreed()
