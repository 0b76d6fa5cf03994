"""Settings files of the program's own: TOML, typed by msgspec structures, one line for whatever is wrong."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from hallhitch.decision.settings import WireError

T = TypeVar("T")
AT = re.compile(r"^(?P<what>.*?)(?: - at `(?P<place>[^`]*)`)?$", re.DOTALL)
SECRET = re.compile(r"token|secret|password|key$", re.IGNORECASE)


class SettingsError(WireError):
    """A settings file that cannot be used; the text names the file, the field, what was found and what may be."""


def read(path: str, kind: type[T]) -> T:
    """Read and check a file; SettingsError tells of the first thing wrong."""
    try:
        with open(path, "rb") as file:
            top = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    try:
        return msgspec.convert(top, kind, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {explain(str(error), top)}") from error


def explain(text: str, top: Any) -> str:
    """A fault in one line: the field's path, what was found there and what is allowed."""
    match = AT.match(" ".join(text.split()))
    what, place = (match["what"], match["place"] or "$") if match else (text, "$")
    field = place.removeprefix("$").removeprefix(".")
    unknown = re.search(r"unknown field `([^`]*)`", what)
    if unknown:
        return f"field '{'.'.join(filter(None, (field, unknown[1])))}': not known here"
    missing = re.search(r"missing required field `([^`]*)`", what)
    if missing:
        return f"field '{'.'.join(filter(None, (field, missing[1])))}': missing"
    own = re.match(r"field '([^']*)': (.*)", what)
    if own:  # from a structure's own check
        field, what = ".".join(filter(None, (field, own[1]))), own[2]
    if SECRET.search(field):
        return f"field '{field}': {what}"
    return f"field '{field}': found {_found(top, field)}; {what}"


def _found(top: Any, field: str) -> str:
    """The value at a path of names and [numbers], shortened."""
    here = top
    for name, number in re.findall(r"([^.\[\]]+)|\[(\d+)\]", field):
        try:
            here = here[int(number)] if number else here[name]
        except (KeyError, IndexError, TypeError):
            return "nothing"
    text = repr(here)
    return text if len(text) <= 60 else text[:57] + "..."


def checked(field: str, check: Callable[[], Any]) -> Any:
    """Run a check that raises ValueError, and name the field in what it says."""
    try:
        return check()
    except ValueError as error:
        raise ValueError(f"field '{field}': {error}") from error
