"""The JSON of a configuration, read strictly: names given twice and NaN or infinities are refused."""

from __future__ import annotations

import json
from typing import Any, NoReturn

from hallhitch.planes.control.errors import InvalidConfigError


class _MalformedJsonError(ValueError):
    """JSON that the standard parser would take, and that is refused here."""


def parse_config(body: bytes) -> dict[str, Any]:
    """Return the object that the body holds.

    Raises:
        InvalidConfigError: the body is no JSON object in UTF-8, or nested too deeply.
    """
    try:
        config = json.loads(body.decode(), object_pairs_hook=_unique_names, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigError(f"cannot be read: {error or 'too deep'}") from None
    if not isinstance(config, dict):
        raise InvalidConfigError("is no object")
    return config


def _unique_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    table = dict(pairs)
    if len(table) != len(pairs):
        names = [name for name, _ in pairs]
        raise _MalformedJsonError(f"{max(names, key=names.count)!r} is given twice")
    return table


def _refuse_constant(text: str) -> NoReturn:
    raise _MalformedJsonError(f"{text} is no number")
