"""The state file: which learned state is restored, and that old or damaged files are ignored."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from hallhitch.decision import Gateway, api
from hallhitch.net.upstream.idle_times import IdleTimeStatistics
from hallhitch.ops.hot_restart import state_transfer


def make_learned_module(**changes: object) -> SimpleNamespace:
    """Return a stand-in for a decision module that has learned something; `changes` replace attributes."""
    defaults: dict[str, object] = {
        "service_ms": {"a": 40.0},
        "learned_at": {"a": 900.0},
        "class_error_ratio": {"a": 0.1},
        "concurrency_limit": 6.0,
        "call_ratio": 0.8,
        "customers": {},
        "windows": {},
    }
    return SimpleNamespace(**({"config": SimpleNamespace(plans=())} | defaults | changes))


def make_idle_times(clock: float = 0.0) -> IdleTimeStatistics:
    """Return empty statistics of idle connections."""
    return IdleTimeStatistics(lambda: clock)


def make_gateway(plans: tuple[api.Plan, ...]) -> Gateway:
    """Return a decision module that knows eight servers."""
    gateway = Gateway(api.Settings(2, (api.RequestClass("a", 500.0, 900.0, effect=api.SAFE),), plans), 3)
    gateway.handle(1000.0, [api.ServerList("full", tuple(api.ServerEntry(f"s{n}", "up") for n in range(8)))])
    return gateway


class StateTransfer(unittest.TestCase):
    """Writing, reading and applying a state file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.path = folder.name, Path(folder.name) / state_transfer.FILE_NAME

    def test_estimates_are_restored_for_known_classes_only(self) -> None:
        """Guards against estimates that are restored for a removed class, or lost for one that remains."""
        state_transfer.write_state(self.folder, make_learned_module(), make_idle_times(), 1000.0)
        state = state_transfer.read_state(self.folder, 1500.0)
        assert state is not None
        new = make_learned_module(
            service_ms={"a": 300.0, "b": 300.0},
            learned_at={},
            class_error_ratio={},
            concurrency_limit=0.0,
            call_ratio=1.0,
        )
        state_transfer.apply_state(state, new, make_idle_times())
        self.assertEqual((new.service_ms, new.learned_at), ({"a": 40.0, "b": 300.0}, {"a": 900.0}))
        self.assertEqual((new.concurrency_limit, new.call_ratio), (6.0, 0.8))
        state_transfer.apply_state(
            state,
            gone := make_learned_module(service_ms={"b": 300.0}, learned_at={}, class_error_ratio={}),
            make_idle_times(),
        )
        self.assertEqual(gone.learned_at, {})

    def test_idle_times_at_which_connections_break_are_restored(self) -> None:
        """Guards against requests that are lost after each replacement because dropped idle connections are reused."""
        old, new = make_idle_times(1000.0), make_idle_times(1500.0)
        for _ in range(2):
            old.observe(300.0, True)
        state_transfer.write_state(self.folder, make_learned_module(), old, 1000.0)
        state = state_transfer.read_state(self.folder, 1500.0)
        assert state is not None
        state_transfer.apply_state(state, make_learned_module(), new)
        self.assertEqual((old.max_idle_ms(), new.max_idle_ms()), (256.0, 256.0))

    def test_a_customers_quota_window_is_restored_and_not_restarted(self) -> None:
        """Guards against a new burst for every customer at each replacement, and against units counted twice."""
        plans = (api.Plan("p", rate=2.0, burst=4.0), api.Plan("gone", rate=2.0, burst=4.0))
        old, total = make_gateway(plans), 0.0
        for n in range(3):
            (call,) = old.handle(1000.0, [api.Request(n + 1, "k", 0, 0, 1.0, 800.0, 2.0)])[-1:]
            assert isinstance(call, api.Count)
            total += call.units
            old.handle(1001.0, [api.CounterAnswer(call.name, "ok", total, 1.0)])
        (call,) = old.handle(1001.0, [api.Request(9, "other", 1, 0, 1.0, 800.0, 2.0)])[-1:]
        assert isinstance(call, api.Count)
        old.handle(1002.0, [api.CounterAnswer(call.name, "ok", 1.0, 1.0)])
        state_transfer.write_state(self.folder, old, make_idle_times(), 1002.0)
        state = state_transfer.read_state(self.folder, 1010.0)
        assert state is not None
        new = make_gateway(plans[:1])
        state_transfer.apply_state(state, new, make_idle_times())
        self.assertEqual(list(new.customers), ["k"])
        self.assertLess(abs(new.customers["k"].tokens - old.customers["k"].tokens), 0.1)
        sent, remaining = [], int(old.customers["k"].tokens)
        self.assertLessEqual(remaining, 2, "part of the burst must be used up")
        for n in range(3):  # only the rest of the burst is granted
            actions = new.handle(1010.0, [api.Request(n + 1, "k", 0, 0, 1.0, 800.0, 2.0)])
            call = next(a for a in actions if isinstance(a, api.Count))
            total += call.units
            actions = new.handle(1011.0, [api.CounterAnswer(call.name, "ok", total, 1.0)])
            sent.append(any(isinstance(a, api.Send) for a in actions))
        self.assertEqual(sent, [n < remaining for n in range(3)])

    def test_old_missing_and_implausible_state_is_ignored(self) -> None:
        """Guards against old state, or state stamped by another clock, that is taken for current."""
        self.assertIsNone(state_transfer.read_state(self.folder, 0.0))
        state_transfer.write_state(self.folder, make_learned_module(), make_idle_times(), 1000.0)
        for now in (999.0, 1000.0 + state_transfer.MAX_AGE_MS + 1):
            self.assertIsNone(state_transfer.read_state(self.folder, now))
        state_transfer.write_state(f"{self.folder}/missing", make_learned_module(), make_idle_times(), 1000.0)
        invalid_values: list[dict[str, object]] = [
            {"service_ms": {"a": 0.0}},
            {"service_ms": {"a": float("nan")}},
            {"concurrency_limit": -1.0},
            {"call_ratio": 2.0},
            {"call_ratio": True},
            {"class_error_ratio": {"a": 7.0}},
            {"learned_at": {"a": 5000.0}},
        ]
        for invalid in invalid_values:
            state_transfer.write_state(self.folder, make_learned_module(**invalid), make_idle_times(), 1000.0)
            self.assertIsNone(state_transfer.read_state(self.folder, 1000.0), invalid)
        for row in ((0.5, 0.1, 0.0), (True, 0.1, 0.0), (65, 0.1, 0.0), (3, 1.5, 0.0), (3, 0.1, 5000.0), (3, 0.1)):
            state_transfer.write_state(
                self.folder, make_learned_module(), SimpleNamespace(export_rows=lambda row=row: [row]), 1000.0
            )
            self.assertIsNone(state_transfer.read_state(self.folder, 1000.0), row)

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, 400), st.binary(max_size=4))
    def test_a_damaged_file_is_ignored_or_harmless(self, offset: int, replacement: bytes) -> None:
        """Guards against a damaged file that makes the start fail or yields invalid state."""
        state_transfer.write_state(self.folder, make_learned_module(), make_idle_times(), 1000.0)
        text = self.path.read_bytes()
        self.path.write_bytes(
            text[:offset] + replacement + text[offset + len(replacement) :] if replacement else text[:offset]
        )
        state = state_transfer.read_state(self.folder, 1000.0)
        if state is not None:
            state_transfer.apply_state(state, new := make_learned_module(), make_idle_times())
            json.dumps(
                [new.service_ms, new.learned_at, new.class_error_ratio, new.concurrency_limit, new.call_ratio],
                allow_nan=False,
            )
            self.assertTrue(all(service_ms > 0 for service_ms in new.service_ms.values()))
