"""Files of cases: a base scenario, and variants of it that are compared with each other."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from hallhitch.lab.scenario import Fault, Scenario, replaced
from hallhitch.settings_file import SettingsError, read


class Case(Struct, frozen=True, forbid_unknown_fields=True):
    """A variant of the base scenario: settings by dotted path, and faults that replace those of the base."""

    name: Annotated[str, Meta(min_length=1)]
    about: str = ""
    settings: dict[str, Any] = {}
    faults: tuple[Fault, ...] = ()


class Cases(Struct, frozen=True, forbid_unknown_fields=True):
    """The content of a file of cases."""

    base: str  # path of a scenario file, relative to this file's directory
    case: Annotated[tuple[Case, ...], Meta(min_length=1)]


def load_cases(path: str, settings: dict[str, Any]) -> dict[str, Scenario]:
    """Read the scenarios of a file of cases by name; `settings` apply to all, before the settings of each case.

    Raises:
        SettingsError: the file or one of its cases is invalid; names the field.
    """
    file = read(path, Cases)
    base = read(str(Path(path).parent / file.base), Scenario)
    scenarios: dict[str, Scenario] = {}
    for number, case in enumerate(file.case):
        if case.name in scenarios:
            raise SettingsError(f"{path}: field 'case.{number}.name': more than one case is named '{case.name}'")
        try:
            scenarios[case.name] = msgspec.structs.replace(
                replaced(base, settings | case.settings), name=case.name, about=case.about, faults=case.faults
            )
        except (ValueError, LookupError) as error:
            raise SettingsError(f"{path}: field 'case.{number}.settings': {error}") from error
    return scenarios


def load_scenario(text: str) -> Scenario:
    """Read a scenario given as FILE, or one case of a file of cases given as FILE:CASE.

    Raises:
        SettingsError: the file is invalid or has no such case.
    """
    path, colon, case = text.partition(":")
    if not colon:
        return read(path, Scenario)
    scenarios = load_cases(path, {})
    if case not in scenarios:
        raise SettingsError(f"{path}: no case '{case}'; the cases are {', '.join(sorted(scenarios))}")
    return scenarios[case]
