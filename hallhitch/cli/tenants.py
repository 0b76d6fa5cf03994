"""`hallhitch tenants`: see tenants, and bring them to what a file declares."""

from __future__ import annotations

import sys
import time
from typing import Any

import click
import msgspec

from hallhitch.catalog.changes import MAX_EDITS_PER_CHANGE
from hallhitch.catalog.model import VALUE_TYPES, Kind, Value
from hallhitch.catalog.tenant_file import PlannedEdit, TenantFile, plan_edits
from hallhitch.cli.api_client import Api, api_of, connected
from hallhitch.cli.output import Failure, as_json, table
from hallhitch.settings_file import read

JSON = click.option("--json", "plain", is_flag=True, help="Print JSON.")

LOOK = 0.2  # s between two looks at how far a change has come


@click.group()
def tenants() -> None:
    """Tenants: list, show, and apply declarations."""


@tenants.command("list")
@connected
@JSON
def list_(plain: bool, **options: Any) -> None:
    """All tenants that the credential may see."""
    found = list(api_of(**options).pages("tenants"))
    if plain:
        return as_json(found)
    table(
        ("name", "on", "plans", "clients", "hosts", "rate", "version"),
        [
            (
                t["name"],
                "yes" if t["on"] else "no",
                t["uses"]["plans"],
                t["uses"]["clients"],
                t["uses"]["hosts"],
                f"{t['uses']['rate']:g}/{t['limits']['rate']:g}",
                t["part_version"],
            )
            for t in found
        ],
    )


@tenants.command()
@click.argument("tenant")
@connected
@JSON
def show(tenant: str, plain: bool, **options: Any) -> None:
    """One tenant, with its plans, hosts and clients."""
    api = api_of(**options)
    told = api.get("tenants", tenant)
    lists = {kind: list(api.pages("tenants", tenant, kind)) for kind in ("plans", "hosts", "clients")}
    if plain:
        return as_json(told | lists)
    click.echo(
        f"{tenant}: {'on' if told['on'] else 'off'}, version {told['part_version']}, "
        f"rate {told['uses']['rate']:g} of {told['limits']['rate']:g}"
    )
    table(
        ("plan", "rate", "burst", "price", "ceiling"),
        [(p["name"], p["rate"], p["burst"], p["price"], p["ceiling_rate"]) for p in lists["plans"]],
    )
    table(("host", "on"), [(h["name"], "yes" if h["on"] else "no") for h in lists["hosts"]])
    table(("client", "plan", "on"), [(c["name"], c["plan"], "yes" if c["on"] else "no") for c in lists["clients"]])


def present(api: Api, tenant: str) -> dict[tuple[Kind, str], tuple[Value, str]]:
    """What stands of a tenant, with versions."""
    told = api.find("tenants", tenant)
    if told is None:
        return {}
    found: dict[tuple[Kind, str], tuple[Value, str]] = {}

    def add(kind: Kind, item: dict[str, Any]) -> None:
        form = VALUE_TYPES[kind]
        fields = {name: item[name] for name in form.__struct_fields__}
        found[kind, item["name"]] = msgspec.convert(fields, form), item["version"]

    add(Kind.TENANT, told)
    for kind, path in ((Kind.PLAN, "plans"), (Kind.CLIENT, "clients"), (Kind.HOST, "hosts")):
        for item in api.pages("tenants", tenant, path):
            add(kind, item)
    return found


def lines(changes: list[PlannedEdit]) -> list[str]:
    """Differences for people."""
    made = []
    for step in changes:
        sign = "+" if step.current is None else "-" if step.wanted is None else "~"
        fields = ", ".join(
            f"{name}: {_short(before)} -> {_short(after)}"
            if sign == "~"
            else f"{name}={_short(after if sign == '+' else before)}"
            for name, before, after in step.changed_fields()
        )
        made.append(f"{sign} {step.kind.value} {step.name}  {fields}".rstrip())
    return made


def _short(value: object) -> str:
    return str(msgspec.to_builtins(value)) if isinstance(value, msgspec.Struct) else str(value)


@tenants.command()
@click.argument("file", type=click.Path())
@connected
@JSON
def diff(file: str, plain: bool, **options: Any) -> None:
    """What `apply` would change. Exit code 1 if it would change something."""
    wanted = read(file, TenantFile)
    changes = plan_edits(present(api_of(**options), wanted.tenant), wanted.entries())
    _print(changes, plain, 0)
    if changes:
        sys.exit(1)


@tenants.command()
@click.argument("file", type=click.Path())
@click.option("--yes", is_flag=True, help="Do not ask.")
@click.option(
    "--wait",
    type=click.FloatRange(0, 3600),
    metavar="SECONDS",
    help="Until all gateways that are counted have applied it (operators); exit code 1 if they have not.",
)
@connected
@JSON
def apply(file: str, yes: bool, wait: float | None, plain: bool, **options: Any) -> None:
    """Bring a tenant to what FILE declares. Safe to repeat, and to interrupt: what is left is done the next time."""
    wanted = read(file, TenantFile)
    api = api_of(**options)
    changes = plan_edits(present(api, wanted.tenant), wanted.entries())
    if not plain:
        _print(changes, plain, 0)
    if changes and not yes and not click.confirm("Apply?", err=True):
        raise Failure("nothing was changed")
    versions = send(api, wanted.tenant, changes)
    told = waited(api, versions[-1], wait) if versions and wait is not None else None
    if plain:
        as_json(
            {"tenant": wanted.tenant, "changes": lines(changes), "versions": versions}
            | ({"gateways": told} if told else {})
        )
    elif versions:
        click.echo(f"applied {len(changes)} changes, now at version {versions[-1]}")
        if told:
            click.echo(f"{told['state']}: applied by {told['applied']} of {told['counted']} gateways")
    if told and told["state"] != "complete":
        raise Failure(f"version {versions[-1]} is not applied everywhere: {', '.join(told['behind']) or 'no gateways'}")


def waited(api: Api, version: str, seconds: float) -> dict[str, Any]:
    """How far a version has come, once it is complete or the time is over; and which gateways are behind."""
    until = time.monotonic() + seconds
    while True:
        told = api.get("gateways", version=version)
        if told["state"] == "complete" or time.monotonic() >= until:
            break
        time.sleep(min(LOOK, max(0.0, until - time.monotonic())))
    place = tuple(map(int, version.split(".")))
    behind = [g["name"] for g in told["gateways"] if tuple(map(int, g["version"].split("."))) < place]
    return {"state": told["state"], "applied": told["applied"], "counted": told["counted"], "behind": behind}


def send(api: Api, tenant: str, changes: list[PlannedEdit]) -> list[str]:
    """Make changes, in pieces that are atomic and hold by themselves; the versions they led to."""
    versions = []
    for start in range(0, len(changes), MAX_EDITS_PER_CHANGE):
        edits = [
            {
                "kind": step.kind.value,
                "name": step.name,
                "expect": step.version or "none",
                "value": msgspec.to_builtins(step.wanted) if step.wanted is not None else None,
            }
            for step in changes[start : start + MAX_EDITS_PER_CHANGE]
        ]
        versions.append(str(api.change("POST", "tenants", tenant, "changes", body={"edits": edits})["version"]))
    return versions


def bring(api: Api, wanted: TenantFile) -> list[PlannedEdit]:
    """Bring a tenant to what is declared; what that took."""
    changes = plan_edits(present(api, wanted.tenant), wanted.entries())
    send(api, wanted.tenant, changes)
    return changes


def _print(changes: list[PlannedEdit], plain: bool, indent: int) -> None:
    if plain:
        return as_json(lines(changes))
    for line in lines(changes) or ["nothing to change"]:
        click.echo(" " * indent + line)
