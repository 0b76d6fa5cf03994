"""`hallhitch check FILE`: read a settings file as the program would, and do nothing else."""

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

FORMS: dict[str, type[Any]] = {
    "control": AdministrationSettings,
    "tenant": TenantFile,
    "resp": RespSettings,
    "scenario": Scenario,
    "peers": MembershipSettings,
    "timeline": FaultTimeline,
    "cases": Cases,
}


def form_of(path: str) -> str:
    """What a file is for, by what stands at its top."""
    try:
        with open(path, "rb") as file:
            top = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    if {"store", "api", "tls"} & set(top):
        return "control"
    if "case" in top:
        return "cases"
    if "troubles" in top:
        return "timeline"
    if {"cluster", "seeds", "networks", "periods", "follow"} & set(top):
        return "peers"
    if {"world", "traffic", "classes", "faults"} & set(top):
        return "scenario"
    return "tenant" if {"tenant", "plans", "clients", "hosts"} & set(top) else "resp"


@click.command()
@click.argument("file", type=click.Path())
@click.option("--as", "form", type=click.Choice(sorted(FORMS)), help="What the file is for; told from it otherwise.")
def check(file: str, form: str | None) -> None:
    """Check a settings FILE: one line for what is wrong, and exit code 2."""
    form = form or form_of(file)
    read(file, FORMS[form])
    if form == "cases":
        load_cases(file, {})  # each against the scenario that it changes
    click.echo(f"{file}: good ({form})")
