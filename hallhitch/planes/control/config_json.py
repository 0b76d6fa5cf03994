"""Strict parser for the JSON of a configuration: duplicate names, NaN and infinities are rejected."""

from __future__ import annotations

import json
from typing import Any, NoReturn

from hallhitch.planes.control.errors import InvalidConfigError


class _MalformedJsonError(ValueError):
    """The JSON is rejected here although the standard parser accepts it."""


def parse_config(body: bytes) -> dict[str, Any]:
    """Return the JSON object in the body.

    Raises:
        InvalidConfigError: the body is not a JSON object in UTF-8, or is nested too deeply.
    """
    try:
        config = json.loads(body.decode(), object_pairs_hook=_object_with_unique_names, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigError(f"cannot be read: {error or 'too deep'}") from None
    if not isinstance(config, dict):
        raise InvalidConfigError("is no object")
    return config


def _object_with_unique_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    json_object = dict(pairs)
    if len(json_object) != len(pairs):
        names = [name for name, _ in pairs]
        raise _MalformedJsonError(f"{max(names, key=names.count)!r} is given twice")
    return json_object


def _reject_constant(text: str) -> NoReturn:
    raise _MalformedJsonError(f"{text} is no number")
