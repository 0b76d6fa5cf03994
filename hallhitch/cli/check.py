"""`hallhitch check FILE`: validates a settings file as the program does when it reads it."""

from __future__ import annotations

import tomllib
from typing import Any

import click

from hallhitch.administration.settings import AdministrationSettings
from hallhitch.catalog.tenant_file import TenantFile
from hallhitch.lab.cases import Cases, load_cases
from hallhitch.lab.fleet.timeline import FaultTimeline
from hallhitch.lab.scenario import Scenario
from hallhitch.membership.settings import MembershipSettings
from hallhitch.resp.settings import RespSettings
from hallhitch.settings_file import SettingsError, read

FILE_TYPES: dict[str, type[Any]] = {
    "control": AdministrationSettings,
    "tenant": TenantFile,
    "resp": RespSettings,
    "scenario": Scenario,
    "peers": MembershipSettings,
    "timeline": FaultTimeline,
    "cases": Cases,
}


def detect_file_type(path: str) -> str:
    """Return the type of a settings file, detected from its top-level keys."""
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    if {"store", "api", "tls"} & set(document):
        return "control"
    if "case" in document:
        return "cases"
    if "troubles" in document:
        return "timeline"
    if {"cluster", "seeds", "networks", "periods", "follow"} & set(document):
        return "peers"
    if {"world", "traffic", "classes", "faults"} & set(document):
        return "scenario"
    return "tenant" if {"tenant", "plans", "clients", "hosts"} & set(document) else "resp"


@click.command()
@click.argument("file", type=click.Path())
@click.option(
    "--as",
    "file_type",
    type=click.Choice(sorted(FILE_TYPES)),
    help="Type of the file; by default it is detected from the file's keys.",
)
def check(file: str, file_type: str | None) -> None:
    """Check a settings FILE. The first error is reported in one line, with exit code 2."""
    file_type = file_type or detect_file_type(file)
    read(file, FILE_TYPES[file_type])
    if file_type == "cases":
        load_cases(file, {})  # validates each case together with the scenario that it changes
    click.echo(f"{file}: valid ({file_type})")
