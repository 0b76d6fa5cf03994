"""Validation of the configuration file, at the start and at a reload."""

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


def key_paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of every key in a JSON document."""
    for key, child in value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ():
        if isinstance(value, dict):
            yield (*path, key)
        yield from key_paths(child, (*path, key))


def with_change(file: dict[str, Any], path: tuple[Any, ...], value: Any, is_removed: bool = False) -> str:
    """Return a JSON document as text, with the value at a path changed or removed."""
    new = copy.deepcopy(file)
    parent = new
    for key in path[:-1]:
        parent = parent[key]
    if is_removed:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return json.dumps(new)


class ConfigReload(unittest.TestCase):
    """Files that are read at a reload."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        node = Backend("b0")
        node.address = "127.0.0.1:9"
        self.valid_file = Program(folder.name, "127.0.0.1:1", "127.0.0.1:2", [node]).config
        self.path = Path(folder.name) / "config.json"
        self.first_config = self.read(json.dumps(self.valid_file), None)

    def read(self, text: str, previous: config.GatewayConfig | None) -> config.GatewayConfig:
        """Read a configuration file with this text."""
        self.path.write_text(text)
        return config.read_config({"EDGE_CONFIG": str(self.path)}, previous)

    def test_a_file_truncated_at_any_byte_is_rejected(self) -> None:
        """Guards against a reload of a truncated file."""
        text = json.dumps(self.valid_file)
        for end in range(len(text)):
            with self.assertRaises(WireError, msg=text[:end][-20:]):
                self.read(text[:end], self.first_config)

    def test_a_file_that_lacks_any_key_is_rejected_with_its_name(self) -> None:
        """Guards against defaults for keys that the file has lost, also in single records of a list."""
        # Only one class has a window.
        required = [path for path in key_paths(self.valid_file) if path[-1] != "window"]
        self.assertGreater(len(required), 50)
        for path in required:
            with self.assertRaisesRegex(WireError, str(path[-1]), msg=path):
                self.read(with_change(self.valid_file, path, None, is_removed=True), self.first_config)

    def test_deadlines_and_attempts_are_numbers_above_0(self) -> None:
        """Guards against settings that make every request late, or let it wait forever."""
        for path in (("settings", "classes", 1, "deadline"), ("settings", "limits", "send-cap")):
            invalid_values: list[Any] = [0, -1, -0.5, float("nan"), float("inf"), "4000", True, None, [], {}]
            for invalid in invalid_values:
                with self.assertRaises(WireError, msg=(path, invalid)):
                    self.read(with_change(self.valid_file, path, invalid), self.first_config)
            self.assertEqual(self.read(with_change(self.valid_file, path, 4000), self.first_config).sockets, 1024)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.tuples(
                    st.just("valid"), st.lists(st.sampled_from("abcd"), min_size=1, unique=True), st.integers(1, 9)
                ),
                st.tuples(st.just("truncated"), st.integers(0, 5000), st.none()),
                st.tuples(st.just("key removed"), st.integers(0, 5000), st.none()),
                st.tuples(
                    st.just("invalid value"),
                    st.sampled_from(("deadline", "aim", "send-cap")),
                    st.sampled_from((0, -1, None, "", True, math.nan, math.inf)),
                ),
            ),
            max_size=8,
        )
    )
    def test_the_configuration_is_always_that_of_the_last_valid_file(self, steps: list[tuple[str, Any, Any]]) -> None:
        """Guards against state left by a rejected file, or by a file before the last valid one."""
        current, last = self.first_config, json.dumps(self.valid_file)
        for kind, choice, value in steps:
            if kind == "valid":
                new = json.loads(last)
                first_class = new["settings"]["classes"][0]
                new["settings"]["classes"] = [first_class | {"name": name, "window": 1500.0} for name in choice]
                new["settings"]["limits"]["send-cap"] = value
                last = json.dumps(new)
                current = self.read(last, current)
                continue
            new = json.loads(last)
            if kind == "key removed":
                path = [path for path in key_paths(new) if path[-1] != "window"][choice % 50]
                text = with_change(new, path, None, is_removed=True)
            elif kind == "invalid value":
                setting = ("limits", choice) if choice == "send-cap" else ("classes", 0, choice)
                text = with_change(new, ("settings", *setting), value)
            else:
                text = last[: choice % len(last)]
            with self.assertRaises(WireError):
                self.read(text, current)
        self.assertEqual(current, self.read(last, None))

    def test_classes_and_plans_may_be_added_and_removed(self) -> None:
        """Guards against a valid file that is rejected because it has no entry that an earlier file had."""
        new = copy.deepcopy(self.valid_file)
        new["settings"]["classes"][0] |= {"name": "inspect-ii", "aim-stretch": 2.0, "new": None}
        del new["settings"]["tiers-of-service"][0]
        self.assertEqual(
            [c.name for c in self.read(json.dumps(new), self.first_config).settings.classes], ["inspect-ii", "reject"]
        )
