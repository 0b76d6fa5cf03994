"""Reads TOML settings files into msgspec structs, and reports the first error in one line."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from hallhitch.decision.settings import WireError

SettingsT = TypeVar("SettingsT")
LOCATION_PATTERN = re.compile(r"^(?P<message>.*?)(?: - at `(?P<location>[^`]*)`)?$", re.DOTALL)
SECRET_FIELD_PATTERN = re.compile(r"token|secret|password|key$", re.IGNORECASE)


class SettingsError(WireError):
    """An invalid settings file; the message names the file, the field, the value found and what is allowed."""


def read(path: str, struct_type: type[SettingsT]) -> SettingsT:
    """Read a file and validate it against a struct type.

    Raises:
        SettingsError: The file cannot be read or is invalid; the message describes the first error.
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    try:
        return msgspec.convert(document, struct_type, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {format_error(str(error), document)}") from error


def format_error(text: str, document: Any) -> str:
    """Format a validation error as one line: the field's path, the value found there and what is allowed."""
    match = LOCATION_PATTERN.match(" ".join(text.split()))
    problem, location = (match["message"], match["location"] or "$") if match else (text, "$")
    field = location.removeprefix("$").removeprefix(".")
    unknown = re.search(r"unknown field `([^`]*)`", problem)
    if unknown:
        return f"field '{'.'.join(filter(None, (field, unknown[1])))}': unknown field"
    missing = re.search(r"missing required field `([^`]*)`", problem)
    if missing:
        return f"field '{'.'.join(filter(None, (field, missing[1])))}': missing"
    struct_error = re.match(r"field '([^']*)': (.*)", problem)
    if struct_error:  # raised by `__post_init__` of a struct
        field, problem = ".".join(filter(None, (field, struct_error[1]))), struct_error[2]
    if SECRET_FIELD_PATTERN.search(field):
        return f"field '{field}': {problem}"
    return f"field '{field}': found {_format_value(document, field)}; {problem}"


def _format_value(document: Any, field: str) -> str:
    """Return the shortened representation of the value at a path of names and [indexes]."""
    value = document
    for name, number in re.findall(r"([^.\[\]]+)|\[(\d+)\]", field):
        try:
            value = value[int(number)] if number else value[name]
        except (KeyError, IndexError, TypeError):
            return "nothing"
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def check_field(field: str, check: Callable[[], Any]) -> Any:
    """Run a check and return its result; prefix the message of a ValueError with the field's name."""
    try:
        return check()
    except ValueError as error:
        raise ValueError(f"field '{field}': {error}") from error
