"""`hallhitch members ADDRESS`: whom a running gateway knows, asked over its operators' address."""

from __future__ import annotations

import time
from typing import Any

import click
import httpx

from hallhitch.cli.output import Failure, as_json, table

TIMEOUT = 5.0  # s for an answer


def ask(address: str) -> dict[str, Any]:
    """The view of the gateway whose operators' address this is."""
    try:
        answer = httpx.get(f"http://{address}/api/members", timeout=TIMEOUT)
        if answer.status_code == 404:
            raise Failure(f"{address}: this gateway was started without --peers")
        answer.raise_for_status()
        return dict(answer.json())
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
        raise Failure(f"{address}: {error}") from error


def show(view: dict[str, Any]) -> None:
    """A view as a table."""
    states: dict[str, int] = {}
    for member in view["members"]:
        states[member["state"]] = states.get(member["state"], 0) + 1
    agreed = "never" if view["agreed_s"] is None else f"{view['agreed_s']:g} s ago"
    click.echo(
        f"{view['name']} in {view['cluster']}: view {view['view']}, "
        f"{', '.join(f'{count} {state}' for state, count in sorted(states.items()))}; "
        f"places among {view['places']}, budgets over {view['budgets']}; "
        f"health {view['health']}, agreed {agreed}"
    )
    for name, instances in view["conflicts"].items():
        click.echo(f"two gateways under one name: {name} ({', '.join(instances)})")
    table(
        ("name", "state", "incarnation", "instance", "address", "zone", "version", "heard"),
        [
            (
                m["name"],
                m["state"],
                m["incarnation"],
                m["instance"][:8],
                m["address"],
                m["zone"] or "-",
                m["version"],
                "itself" if m["self"] else "-" if m["heard_s"] is None else f"{m['heard_s']:g} s",
            )
            for m in view["members"]
        ],
    )


@click.command()
@click.argument("address")
@click.option("--json", "plain", is_flag=True, help="Print JSON.")
@click.option("--watch", is_flag=True, help="Ask again and again, and print what changed, until Ctrl-C.")
@click.option("--every", type=click.FloatRange(0.1, 3600), default=1.0, show_default=True, help="Seconds of --watch.")
def members(address: str, plain: bool, watch: bool, every: float) -> None:
    """Whom the gateway knows whose operators' address is ADDRESS (host:port). Exit code 1 where it cannot tell."""
    before: Any = None
    while True:
        view = ask(address)
        now = {(m["name"], m["instance"]): (m["state"], m["incarnation"], m["address"]) for m in view["members"]}
        held = now, view["view"], view["places"], view["budgets"], view["conflicts"]
        if held != before:
            before = held
            as_json(view) if plain else show(view)
        if not watch:
            return
        time.sleep(every)
