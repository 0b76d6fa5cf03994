"""What befalls many members, in virtual time: the real state machines over seeds, with faults between them."""

from __future__ import annotations

import unittest

from hallhitch.lab.fleet.cluster import Cluster, Peer
from hallhitch.lab.fleet.timeline import TimeLine, Trouble
from hallhitch.membership.protocol_settings import ProtocolSettings
from hallhitch.membership.records import MemberState

SEEDS = (1, 2, 3)
LONG = 60_000.0  # ms: past all bounds asked for here


def held(peer: Peer, name: str) -> set[MemberState]:
    """How a view holds the members of a name."""
    return {record.state for record in peer.swim.records() if record.name == name}


class Case(unittest.TestCase):
    """A cluster that knows itself."""

    count = 9

    def cluster(self, seed: int, count: int = 0) -> Cluster:
        made = Cluster(count or self.count, seed)
        made.settled()
        made.time.run(made.time.now + 3_000)
        self.assertTrue(made.agreed())
        return made

    def run_for(self, cluster: Cluster, ms: float) -> None:
        cluster.time.run(cluster.time.now + ms)

    def trouble(self, cluster: Cluster, seconds: float, kind: str, **fields: object) -> None:
        cluster.begin(Trouble(kind, 0.0, seconds, **fields), seconds * 1000)  # type: ignore[arg-type]

    def failures(self, cluster: Cluster) -> list[str]:
        return [n.about for n in cluster.noted if n.state is MemberState.FAILED]

    def heals(self, cluster: Cluster, within: float) -> None:
        """One view again, within so many ms."""
        took = cluster.until(cluster.agreed, LONG)
        self.assertLess(took, within)


class Processes(Case):
    """Processes that die, stand still, return."""

    def test_a_crash_is_found_by_all_and_nobody_else_is_failed(self) -> None:
        """Guards against a dead member that stays, and one taken for dead beside it."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                c = self.cluster(seed)
                c.kill(4)
                self.assertLess(c.until(c.agreed, LONG), 15_000)
                self.assertEqual(set(self.failures(c)), {"g4"})
                self.assertEqual(len(self.failures(c)), 8)

    def test_a_return_within_the_suspicion_is_another_instance(self) -> None:
        """Guards against a process that comes back under its name and is taken for the one that died."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                c = self.cluster(seed)
                old = c.peers[4].swim.local.instance
                c.kill(4)
                self.run_for(c, 1_500)
                new = c.start(4).swim.local.instance
                self.heals(c, 10_000)
                for peer in c.there():
                    states = {key[1]: h.record.state for key, h in peer.swim.members.items() if key[0] == "g4"}
                    self.assertIsNot(states.get(old, MemberState.FAILED), MemberState.ALIVE)
                    if peer.number != 4:
                        self.assertIs(states[new], MemberState.ALIVE)
                    self.assertEqual(peer.swim.conflicts, {})

    def test_a_process_that_stood_still_accuses_nobody_when_it_wakes(self) -> None:
        """Guards against an old view that is believed, and a member that others gave up and that stays given up."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                c = self.cluster(seed)
                self.trouble(c, 40.0, "stop", whom=("g4",))
                self.run_for(c, 39_000)
                self.assertTrue(all(held(p, "g4") == {MemberState.FAILED} for p in c.there()))
                before = set(self.failures(c))
                self.heals(c, 20_000)
                self.run_for(c, 5_000)
                self.assertEqual(c.peers[4].swim.counters.accusations, 0)
                self.assertEqual(set(self.failures(c)), before)
                self.assertGreater(c.peers[4].swim.local.incarnation, 0)
                self.assertEqual(c.peers[4].swim.counters.stalls, 1)

    def test_a_slow_process_has_nobody_failed(self) -> None:
        """Guards against a gateway under load that comes late to everything and gives up those who answered."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                slow = 0.0
                c = Cluster(self.count, seed, slow=lambda number: slow if number == 4 else 0.0)  # noqa: B023
                c.settled()
                self.run_for(c, 3_000)
                slow = 180.0
                self.run_for(c, 60_000)
                slow = 0.0
                self.run_for(c, 10_000)
                self.assertEqual(self.failures(c), [])
                self.assertTrue(c.agreed())

    def test_who_leaves_is_never_called_failed(self) -> None:
        """Guards against a planned end that counts as a failure."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                c = self.cluster(seed)
                c.term(4)
                self.run_for(c, 20_000)
                self.assertTrue(c.agreed())
                self.assertEqual(self.failures(c), [])
                self.assertTrue(all(held(p, "g4") == {MemberState.LEFT} for p in c.there()))

    def test_a_drained_one_returns_with_a_new_incarnation(self) -> None:
        """Guards against a drain that cannot be taken back."""
        c = self.cluster(1)
        c.peers[4].swim.leave(c.time.now)
        self.run_for(c, 5_000)
        self.assertTrue(all(held(p, "g4") == {MemberState.LEFT} for p in c.there() if p.number != 4))
        c.peers[4].swim.rejoin(c.time.now)
        self.heals(c, 10_000)
        self.assertEqual(c.peers[4].swim.local.incarnation, 1)

    def test_all_restarted_at_once_find_each_other_though_two_seeds_are_dead(self) -> None:
        """Guards against a cluster that only ever grew from its first member."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                c = self.cluster(seed)
                self.trouble(c, 1.0, "kill", whom=("g2-g8",))
                for number in (0, 1):
                    c.kill(number)
                self.run_for(c, 1_500)
                self.heals(c, 10_000)
                self.assertEqual({p.swim.present_count for p in c.there()}, {7})
                c.start(0)  # a seed that comes back
                self.heals(c, 15_000)

    def test_seeds_that_come_back_bring_all_together(self) -> None:
        """Guards against processes that gave up on seeds which were all dead when they started."""
        c = Cluster(self.count, 5)
        for number in range(3, 9):
            c.start(number)
        self.run_for(c, 30_000)
        self.assertEqual({p.swim.present_count for p in c.there()}, {1})
        c.start(1)
        self.heals(c, 15_000)


class Names(Case):
    """Who is who."""

    def test_two_of_one_name_are_told_apart_and_both_stay(self) -> None:
        """Guards against a second process that takes the first one's place in silence."""
        c = self.cluster(1)
        c.count += 1
        c.start(9, name="g4")
        self.run_for(c, 10_000)
        for peer in c.there():
            self.assertEqual(list(peer.swim.conflicts), ["g4"])
            self.assertEqual(peer.swim.counters.conflicts, 1)
            self.assertEqual(peer.swim.present_count, 10)
        places = [c.peers[number].damped_view.ranking.rank("node-7") for number in range(10)]
        self.assertEqual(sorted(places), list(range(10)))  # a place each
        c.kill(9)
        self.heals(c, 20_000)
        self.assertTrue(all(peer.swim.conflicts == {} for peer in c.there()))

    def test_a_replacement_is_no_conflict_and_one_gateway(self) -> None:
        """Guards against a planned replacement that is shown as a mistake, or counted twice."""
        c = Cluster(4, 1)
        for number in range(4):
            c.start(number, kin=7 if number == 3 else None)
        self.run_for(c, 8_000)
        c.count = 5
        c.start(4, name="g3", kin=7)
        self.run_for(c, 8_000)
        for peer in c.there():
            self.assertEqual(peer.swim.conflicts, {})
            self.assertEqual(len(peer.damped_view.ranking.gateways), 4)
        c.term(3)
        self.run_for(c, 8_000)
        self.assertEqual([len(p.damped_view.ranking.gateways) for p in c.there()], [4] * 4)
        self.assertEqual(self.failures(c), [])


class Links(Case):
    """What comes between them."""

    def test_one_link_cut_one_way_fails_nobody(self) -> None:
        """Guards against one bad link taken for a dead member."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                c = self.cluster(seed)
                self.trouble(c, 40.0, "cut", whom=("g2",), to=("g5",), one_way=True)
                self.run_for(c, 45_000)
                self.assertEqual(self.failures(c), [])

    def test_one_that_hears_and_is_not_heard_is_given_up_by_the_others_alone(self) -> None:
        """Guards against a mute member that has the others doubt each other."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                c = self.cluster(seed)
                self.trouble(c, 40.0, "cut", whom=("g4",), one_way=True)
                self.run_for(c, 39_000)
                others = [p for p in c.there() if p.number != 4]
                self.assertTrue(all(held(p, "g4") == {MemberState.FAILED} for p in others))
                self.assertEqual({p.swim.present_count for p in others}, {8})
                self.heals(c, 25_000)

    def test_splits_heal_into_one_view(self) -> None:
        """Guards against parts that stay apart, and against members lost for good by a split."""
        for parts in ((0.5, 0.5), (0.8, 0.2), (0.34, 0.33, 0.33)):
            for seconds in (3.0, 30.0):
                with self.subTest(parts=parts, seconds=seconds):
                    c = self.cluster(2)
                    self.trouble(c, seconds, "split", parts=parts)
                    self.run_for(c, seconds * 1000 + 10)
                    self.heals(c, 20_000)
                    self.run_for(c, 10_000)
                    self.assertTrue(c.agreed())

    def test_links_that_flap_leave_one_view(self) -> None:
        """Guards against a view that swings with each link for ever."""
        c = self.cluster(3)
        c.play(TimeLine(60.0, (Trouble("cut", 4.0, 1.0, ("g1-g3",), ("g4-g8",), every_s=2.0, until_s=34.0),)))
        self.run_for(c, 32_000)
        self.heals(c, 15_000)

    def test_a_split_during_a_release(self) -> None:
        """Guards against restarts that one side never hears of."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                c = self.cluster(seed)
                self.trouble(c, 20.0, "split", parts=(0.5, 0.5))
                for number in range(9):
                    c.time.after(2_000.0 * number, c.begin, Trouble("term", 0.0, 1.0, (f"g{number}",)), 1_000.0)
                self.run_for(c, 22_000)
                self.heals(c, 25_000)
                self.assertEqual({p.swim.present_count for p in c.there()}, {9})

    def test_a_third_of_all_datagrams_lost_and_doubled(self) -> None:
        """Guards against members given up for lost datagrams."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                c = self.cluster(seed)
                self.trouble(c, 60.0, "drop", share=0.3)
                self.trouble(c, 60.0, "duplicate", share=0.3)
                self.trouble(c, 60.0, "delay", share=0.3, delay_ms=(1.0, 40.0))
                self.run_for(c, 60_000)
                self.assertEqual(self.failures(c), [])
                self.heals(c, 10_000)

    def test_many_members_keep_each_other_through_loss(self) -> None:
        """Guards against accusations that come faster than refutations get round: a probe is sent a second time."""
        c = Cluster(50, 1)
        c.settled()
        self.run_for(c, 3_000)
        self.trouble(c, 20.0, "drop", share=0.3)
        self.run_for(c, 20_000)
        self.assertEqual(self.failures(c), [])
        self.heals(c, 15_000)

    def test_a_stalled_link_delivers_late_and_harms_nobody(self) -> None:
        """Guards against old datagrams that come in a heap and bring old states back."""
        c = self.cluster(4)
        self.trouble(c, 15.0, "stall", whom=("g4",))
        self.run_for(c, 15_010)
        self.heals(c, 25_000)


class Bounds(Case):
    """What is never without bound."""

    def test_news_are_over_and_a_quiet_cluster_says_little(self) -> None:
        """Guards against records passed on for ever."""
        c = self.cluster(1)
        c.kill(4)
        self.run_for(c, 30_000)
        self.assertEqual({p.swim.pending_updates for p in c.there()}, {0})
        before = sum(p.sent for p in c.there())
        self.run_for(c, 10_000)
        self.assertLess((sum(p.sent for p in c.there()) - before) / len(c.there()) / 10, 6)

    def test_members_are_held_up_to_a_bound_and_the_gone_make_room(self) -> None:
        """Guards against memory that grows with what datagrams name."""
        c = Cluster(6, 1, tuning=ProtocolSettings(max_members=4))
        c.start_all()
        self.run_for(c, 5_000)
        self.assertEqual({len(p.swim.members) for p in c.there()}, {4})
        c.kill(5)
        self.run_for(c, 40_000)
        self.assertTrue(all(len(p.swim.members) <= 4 for p in c.there()))
        self.assertTrue(c.agreed())
