"""Tolerant reading of the fields of a configuration: what cannot be read is recorded, and another value stands in.

A coordinator of any release may have acknowledged the configuration, so a gateway has to use what it can read of it. A
field that is missing, null or empty counts as left out and has its default. A number that is too large counts as the
largest one. docs/operate/unreadable-data.md lists what stands in for which field.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any, Final, TypeVar

from hallhitch.node.durations import parse_duration_ms
from hallhitch.node.texts import is_text
from hallhitch.planes.values import UnreadableValue

ValueT = TypeVar("ValueT")

MAX_INTEGER: Final = 2**63 - 1  # the largest value of the int64 fields in protocol messages
MAX_NUMBER: Final = float(MAX_INTEGER)  # sums and products of such numbers stay far below the largest float
JSON_TYPE_NAMES: Final[dict[type, str]] = {str: "a text", list: "a list", dict: "an object"}


class FieldReader:
    """Reads the fields of one JSON object and records in `unreadable` those that cannot be read.

    A value that is no object has no fields and is recorded itself.
    """

    __slots__ = ("_fields", "_path", "_unreadable", "_unreadable_fields", "is_object")

    def __init__(self, path: str, value: object, unreadable: list[UnreadableValue]) -> None:
        self._path = path
        self._unreadable = unreadable
        self._fields: dict[str, Any] = value if isinstance(value, dict) else {}
        self._unreadable_fields: tuple[str, ...] = ()
        self.is_object = isinstance(value, dict)
        if not self.is_object:
            self.record("", value, "an object")

    def record(self, name: str, value: object, expected: str) -> None:
        """Record that a field cannot be read; an empty name stands for the object itself.

        Texts, lists and objects are not quoted, as they may contain API keys.
        """
        path = f"{self._path}.{name}" if self._path and name else self._path or name
        self._unreadable_fields += (name.partition(".")[0],)
        self._unreadable.append(UnreadableValue(path, f"{_describe(value)} is not {expected}"))

    def is_unreadable(self, name: str) -> bool:
        """Return whether a field, or a part of it, could not be read."""
        return not self.is_object or name in self._unreadable_fields

    def is_left_out(self, name: str) -> bool:
        """Return whether a field is missing, null or empty."""
        value = self._fields.get(name)
        return not value and (value is None or isinstance(value, str | list | dict))

    def section(self, name: str) -> FieldReader:
        """Return a reader of a field that is an object."""
        value = {} if self.is_left_out(name) else self._fields[name]
        return FieldReader(f"{self._path}.{name}" if self._path else name, value, self._unreadable)

    def entries(self) -> Iterator[tuple[str, FieldReader]]:
        """Yield the name and a reader of each entry of an object whose fields are objects."""
        for name, value in self._fields.items():
            yield name, FieldReader(f"{self._path}.{name}", value, self._unreadable)

    def items(self, name: str) -> list[FieldReader] | None:
        """Return a reader for each item of a list of objects; None if the field is no list."""
        if self.is_left_out(name):
            return []
        value = self._fields[name]
        if not isinstance(value, list):
            self.record(name, value, "a list")
            return None
        path = f"{self._path}.{name}"
        return [FieldReader(f"{path}.{number}", item, self._unreadable) for number, item in enumerate(value)]

    def text(self, name: str, default: str | None = None) -> str | None:
        """Return a non-empty text; None if it cannot be read, or is left out and has no default."""
        if self.is_left_out(name) and default is not None:
            return default
        value = self._fields.get(name)
        if is_text(value):
            return value
        self.record(name, value, "a text")
        return None

    def texts(self, name: str) -> list[str] | None:
        """Return the readable texts of a list; None if it has none although it is not left out."""
        if self.is_left_out(name):
            return []
        value = self._fields[name]
        if not isinstance(value, list):
            self.record(name, value, "a list of texts")
            return None
        for number, item in enumerate(value):
            if not is_text(item):
                self.record(f"{name}.{number}", item, "a text")
        return [item for item in value if is_text(item)] or None

    def integer(self, name: str, default: ValueT, stand_in: ValueT, minimum: int = 0) -> int | ValueT:
        """Return a whole number from `minimum` up, the default if it is left out, or what stands in for it."""
        if self.is_left_out(name):
            return default
        value = self._fields[name]
        if type(value) is float and value.is_integer():
            value = int(value)
        if type(value) is not int or value < minimum:
            self.record(name, value, f"a whole number from {minimum} up")
            return stand_in
        return min(value, MAX_INTEGER)

    def number(self, name: str, default: float, stand_in: float | None) -> float | None:
        """Return a number from 0 up, the default if it is left out, or what stands in for it."""
        if self.is_left_out(name):
            return default
        value = self._fields[name]
        if type(value) not in (int, float) or not value >= 0:
            self.record(name, value, "a number from 0 up")
            return stand_in
        return float(min(value, MAX_NUMBER))

    def duration_ms(self, name: str, default_ms: float, minimum_ms: float = 0.0) -> float:
        """Return a duration of at least `minimum_ms`; the default if it is left out or cannot be read."""
        if self.is_left_out(name):
            return default_ms
        value = self._fields[name]
        try:
            duration_ms = parse_duration_ms(value)
        except ValueError:
            duration_ms = math.nan
        if not duration_ms >= minimum_ms:
            self.record(name, value, "a time such as 1500ms or 2.5s")
            return default_ms
        return min(duration_ms, MAX_NUMBER)

    def flag(self, name: str) -> bool:
        """Return whether a field is true; anything else than true counts as false."""
        if self.is_left_out(name):
            return False
        value = self._fields[name]
        if not isinstance(value, bool):
            self.record(name, value, "true or false")
        return value is True


def _describe(value: object) -> str:
    return JSON_TYPE_NAMES.get(type(value)) or f"{value!r:.40}"
