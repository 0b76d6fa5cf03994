"""`hallhitch tenants`: shows tenants, and applies the declaration of a tenant from a file."""

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
from hallhitch.cli.output import CommandError, print_json, print_table
from hallhitch.settings_file import read

JSON_OPTION = click.option("--json", "json_output", is_flag=True, help="Print JSON.")

PROGRESS_POLL_INTERVAL_S: Final = 0.2  # between polls of how many gateways have applied a version


@click.group()
def tenants() -> None:
    """List and show tenants, and apply their declarations."""


@tenants.command("list")
@api_options
@JSON_OPTION
def list_(json_output: bool, **options: Any) -> None:
    """List the tenants that the credential gives access to."""
    items = list(connect(**options).pages("tenants"))
    if json_output:
        return print_json(items)
    print_table(
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
@JSON_OPTION
def show(tenant: str, json_output: bool, **options: Any) -> None:
    """Show a tenant with its plans, hosts and clients."""
    api = connect(**options)
    summary = api.get("tenants", tenant)
    lists = {kind: list(api.pages("tenants", tenant, kind)) for kind in ("plans", "hosts", "clients")}
    if json_output:
        return print_json(summary | lists)
    click.echo(
        f"{tenant}: {'on' if summary['on'] else 'off'}, version {summary['part_version']}, "
        f"rate {summary['uses']['rate']:g} of {summary['limits']['rate']:g}"
    )
    print_table(
        ("plan", "rate", "burst", "price", "ceiling"),
        [(p["name"], p["rate"], p["burst"], p["price"], p["ceiling_rate"]) for p in lists["plans"]],
    )
    print_table(("host", "on"), [(h["name"], "yes" if h["on"] else "no") for h in lists["hosts"]])
    print_table(
        ("client", "plan", "on"), [(c["name"], c["plan"], "yes" if c["on"] else "no") for c in lists["clients"]]
    )
    return None


def read_tenant(api: ApiClient, tenant: str) -> dict[tuple[Kind, str], tuple[Value, str]]:
    """Return the entries of a tenant with their versions; no entries if the tenant does not exist."""
    tenant_item = api.find("tenants", tenant)
    if tenant_item is None:
        return {}
    entries: dict[tuple[Kind, str], tuple[Value, str]] = {}

    def add_entry(kind: Kind, item: dict[str, Any]) -> None:
        value_type = VALUE_TYPES[kind]
        fields = {name: item[name] for name in value_type.__struct_fields__}
        entries[kind, item["name"]] = msgspec.convert(fields, value_type), item["version"]

    add_entry(Kind.TENANT, tenant_item)
    for kind, path in ((Kind.PLAN, "plans"), (Kind.CLIENT, "clients"), (Kind.HOST, "hosts")):
        for item in api.pages("tenants", tenant, path):
            add_entry(kind, item)
    return entries


def describe_edits(edits: list[PlannedEdit]) -> list[str]:
    """Describe each planned edit in one line."""
    lines = []
    for edit in edits:
        sign = "+" if edit.current is None else "-" if edit.wanted is None else "~"
        fields = ", ".join(
            f"{name}: {_format_value(before)} -> {_format_value(after)}"
            if sign == "~"
            else f"{name}={_format_value(after if sign == '+' else before)}"
            for name, before, after in edit.changed_fields()
        )
        lines.append(f"{sign} {edit.kind.value} {edit.name}  {fields}".rstrip())
    return lines


def _format_value(value: object) -> str:
    return str(msgspec.to_builtins(value)) if isinstance(value, msgspec.Struct) else str(value)


@tenants.command()
@click.argument("file", type=click.Path())
@api_options
@JSON_OPTION
def diff(file: str, json_output: bool, **options: Any) -> None:
    """Show what `apply` would change. Exit code 1 if there is anything to change."""
    declaration = read(file, TenantFile)
    edits = plan_edits(read_tenant(connect(**options), declaration.tenant), declaration.entries())
    _print_edits(edits, json_output)
    if edits:
        sys.exit(1)


@tenants.command()
@click.argument("file", type=click.Path())
@click.option("--yes", is_flag=True, help="Apply without asking for confirmation.")
@click.option(
    "--wait",
    type=click.FloatRange(0, 3600),
    metavar="SECONDS",
    help="Wait until all counted gateways have applied the changes (operators only); exit code 1 if they have not.",
)
@api_options
@JSON_OPTION
def apply(file: str, yes: bool, wait: float | None, json_output: bool, **options: Any) -> None:
    """Change a tenant to match its declaration in FILE.

    The command may be repeated and interrupted: the next run makes the changes that are missing.
    """
    declaration = read(file, TenantFile)
    api = connect(**options)
    edits = plan_edits(read_tenant(api, declaration.tenant), declaration.entries())
    if not json_output:
        _print_edits(edits, json_output)
    if edits and not yes and not click.confirm("Apply?", err=True):
        raise CommandError("not confirmed; nothing was changed")
    versions = send_edits(api, declaration.tenant, edits)
    progress = wait_until_applied(api, versions[-1], wait) if versions and wait is not None else None
    if json_output:
        print_json(
            {"tenant": declaration.tenant, "changes": describe_edits(edits), "versions": versions}
            | ({"gateways": progress} if progress else {})
        )
    elif versions:
        click.echo(f"applied {len(edits)} changes, now at version {versions[-1]}")
        if progress:
            click.echo(f"{progress['state']}: applied by {progress['applied']} of {progress['counted']} gateways")
    if progress and progress["state"] != "complete":
        behind = ", ".join(progress["behind"]) or "no gateways are counted"
        raise CommandError(f"version {versions[-1]} is not applied by every gateway: {behind}")


def wait_until_applied(api: ApiClient, version: str, seconds: float) -> dict[str, Any]:
    """Wait until all counted gateways have applied a version, or until the timeout; return the progress."""
    deadline_s = time.monotonic() + seconds
    while True:
        progress = api.get("gateways", version=version)
        if progress["state"] == "complete" or time.monotonic() >= deadline_s:
            break
        time.sleep(min(PROGRESS_POLL_INTERVAL_S, max(0.0, deadline_s - time.monotonic())))
    wanted_version = _parse_version(version)
    behind = [
        gateway["name"] for gateway in progress["gateways"] if _parse_version(gateway["version"]) < wanted_version
    ]
    return {name: progress[name] for name in ("state", "applied", "counted")} | {"behind": behind}


def _parse_version(text: str) -> tuple[int, ...]:
    return tuple(map(int, text.split(".")))


def send_edits(api: ApiClient, tenant: str, edits: list[PlannedEdit]) -> list[str]:
    """Send planned edits in atomic changes, each valid by itself; return the version that each change led to."""
    versions = []
    for start in range(0, len(edits), MAX_EDITS_PER_CHANGE):
        edit_items = [
            {
                "kind": edit.kind.value,
                "name": edit.name,
                "expect": edit.version or "none",
                "value": msgspec.to_builtins(edit.wanted) if edit.wanted is not None else None,
            }
            for edit in edits[start : start + MAX_EDITS_PER_CHANGE]
        ]
        versions.append(str(api.change("POST", "tenants", tenant, "changes", body={"edits": edit_items})["version"]))
    return versions


def apply_declaration(api: ApiClient, declaration: TenantFile) -> list[PlannedEdit]:
    """Change a tenant to match its declaration; return the edits that were made."""
    edits = plan_edits(read_tenant(api, declaration.tenant), declaration.entries())
    send_edits(api, declaration.tenant, edits)
    return edits


def _print_edits(edits: list[PlannedEdit], json_output: bool) -> None:
    if json_output:
        return print_json(describe_edits(edits))
    for line in describe_edits(edits) or ["nothing to change"]:
        click.echo(line)
    return None
