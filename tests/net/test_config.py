"""The configuration file: what is accepted, and what is rejected."""

from __future__ import annotations

import copy
import json
import math
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from hallhitch.decision.settings import WireError
from hallhitch.net import config
from tests.stand_ins import Backend, Program


def paths(value: Any, at: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Where every key of a file is."""
    for key, below in value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ():
        if isinstance(value, dict):
            yield (*at, key)
        yield from paths(below, (*at, key))


def changed(file: dict[str, Any], at: tuple[Any, ...], value: Any, gone: bool = False) -> str:
    """A file with one value changed, or gone."""
    new = copy.deepcopy(file)
    place = new
    for key in at[:-1]:
        place = place[key]
    if gone:
        del place[at[-1]]
    else:
        place[at[-1]] = value
    return json.dumps(new)


class Reread(unittest.TestCase):
    """A file read again."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        node = Backend("b0")
        node.address = "127.0.0.1:9"
        self.good = Program(folder.name, "127.0.0.1:1", "127.0.0.1:2", [node]).config
        self.path = Path(folder.name) / "config.json"
        self.first = self.read(json.dumps(self.good), None)

    def read(self, text: str, previous: config.GatewayConfig | None) -> config.GatewayConfig:
        """Read a file of this text."""
        self.path.write_text(text)
        return config.read_config({"EDGE_CONFIG": str(self.path)}, previous)

    def test_a_file_truncated_at_any_byte_is_rejected(self) -> None:
        """Guards against half a file taken for a whole one."""
        text = json.dumps(self.good)
        for end in range(len(text)):
            with self.assertRaises(WireError, msg=text[:end][-20:]):
                self.read(text[:end], self.first)

    def test_a_file_without_any_of_its_keys_is_rejected_and_the_key_named(self) -> None:
        """Guards against defaults in place of what a file has lost, in one record of a list too."""
        found = [at for at in paths(self.good) if at[-1] != "window"]  # which one class alone has
        self.assertGreater(len(found), 50)
        for at in found:
            with self.assertRaisesRegex(WireError, str(at[-1]), msg=at):
                self.read(changed(self.good, at, None, gone=True), self.first)

    def test_deadlines_and_attempts_are_numbers_above_0(self) -> None:
        """Guards against settings by which every request would be late, or waited for without end."""
        for at in (("settings", "classes", 1, "deadline"), ("settings", "limits", "send-cap")):
            wrongs: list[Any] = [0, -1, -0.5, float("nan"), float("inf"), "4000", True, None, [], {}]
            for wrong in wrongs:
                with self.assertRaises(WireError, msg=(at, wrong)):
                    self.read(changed(self.good, at, wrong), self.first)
            self.assertEqual(self.read(changed(self.good, at, 4000), self.first).sockets, 1024)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.tuples(
                    st.just("good"), st.lists(st.sampled_from("abcd"), min_size=1, unique=True), st.integers(1, 9)
                ),
                st.tuples(st.just("cut"), st.integers(0, 5000), st.none()),
                st.tuples(st.just("gone"), st.integers(0, 5000), st.none()),
                st.tuples(
                    st.just("wrong"),
                    st.sampled_from(("deadline", "aim", "send-cap")),
                    st.sampled_from((0, -1, None, "", True, math.nan, math.inf)),
                ),
            ),
            max_size=8,
        )
    )
    def test_after_any_files_the_configuration_is_that_of_the_last_valid_one(
        self, files: list[tuple[str, Any, Any]]
    ) -> None:
        """Guards against anything that a file turned down, or one before the last, leaves behind."""
        told, last = self.first, json.dumps(self.good)
        for what, which, how in files:
            if what == "good":
                new = json.loads(last)
                kind = new["settings"]["classes"][0]
                new["settings"]["classes"] = [kind | {"name": name, "window": 1500.0} for name in which]
                new["settings"]["limits"]["send-cap"] = how
                last = json.dumps(new)
                told = self.read(last, told)
                continue
            new = json.loads(last)
            if what == "gone":
                at = [at for at in paths(new) if at[-1] != "window"][which % 50]
                text = changed(new, at, None, gone=True)
            elif what == "wrong":
                place = ("limits", which) if which == "send-cap" else ("classes", 0, which)
                text = changed(new, ("settings", *place), how)
            else:
                text = last[: which % len(last)]
            with self.assertRaises(WireError):
                self.read(text, told)
        self.assertEqual(told, self.read(last, None))

    def test_classes_and_plans_may_come_and_go(self) -> None:
        """Guards against good files turned down for what they no longer need."""
        new = copy.deepcopy(self.good)
        new["settings"]["classes"][0] |= {"name": "inspect-ii", "aim-stretch": 2.0, "new": None}
        del new["settings"]["tiers-of-service"][0]
        self.assertEqual(
            [c.name for c in self.read(json.dumps(new), self.first).settings.classes], ["inspect-ii", "reject"]
        )
