"""Reading of JSON bodies, stricter than the decoders behind it, and JSON merge patches (RFC 7396)."""

from __future__ import annotations

import json
import re
from typing import Any

from hallhitch.administration.api.problems import ProblemError

MAX_NESTING_DEPTH = 32  # far more than any body here has
STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)
BRACKET_PATTERN = re.compile(rb"[\[\]{}]")


def parse_strict(body: bytes) -> Any:
    """A body as plain values; 400 names what no two readers would read alike."""

    def pairs(items: list[tuple[str, Any]]) -> dict[str, Any]:
        made = dict(items)
        if len(made) != len(items):
            seen: set[str] = set()
            twice = next(name for name, _ in items if name in seen or seen.add(name))  # type: ignore[func-returns-value]
            raise ValueError(f"the name {json.dumps(twice)[:80]} stands twice in one object")
        return made

    def constant(text: str) -> Any:
        raise ValueError(f"{text} is no JSON number")

    def number(text: str) -> float:
        value = float(text)
        if value in (float("inf"), float("-inf")):
            raise ValueError(f"{text[:40]} is out of range")
        return value

    if nesting_depth(body) > MAX_NESTING_DEPTH:
        raise ProblemError(400, "malformed", f"The body nests deeper than {MAX_NESTING_DEPTH}.")
    try:
        return json.loads(body.decode("utf-8"), object_pairs_hook=pairs, parse_constant=constant, parse_float=number)
    except (ValueError, RecursionError) as error:
        raise ProblemError(400, "malformed", f"The body cannot be read: {error}"[:300]) from error


def nesting_depth(body: bytes) -> int:
    """How deep brackets nest, strings passed over."""
    if body.count(b"[") + body.count(b"{") <= MAX_NESTING_DEPTH:
        return 0
    depth = most = 0
    for found in BRACKET_PATTERN.findall(STRING_PATTERN.sub(b"", body)):
        depth += 1 if found in b"[{" else -1
        most = max(most, depth)
    return most


def apply_merge_patch(target: Any, patch: Any) -> Any:
    """A JSON merge patch applied: null takes a member away, objects merge, all else replaces."""
    if not isinstance(patch, dict):
        return patch
    made = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            made.pop(name, None)
        else:
            made[name] = apply_merge_patch(made.get(name), value)
    return made
