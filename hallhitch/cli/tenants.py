"""`hallhitch tenants`: see tenants, and bring them to what a file declares."""

from __future__ import annotations

import sys
import time
from typing import Any, Final

import click
import msgspec

from hallhitch.catalog.changes import MAX_EDITS_PER_CHANGE
from hallhitch.catalog.model import VALUE_TYPES, Kind, Value
from hallhitch.catalog.tenant_file import PlannedEdit, TenantFile, plan_edits
from hallhitch.cli.api_client import ApiClient, api_options, connect
from hallhitch.cli.output import Failure, as_json, table
from hallhitch.settings_file import read

JSON = click.option("--json", "plain", is_flag=True, help="Print JSON.")

PROGRESS_POLL_S: Final = 0.2  # between looks at how many gateways have applied a version


@click.group()
def tenants() -> None:
    """Tenants: list, show, and apply declarations."""


@tenants.command("list")
@api_options
@JSON
def list_(plain: bool, **options: Any) -> None:
    """All tenants that the credential may see."""
    items = list(connect(**options).pages("tenants"))
    if plain:
        return as_json(items)
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
            for t in items
        ],
    )
    return None


@tenants.command()
@click.argument("tenant")
@api_options
@JSON
def show(tenant: str, plain: bool, **options: Any) -> None:
    """One tenant, with its plans, hosts and clients."""
    api = connect(**options)
    summary = api.get("tenants", tenant)
    lists = {kind: list(api.pages("tenants", tenant, kind)) for kind in ("plans", "hosts", "clients")}
    if plain:
        return as_json(summary | lists)
    click.echo(
        f"{tenant}: {'on' if summary['on'] else 'off'}, version {summary['part_version']}, "
        f"rate {summary['uses']['rate']:g} of {summary['limits']['rate']:g}"
    )
    table(
        ("plan", "rate", "burst", "price", "ceiling"),
        [(p["name"], p["rate"], p["burst"], p["price"], p["ceiling_rate"]) for p in lists["plans"]],
    )
    table(("host", "on"), [(h["name"], "yes" if h["on"] else "no") for h in lists["hosts"]])
    table(("client", "plan", "on"), [(c["name"], c["plan"], "yes" if c["on"] else "no") for c in lists["clients"]])
    return None


def read_tenant(api: ApiClient, tenant: str) -> dict[tuple[Kind, str], tuple[Value, str]]:
    """Read the entries of a tenant, with their versions; none if there is no such tenant."""
    tenant_item = api.find("tenants", tenant)
    if tenant_item is None:
        return {}
    entries: dict[tuple[Kind, str], tuple[Value, str]] = {}

    def add(kind: Kind, item: dict[str, Any]) -> None:
        value_type = VALUE_TYPES[kind]
        fields = {name: item[name] for name in value_type.__struct_fields__}
        entries[kind, item["name"]] = msgspec.convert(fields, value_type), item["version"]

    add(Kind.TENANT, tenant_item)
    for kind, path in ((Kind.PLAN, "plans"), (Kind.CLIENT, "clients"), (Kind.HOST, "hosts")):
        for item in api.pages("tenants", tenant, path):
            add(kind, item)
    return entries


def describe_edits(changes: list[PlannedEdit]) -> list[str]:
    """Describe planned edits, a line each."""
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
@api_options
@JSON
def diff(file: str, plain: bool, **options: Any) -> None:
    """What `apply` would change. Exit code 1 if it would change something."""
    wanted = read(file, TenantFile)
    changes = plan_edits(read_tenant(connect(**options), wanted.tenant), wanted.entries())
    _print_edits(changes, plain)
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
@api_options
@JSON
def apply(file: str, yes: bool, wait: float | None, plain: bool, **options: Any) -> None:
    """Bring a tenant to what FILE declares. Safe to repeat, and to interrupt: what is left is done the next time."""
    wanted = read(file, TenantFile)
    api = connect(**options)
    changes = plan_edits(read_tenant(api, wanted.tenant), wanted.entries())
    if not plain:
        _print_edits(changes, plain)
    if changes and not yes and not click.confirm("Apply?", err=True):
        raise Failure("nothing was changed")
    versions = send_edits(api, wanted.tenant, changes)
    progress = wait_until_applied(api, versions[-1], wait) if versions and wait is not None else None
    if plain:
        as_json(
            {"tenant": wanted.tenant, "changes": describe_edits(changes), "versions": versions}
            | ({"gateways": progress} if progress else {})
        )
    elif versions:
        click.echo(f"applied {len(changes)} changes, now at version {versions[-1]}")
        if progress:
            click.echo(f"{progress['state']}: applied by {progress['applied']} of {progress['counted']} gateways")
    if progress and progress["state"] != "complete":
        behind = ", ".join(progress["behind"]) or "no gateways"
        raise Failure(f"version {versions[-1]} is not applied everywhere: {behind}")


def wait_until_applied(api: ApiClient, version: str, seconds: float) -> dict[str, Any]:
    """Wait until all counted gateways have applied a version, or a time is over; return how far it has come."""
    deadline_s = time.monotonic() + seconds
    while True:
        progress = api.get("gateways", version=version)
        if progress["state"] == "complete" or time.monotonic() >= deadline_s:
            break
        time.sleep(min(PROGRESS_POLL_S, max(0.0, deadline_s - time.monotonic())))
    wanted = _parse_version(version)
    behind = [gateway["name"] for gateway in progress["gateways"] if _parse_version(gateway["version"]) < wanted]
    return {name: progress[name] for name in ("state", "applied", "counted")} | {"behind": behind}


def _parse_version(text: str) -> tuple[int, ...]:
    return tuple(map(int, text.split(".")))


def send_edits(api: ApiClient, tenant: str, changes: list[PlannedEdit]) -> list[str]:
    """Make planned edits in atomic changes, each valid by itself; return the versions that they led to."""
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


def apply_declaration(api: ApiClient, wanted: TenantFile) -> list[PlannedEdit]:
    """Bring a tenant to its declaration; return the edits that this took."""
    changes = plan_edits(read_tenant(api, wanted.tenant), wanted.entries())
    send_edits(api, wanted.tenant, changes)
    return changes


def _print_edits(changes: list[PlannedEdit], plain: bool) -> None:
    if plain:
        return as_json(describe_edits(changes))
    for line in describe_edits(changes) or ["nothing to change"]:
        click.echo(line)
    return None
