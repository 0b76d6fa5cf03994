"""Places and budgets: what follows from a view, damped; over many names, views and schedules."""

from __future__ import annotations

import itertools
import math
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hallhitch.decision import api
from hallhitch.decision.policy import FEW, Gateway
from hallhitch.membership.damped_view import DampedView, DampingSettings, GatewayCounts
from hallhitch.membership.records import MemberRecord, MemberState
from hallhitch.membership.rendezvous import RendezvousRanking

SERVERS = [f"node-{n}" for n in range(100)]
STEP = 200.0  # ms between looks here


def record(
    name: str, state: MemberState = MemberState.ALIVE, instance: int = 1, kin: int = 0, address: str = ""
) -> MemberRecord:
    return MemberRecord(name, instance, 0, state, address or f"127.0.0.1:{instance}", kin or instance)


def kept(name: str, names: list[str], servers: list[str] = SERVERS) -> set[str]:
    """The servers that a gateway keeps to among these."""
    places, few = RendezvousRanking(name), math.ceil(FEW * max(1.0, len(names) / len(servers)))
    places.set_gateways(names)
    return {server for server in servers if places.rank(server) < few}


class Run:
    """A roster looked at over time."""

    def __init__(self, me: str = "g0", told: int = 10, damping: DampingSettings | None = None) -> None:
        self.me, self.now = record(me), 1_000.0
        self.roster = DampedView(self.me, told, damping or DampingSettings(), self.now)
        self.told: list[tuple[float, GatewayCounts]] = []
        self.states: dict[str, MemberState] = {}

    def go(self, seconds: float) -> Run:
        ends = self.now + seconds * 1000
        while self.now < ends:
            self.now += STEP
            records = [self.me, *(record(n, s, 10 + i) for i, (n, s) in enumerate(sorted(self.states.items())))]
            found = self.roster.evaluate(records, self.now)
            if found is not None:
                self.told.append((self.now, found))
        return self

    def turn(self, state: MemberState, *names: str) -> Run:
        self.states |= dict.fromkeys(names, state)
        return self

    @property
    def last(self) -> tuple[int, int]:
        return self.told[-1][1].placement_count, self.told[-1][1].budget_count


def names(first: int, last: int) -> list[str]:
    return [f"g{n}" for n in range(first, last)]


class PlacesOf(unittest.TestCase):
    """Rendezvous hashing by names."""

    def test_every_server_has_as_many_gateways_and_nobody_is_idle(self) -> None:
        """Guards against servers that nobody keeps to, and gateways with none."""
        for count in (40, 200):
            all_names = names(0, count)
            few = math.ceil(FEW * max(1.0, count / len(SERVERS)))
            keepers = dict.fromkeys(SERVERS, 0)
            for name in all_names:
                for server in kept(name, all_names):
                    keepers[server] += 1
            self.assertEqual(set(keepers.values()), {few})

    def test_one_that_joins_or_leaves_moves_the_least_possible(self) -> None:
        """Guards against a fleet that reconnects because one gateway came or went."""
        before = {name: kept(name, names(0, 60)) for name in names(0, 60)}
        after = {name: kept(name, names(0, 59)) for name in names(0, 59)}
        moved = sum(len(after[name] ^ before[name]) for name in names(0, 59))
        self.assertEqual(moved, len(before["g59"]))  # each of its servers takes one other, and nothing else changes

    @given(st.lists(st.sets(st.integers(0, 30), max_size=12), min_size=1, max_size=8))
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_followed_step_by_step_or_counted_anew_is_the_same(self, views: list[set[int]]) -> None:
        """Guards against places that drift from the view they are of."""
        places = RendezvousRanking("me")
        for view in views:
            places.set_gateways(f"g{n}" for n in view)
            fresh = RendezvousRanking("me")
            fresh.set_gateways(f"g{n}" for n in view)
            for server in SERVERS[:20]:
                self.assertEqual(places.rank(server), fresh.rank(server))

    def test_the_parts_of_all_stay_within_one_whatever_the_views(self) -> None:
        """Guards against a cold server's budget spent twice while views differ: over servers, and in any split."""
        draw, everybody = random.Random(7), names(0, 60)
        views = {name: sorted({name, *draw.sample(everybody, draw.randint(1, 59))}) for name in everybody}
        halves = {name: names(0, 30) if name in names(0, 30) else names(30, 60) for name in everybody}
        for what, told, most in (("any", views, 1.05), ("halves", halves, 1.0 + 1e-9)):
            shares = dict.fromkeys(SERVERS, 0.0)
            for name, view in told.items():
                places = RendezvousRanking(name)
                places.set_gateways(view)
                for server in SERVERS:
                    most = min(FEW, len(view))
                    if (rank := places.rank(server)) < most:  # as the module's `cold_pause` has it
                        shares[server] += (2 * (most - rank) - 1) / most / (most * len(everybody) / len(view))
            with self.subTest(views=what):
                mean = sum(shares.values()) / len(shares)
                self.assertLessEqual(mean if what == "any" else max(shares.values()), most)


class Damped(unittest.TestCase):
    """What the module hears, and when."""

    def start(self, count: int = 10) -> Run:
        run = Run(told=count).turn(MemberState.ALIVE, *names(1, count)).go(70)
        self.assertEqual(run.last, (count, count))
        return run

    def test_before_anybody_is_seen_the_settings_hold(self) -> None:
        """Guards against a gateway that takes itself for the only one because it hears nobody."""
        self.assertEqual(Run(told=200).go(120).told, [])

    def test_it_never_asks_to_be_looked_at_at_once_again(self) -> None:
        """Guards against a gateway that spins: sums of times round, and what is not yet due must not be due in 0 ms."""
        draw = random.Random(1)
        for _ in range(100):
            now = 1e6
            roster, here = DampedView(record("g0"), 2, DampingSettings(), now), [record("g0"), record("g1", instance=2)]
            roster.evaluate(here, now)
            now = 2**20 - draw.uniform(0, 2_000)  # a sum past that power of two rounds
            here.append(record("g2", instance=3))
            while "g2" not in roster.ranking.gateways:
                roster.evaluate(here, now)
                self.assertGreater(roster.wake_at, now)
                now = min(roster.wake_at, now + 1e6)

    def test_a_suspicion_changes_nothing(self) -> None:
        """Guards against connections moved for a doubt."""
        run = self.start()
        before = len(run.told)
        run.turn(MemberState.SUSPECT, "g3", "g4").go(30)
        self.assertEqual(len(run.told), before)

    def test_one_that_failed_counts_for_budgets_for_a_stated_time(self) -> None:
        """Guards against budgets taken over at once from one that may only be cut off."""
        run = self.start(20)
        run.turn(MemberState.FAILED, *names(6, 20)).go(2)
        self.assertEqual(run.last, (6, 20))
        run.go(12)
        self.assertEqual(run.last[1], 20)
        run.go(25)
        self.assertTrue(6 < run.last[1] < 20, run.last)
        run.go(25)
        self.assertEqual(run.last, (6, 6))

    def test_one_that_left_is_counted_no_more_at_once(self) -> None:
        """Guards against a release that leaves everybody with a part too small."""
        run = self.start()
        run.turn(MemberState.LEFT, "g9").go(1.5)
        self.assertEqual(run.last, (9, 9))

    def test_many_that_return_are_taken_back_in_steps_all_in_one_order(self) -> None:
        """Guards against a wave of connections when a split heals."""
        for me in ("g0", "g5"):
            run = Run(me=me, told=60).turn(MemberState.ALIVE, *(set(names(0, 60)) - {me})).go(70)
            run.turn(MemberState.FAILED, *names(30, 60)).go(20)
            self.assertEqual(run.last[0], 30)
            healed, began = run.now, len(run.told)
            run.turn(MemberState.ALIVE, *names(30, 60)).go(40)
            steps = [(at, found.placement_count) for at, found in run.told[began:]]
            self.assertGreaterEqual(next(at for at, seen in steps if seen > 30) - healed, 5_000)
            sizes = [30, *(seen for _, seen in steps)]
            self.assertLessEqual(max((b - a) / a for a, b in itertools.pairwise(sizes)), 0.1)
            self.assertLess(steps[-1][0] - healed, 15_000)
            self.assertEqual(run.last, (60, 60))

    def test_a_release_moves_places_once_a_step_at_most(self) -> None:
        """Guards against places that jump with each of two hundred restarts."""
        run = self.start(100)
        before = len(run.told)
        for tenth in range(10):
            some = names(max(1, tenth * 10), tenth * 10 + 10)
            run.turn(MemberState.LEFT, *some).go(1).turn(MemberState.ALIVE, *some).go(9)
        run.go(10)
        times = [at for at, found in run.told[before:]]
        self.assertGreaterEqual(min(b - a for a, b in itertools.pairwise(times)), 200)
        self.assertGreaterEqual(min(found.budget_count for _, found in run.told[before:]), 90)
        self.assertEqual(run.last, (100, 100))

    def test_two_under_one_name_have_a_place_each_and_two_of_one_gateway_have_one(self) -> None:
        """Guards against a conflict in which both take the same part, and a replacement that counts twice."""
        twins = [record("g1", instance=5, kin=5), record("g1", instance=6, kin=6)]
        self.assertEqual(sorted(DampedView.placement_states(twins)), ["g1", "g1/6"])
        kin = [record("g1", instance=5, kin=9), record("g1", instance=6, kin=9)]
        self.assertEqual(sorted(DampedView.placement_states(kin)), ["g1"])
        moved = [record("g1", instance=5, address="127.0.0.1:1"), record("g1", instance=6, address="127.0.0.1:1")]
        self.assertEqual(sorted(DampedView.placement_states(moved)), ["g1"])


class Module(unittest.TestCase):
    """The one event that the module hears."""

    def module(self, index: int = 0, gateways: int = 40) -> Gateway:
        settings_ = api.Settings(
            gateways,
            (api.RequestClass("read", 800.0, 2000.0, effect=api.SAFE),),
            (),
            index=index,
            cold_time=10_000.0,
            cold_from=0.2,
        )
        made = Gateway(settings_, 1)
        entries = tuple(api.ServerEntry(server, "up", started=1.0) for server in SERVERS)
        made.handle(20_000.0, [api.ServerList("full", entries)])
        return made

    def test_places_follow_names_and_no_server_is_without_a_gateway(self) -> None:
        """Guards against a wrong number in the settings: all told that they are number 0 keep to the same servers."""
        wrong = [self.module() for _ in range(40)]
        self.assertLess(len({s.entry.server for made in wrong for s in made.subset}), 20)
        for number, made in enumerate(wrong):
            places = RendezvousRanking(f"g{number}")
            places.set_gateways(names(0, 40))
            made.handle(21_000.0, [api.Peers(40, 40, places.rank)])
        keepers = {
            server: sum(any(s.entry.server == server for s in made.subset) for made in wrong) for server in SERVERS
        }
        self.assertTrue(all(FEW <= count <= FEW + 3 for count in keepers.values()), keepers)

    def test_budgets_go_by_the_larger_number_and_traffic_by_the_smaller(self) -> None:
        """Guards against a cold server given more than its part by those who do not see each other."""
        made = self.module()
        cold = made.servers["node-1"]
        cold.entry = api.ServerEntry("node-1", "up", started=19_000.0)
        for server in made.servers.values():
            server.served_at.extend([20_500.0] * 30)
        made.now = 21_000.0
        rest, rank = made.warming_pause(cold), cold.rank
        made.handle(21_000.0, [api.Peers(20, 40, lambda server: rank)])
        # Half of the gateways in sight, each of them a keeper as before: twice as many keepers in all, and traffic
        # counted by half.
        self.assertAlmostEqual(made.warming_pause(cold) / rest, 4.0, delta=0.2)

    def test_settings_that_are_read_again_do_not_undo_it(self) -> None:
        """Guards against a reload that brings the numbers of the file back."""
        made = self.module()
        made.handle(21_000.0, [api.Peers(10, 20, lambda server: 3)])
        made.handle(21_001.0, [api.NewSettings(made.config)])
        self.assertEqual((made.peers.seen, made.peers.counted), (10, 20))
