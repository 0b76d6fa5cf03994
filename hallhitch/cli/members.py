"""`hallhitch members ADDRESS`: prints the membership view of a running gateway, read from its operator address."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any, Final

import click
import httpx

from hallhitch.cli.output import CommandError, print_json, print_table

RESPONSE_TIMEOUT_S: Final = 5.0  # the operator address answers from memory
INSTANCE_DIGITS: Final = 8  # of 16; enough to distinguish the instances of one name


def fetch_view(address: str) -> dict[str, Any]:
    """Return the view of the gateway with this operator address.

    Raises:
        CommandError: The gateway does not answer, or runs without membership.
    """
    try:
        response = httpx.get(f"http://{address}/api/members", timeout=RESPONSE_TIMEOUT_S)
        if response.status_code == 404:
            raise CommandError(f"{address}: this gateway was started without --peers")
        response.raise_for_status()
        return dict(response.json())
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
        raise CommandError(f"{address}: {error}") from error


def print_view(view: dict[str, Any]) -> None:
    """Print a view as a summary and a table."""
    counts = Counter(member["state"] for member in view["members"])
    agreed = "never" if view["agreed_s"] is None else f"{view['agreed_s']:g} s ago"
    click.echo(
        f"{view['name']} in {view['cluster']}: view {view['view']}, "
        f"{', '.join(f'{count} {state}' for state, count in sorted(counts.items()))}; "
        f"placement over {view['places']} gateways, budgets divided by {view['budgets']}; "
        f"health {view['health']}, views last agreed: {agreed}"
    )
    for name, instances in view["conflicts"].items():
        click.echo(f"several gateways use one name: {name} ({', '.join(instances)})")
    print_table(
        ("name", "state", "incarnation", "instance", "address", "zone", "version", "last heard"),
        [_table_row(member) for member in view["members"]],
    )


def _table_row(member: dict[str, Any]) -> tuple[Any, ...]:
    return (
        member["name"],
        member["state"],
        member["incarnation"],
        member["instance"][:INSTANCE_DIGITS],
        member["address"],
        member["zone"] or "-",
        member["version"],
        _last_heard(member),
    )


def _last_heard(member: dict[str, Any]) -> str:
    if member["self"]:
        return "itself"
    return "-" if member["heard_s"] is None else f"{member['heard_s']:g} s"


def _watched_part(view: dict[str, Any]) -> tuple[Any, ...]:
    """Return the part of a view that --watch compares: everything but times and health."""
    members = {(m["name"], m["instance"]): (m["state"], m["incarnation"], m["address"]) for m in view["members"]}
    return members, view["view"], view["places"], view["budgets"], view["conflicts"]


@click.command()
@click.argument("address")
@click.option("--json", "json_output", is_flag=True, help="Print JSON.")
@click.option("--watch", is_flag=True, help="Poll until Ctrl-C, and print the view whenever it changes.")
@click.option(
    "--every",
    type=click.FloatRange(0.1, 3600),
    default=1.0,
    show_default=True,
    help="Seconds between polls of --watch.",
)
def members(address: str, json_output: bool, watch: bool, every: float) -> None:
    """Print the members that the gateway with operator address ADDRESS (host:port) knows.

    Exit code 1 if the gateway does not answer or runs without membership.
    """
    printed: tuple[Any, ...] | None = None
    while True:
        view = fetch_view(address)
        watched_part = _watched_part(view)
        if watched_part != printed:
            printed = watched_part
            print_json(view) if json_output else print_view(view)
        if not watch:
            return
        time.sleep(every)
