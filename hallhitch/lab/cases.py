"""Files of cases: one scenario, and many small changes of it that are judged side by side."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from hallhitch.lab.scenario import Fault, Scenario, replaced
from hallhitch.settings_file import SettingsError, read


class Case(Struct, frozen=True, forbid_unknown_fields=True):
    """One change: settings at dotted paths, and faults in place of the scenario's."""

    name: Annotated[str, Meta(min_length=1)]
    about: str = ""
    settings: dict[str, Any] = {}
    faults: tuple[Fault, ...] = ()


class Cases(Struct, frozen=True, forbid_unknown_fields=True):
    """A file of cases."""

    base: str  # a scenario's path, from the file's folder
    case: Annotated[tuple[Case, ...], Meta(min_length=1)]


def load_cases(path: str, settings: dict[str, Any]) -> dict[str, Scenario]:
    """Read the scenarios of a file by name, with these settings applied before each case's own.

    Raises:
        SettingsError: the file or a case of it is wrong; names the field.
    """
    file = read(path, Cases)
    base = read(str(Path(path).parent / file.base), Scenario)
    scenarios: dict[str, Scenario] = {}
    for number, case in enumerate(file.case):
        if case.name in scenarios:
            raise SettingsError(f"{path}: field 'case.{number}.name': there are two '{case.name}'")
        try:
            scenarios[case.name] = msgspec.structs.replace(
                replaced(base, settings | case.settings), name=case.name, about=case.about, faults=case.faults
            )
        except (ValueError, LookupError) as error:
            raise SettingsError(f"{path}: field 'case.{number}.settings': {error}") from error
    return scenarios


def load_scenario(text: str) -> Scenario:
    """Read the scenario FILE, or one case of a file of them, written FILE:CASE.

    Raises:
        SettingsError: there is no such case, or the file is wrong.
    """
    path, colon, case = text.partition(":")
    if not colon:
        return read(path, Scenario)
    scenarios = load_cases(path, {})
    if case not in scenarios:
        raise SettingsError(f"{path}: there is no case '{case}'; there are {', '.join(sorted(scenarios))}")
    return scenarios[case]
