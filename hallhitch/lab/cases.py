"""Cases: one scenario, and many small changes of it that something is judged by."""

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
    """All scenarios of a file by name, with these settings first; SettingsError tells what is wrong with which."""
    told = read(path, Cases)
    base = read(str(Path(path).parent / told.base), Scenario)
    found: dict[str, Scenario] = {}
    for number, case in enumerate(told.case):
        if case.name in found:
            raise SettingsError(f"{path}: field 'case.{number}.name': there are two '{case.name}'")
        try:
            found[case.name] = msgspec.structs.replace(
                replaced(base, settings | case.settings), name=case.name, about=case.about, faults=case.faults
            )
        except (ValueError, LookupError) as error:
            raise SettingsError(f"{path}: field 'case.{number}.settings': {error}") from error
    return found


def load_scenario(text: str) -> Scenario:
    """The scenario FILE, or one case of a file of them: FILE:CASE."""
    path, colon, case = text.partition(":")
    if not colon:
        return read(path, Scenario)
    found = load_cases(path, {})
    if case not in found:
        raise SettingsError(f"{path}: there is no case '{case}'; there are {', '.join(sorted(found))}")
    return found[case]
