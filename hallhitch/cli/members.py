"""`hallhitch members ADDRESS`: the members that a running gateway holds, read from its operator address."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any, Final

import click
import httpx

from hallhitch.cli.output import Failure, as_json, table

RESPONSE_TIMEOUT_S: Final = 5.0  # the operator address answers from memory
INSTANCE_DIGITS: Final = 8  # of 16, enough to tell the instances of one name apart


def fetch_view(address: str) -> dict[str, Any]:
    """Return the view of the gateway with this operator address.

    Raises:
        Failure: The gateway does not answer, or runs without membership.
    """
    try:
        response = httpx.get(f"http://{address}/api/members", timeout=RESPONSE_TIMEOUT_S)
        if response.status_code == 404:
            raise Failure(f"{address}: this gateway was started without --peers")
        response.raise_for_status()
        return dict(response.json())
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
        raise Failure(f"{address}: {error}") from error


def print_view(view: dict[str, Any]) -> None:
    """Print a view as a summary and a table."""
    counts = Counter(member["state"] for member in view["members"])
    agreed = "never" if view["agreed_s"] is None else f"{view['agreed_s']:g} s ago"
    click.echo(
        f"{view['name']} in {view['cluster']}: view {view['view']}, "
        f"{', '.join(f'{count} {state}' for state, count in sorted(counts.items()))}; "
        f"places among {view['places']}, budgets over {view['budgets']}; "
        f"health {view['health']}, agreed {agreed}"
    )
    for name, instances in view["conflicts"].items():
        click.echo(f"two gateways under one name: {name} ({', '.join(instances)})")
    table(
        ("name", "state", "incarnation", "instance", "address", "zone", "version", "heard"),
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


def _notable(view: dict[str, Any]) -> tuple[Any, ...]:
    """Return the part of a view whose change is printed by --watch: no times, no health."""
    members = {(m["name"], m["instance"]): (m["state"], m["incarnation"], m["address"]) for m in view["members"]}
    return members, view["view"], view["places"], view["budgets"], view["conflicts"]


@click.command()
@click.argument("address")
@click.option("--json", "plain", is_flag=True, help="Print JSON.")
@click.option("--watch", is_flag=True, help="Ask again and again, and print what changed, until Ctrl-C.")
@click.option("--every", type=click.FloatRange(0.1, 3600), default=1.0, show_default=True, help="Seconds of --watch.")
def members(address: str, plain: bool, watch: bool, every: float) -> None:
    """Whom the gateway knows whose operators' address is ADDRESS (host:port). Exit code 1 where it cannot tell."""
    printed: tuple[Any, ...] | None = None
    while True:
        view = fetch_view(address)
        notable = _notable(view)
        if notable != printed:
            printed = notable
            as_json(view) if plain else print_view(view)
        if not watch:
            return
        time.sleep(every)
