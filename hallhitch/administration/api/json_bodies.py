"""Strict parsing of JSON bodies, and JSON merge patches (RFC 7396).

The parser rejects bodies that other decoders accept but may read differently, such as duplicate member names.
"""

from __future__ import annotations

import json
import math
import re
from typing import Any, Final

from hallhitch.administration.api.problems import ProblemError

MAX_NESTING_DEPTH: Final = 32  # far more than any valid body has
MAX_DETAIL_CHARS: Final = 300  # bounds how much of a parser's message a problem document repeats
STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)
BRACKET_PATTERN = re.compile(rb"[\[\]{}]")


def parse_strict(body: bytes) -> Any:
    """Parse a body into dicts, lists, strings, numbers, booleans and None.

    Raises:
        ProblemError: 400 if the body is not valid JSON, nests too deeply, repeats a member name in one object, or has a
            number that is not finite.
    """
    if nesting_depth(body) > MAX_NESTING_DEPTH:
        raise ProblemError(400, "malformed", f"The body nests deeper than {MAX_NESTING_DEPTH}.")
    try:
        return json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_unique_members,
            parse_constant=_reject_constant,
            parse_float=_finite_number,
        )
    except (ValueError, RecursionError) as error:
        raise ProblemError(400, "malformed", f"The body cannot be read: {error}"[:MAX_DETAIL_CHARS]) from error


def _unique_members(members: list[tuple[str, Any]]) -> dict[str, Any]:
    parsed: dict[str, Any] = {}
    for name, value in members:
        if name in parsed:
            raise ValueError(f"the name {json.dumps(name)[:80]} stands twice in one object")
        parsed[name] = value
    return parsed


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is no JSON number")


def _finite_number(text: str) -> float:
    value = float(text)
    if math.isinf(value):
        raise ValueError(f"{text[:40]} is out of range")
    return value


def nesting_depth(body: bytes) -> int:
    """Return how deeply the brackets outside strings nest.

    Returns 0 without scanning if there are too few brackets to exceed the limit.
    """
    if body.count(b"[") + body.count(b"{") <= MAX_NESTING_DEPTH:
        return 0
    depth = 0
    deepest = 0
    for bracket in BRACKET_PATTERN.findall(STRING_PATTERN.sub(b"", body)):
        depth += 1 if bracket in b"[{" else -1
        deepest = max(deepest, depth)
    return deepest


def apply_merge_patch(target: Any, patch: Any) -> Any:
    """Apply a JSON merge patch: null removes a member, objects are merged, any other value replaces the old one."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = apply_merge_patch(merged.get(name), value)
    return merged
