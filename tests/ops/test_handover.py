"""What one process leaves for the next, and how they see each other, apart from any gateway."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from hallhitch.decision import Gateway, api
from hallhitch.net.hops import Idleness
from hallhitch.ops import handover
from hallhitch.ops.neighbour import LIVES, SERVES, Neighbour

HOLD = """
import sys
from hallhitch.ops.neighbour import Neighbour
n = Neighbour(sys.argv[1])
print("lives", flush=True)
sys.stdin.readline()
n.serves()
print("serves", flush=True)
sys.stdin.readline()
"""


def learner(**changes: object) -> SimpleNamespace:
    """What a module has learned."""
    base: dict[str, object] = {
        "service_ms": {"a": 40.0},
        "learned_at": {"a": 900.0},
        "class_error_ratio": {"a": 0.1},
        "concurrency_limit": 6.0,
        "ask_ratio": 0.8,
        "customers": {},
        "windows": {},
    }
    return SimpleNamespace(**({"config": SimpleNamespace(plans=())} | base | changes))


def idle(clock: float = 0.0) -> Idleness:
    """What hops have learned of idle connections."""
    return Idleness(lambda: clock)


def gateway_of(plans: tuple[api.Plan, ...]) -> Gateway:
    """A module that knows a few servers."""
    gateway = Gateway(api.Settings(2, (api.RequestClass("a", 500.0, 900.0, effect=api.SAFE),), plans), 3)
    gateway.handle(1000.0, [api.ServerList("full", tuple(api.ServerEntry(f"s{n}", "up") for n in range(8)))])
    return gateway


class Handover(unittest.TestCase):
    """The file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.path = folder.name, Path(folder.name) / handover.NAME

    def test_what_is_known_by_name_goes_on_and_nothing_else(self) -> None:
        """Guards against times learned of a class that is gone, or forgotten of one that stays."""
        handover.write(self.folder, learner(), idle(), 1000.0)
        told = handover.read(self.folder, 1500.0)
        assert told is not None
        new = learner(
            service_ms={"a": 300.0, "b": 300.0},
            learned_at={},
            class_error_ratio={},
            concurrency_limit=0.0,
            ask_ratio=1.0,
        )
        handover.take(told, new, idle())
        self.assertEqual((new.service_ms, new.learned_at), ({"a": 40.0, "b": 300.0}, {"a": 900.0}))
        self.assertEqual((new.concurrency_limit, new.ask_ratio), (6.0, 0.8))
        handover.take(told, gone := learner(service_ms={"b": 300.0}, learned_at={}, class_error_ratio={}), idle())
        self.assertEqual(gone.learned_at, {})

    def test_idle_times_that_break_are_not_learned_again(self) -> None:
        """Guards against requests lost on dropped connections with each replacement, until that is learned anew."""
        old, new = idle(1000.0), idle(1500.0)
        for _ in range(2):
            old.learn(300.0, True)
        handover.write(self.folder, learner(), old, 1000.0)
        told = handover.read(self.folder, 1500.0)
        assert told is not None
        handover.take(told, learner(), new)
        self.assertEqual((old.most(), new.most()), (256.0, 256.0))

    def test_a_customers_quota_is_taken_over_and_not_begun_anew(self) -> None:
        """Guards against a burst for every customer with each replacement, and against units counted twice."""
        plans = (api.Plan("p", rate=2.0, burst=4.0), api.Plan("gone", rate=2.0, burst=4.0))
        old, total = gateway_of(plans), 0.0
        for n in range(3):
            (call,) = old.handle(1000.0, [api.Request(n + 1, "k", 0, 0, 1.0, 800.0, 2.0)])[-1:]
            assert isinstance(call, api.Count)
            total += call.units
            old.handle(1001.0, [api.CounterAnswer(call.name, "ok", total, 1.0)])
        (call,) = old.handle(1001.0, [api.Request(9, "other", 1, 0, 1.0, 800.0, 2.0)])[-1:]
        assert isinstance(call, api.Count)
        old.handle(1002.0, [api.CounterAnswer(call.name, "ok", 1.0, 1.0)])
        handover.write(self.folder, old, idle(), 1002.0)
        told = handover.read(self.folder, 1010.0)
        assert told is not None
        new = gateway_of(plans[:1])
        handover.take(told, new, idle())
        self.assertEqual(list(new.customers), ["k"])
        self.assertLess(abs(new.customers["k"].tokens - old.customers["k"].tokens), 0.1)
        sent, left = [], int(old.customers["k"].tokens)
        self.assertLessEqual(left, 2, "some of the burst is gone")
        for n in range(3):  # what is left of the burst, and no more
            actions = new.handle(1010.0, [api.Request(n + 1, "k", 0, 0, 1.0, 800.0, 2.0)])
            call = next(a for a in actions if isinstance(a, api.Count))
            total += call.units
            actions = new.handle(1011.0, [api.CounterAnswer(call.name, "ok", total, 1.0)])
            sent.append(any(isinstance(a, api.Send) for a in actions))
        self.assertEqual(sent, [n < left for n in range(3)])

    def test_old_foreign_and_missing_say_nothing(self) -> None:
        """Guards against what held minutes ago, or in another machine's clock, taken for now."""
        self.assertIsNone(handover.read(self.folder, 0.0))
        handover.write(self.folder, learner(), idle(), 1000.0)
        for now in (999.0, 1000.0 + handover.AGE_MOST + 1):
            self.assertIsNone(handover.read(self.folder, now))
        handover.write(f"{self.folder}/missing", learner(), idle(), 1000.0)
        wrongs: list[dict[str, object]] = [
            {"service_ms": {"a": 0.0}},
            {"service_ms": {"a": float("nan")}},
            {"concurrency_limit": -1.0},
            {"ask_ratio": 2.0},
            {"ask_ratio": True},
            {"class_error_ratio": {"a": 7.0}},
            {"learned_at": {"a": 5000.0}},
        ]
        for wrong in wrongs:
            handover.write(self.folder, learner(**wrong), idle(), 1000.0)
            self.assertIsNone(handover.read(self.folder, 1000.0), wrong)
        for row in ((0.5, 0.1, 0.0), (True, 0.1, 0.0), (65, 0.1, 0.0), (3, 1.5, 0.0), (3, 0.1, 5000.0), (3, 0.1)):
            handover.write(self.folder, learner(), SimpleNamespace(told=lambda row=row: [row]), 1000.0)
            self.assertIsNone(handover.read(self.folder, 1000.0), row)

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, 400), st.binary(max_size=4))
    def test_any_damage_is_ignored_or_harmless(self, at: int, put: bytes) -> None:
        """Guards against a start that fails, or goes on from nonsense, for a damaged file."""
        handover.write(self.folder, learner(), idle(), 1000.0)
        text = self.path.read_bytes()
        self.path.write_bytes(text[:at] + put + text[at + len(put) :] if put else text[:at])
        told = handover.read(self.folder, 1000.0)
        if told is not None:
            handover.take(told, new := learner(), idle())
            json.dumps(
                [new.service_ms, new.learned_at, new.class_error_ratio, new.concurrency_limit, new.ask_ratio],
                allow_nan=False,
            )
            self.assertTrue(all(work > 0 for work in new.service_ms.values()))


class Locks(unittest.TestCase):
    """Two processes."""

    def test_the_other_is_there_until_it_ends_however_it_does(self) -> None:
        """Guards against a dead process that halves the living one's budget for good."""
        with tempfile.TemporaryDirectory() as folder:
            mine = Neighbour(folder)
            self.addCleanup(mine.close)
            self.assertFalse(mine.other(LIVES))
            for _ in range(2):  # one after the other
                process = subprocess.Popen(
                    [sys.executable, "-c", HOLD, folder], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
                )
                assert process.stdout is not None and process.stdin is not None
                self.assertEqual(process.stdout.readline(), "lives\n")
                self.assertEqual((mine.other(LIVES), mine.other(SERVES)), (True, False))
                process.stdin.write("\n")
                process.stdin.flush()
                self.assertEqual(process.stdout.readline(), "serves\n")
                self.assertTrue(mine.other(SERVES))
                process.kill()
                process.wait()
                process.stdout.close()
                process.stdin.close()
                self.assertEqual((mine.other(LIVES), mine.other(SERVES)), (False, False))

    def test_without_a_folder_it_is_alone(self) -> None:
        """Guards against a start that fails for want of a place to look."""
        for folder in (None, "/nowhere/at/all", "/proc/self/mem"):
            alone = Neighbour(folder)
            alone.serves()
            self.assertFalse(alone.other(LIVES))
            alone.close()
