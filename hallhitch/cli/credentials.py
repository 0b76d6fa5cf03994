"""`hallhitch credentials`: issue, rotate, revoke, list. TENANT is a tenant's name, or `operators`."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import click

from hallhitch.cli.api_client import api_of, connected
from hallhitch.cli.output import as_json, table
from hallhitch.cli.tenants import JSON

OPERATORS = "operators"
TENANT, ID = click.argument("tenant"), click.argument("id")


def _place(tenant: str, *rest: str) -> tuple[str, ...]:
    return (OPERATORS, *rest) if tenant == OPERATORS else ("tenants", tenant, "credentials", *rest)


def _moment(value: int | None) -> str | None:
    return None if value is None else datetime.fromtimestamp(value / 1000, UTC).isoformat(timespec="seconds")


@click.group()
def credentials() -> None:
    """Credentials: who may call, and as what."""


@credentials.command("list")
@TENANT
@connected
@JSON
def list_(tenant: str, plain: bool, **options: Any) -> None:
    """A tenant's credentials, without their secrets."""
    found = list(api_of(**options).pages(*_place(tenant)))
    if plain:
        return as_json(found)
    table(
        ("id", "scope", "client", "expires", "old secret until", "version"),
        [
            (c["name"], c["scope"], c["client"], _moment(c["expires"]), _moment(c["overlap_until"]), c["version"])
            for c in found
        ],
    )


@credentials.command()
@TENANT
@ID
@click.option("--scope", type=click.Choice(["operator", "admin", "read", "client"]), required=True)
@click.option("--client", help="The client that the credential names (scope client).")
@click.option("--expires", type=click.DateTime(), help="When it stops to count (UTC).")
@click.option("--certificate", help="SHA-256 of a client certificate, in place of a secret (operators).")
@connected
@JSON
def issue(
    tenant: str,
    id: str,
    scope: str,
    client: str | None,
    expires: datetime | None,
    certificate: str | None,
    plain: bool,
    **options: Any,
) -> None:
    """Issue a credential; its token is told this once."""
    body: dict[str, Any] = {"scope": scope}
    if client is not None:
        body["client"] = client
    if certificate is not None:
        body["certificate"] = certificate
    if expires is not None:
        body["expires"] = int(expires.replace(tzinfo=UTC).timestamp() * 1000)
    _tell(api_of(**options).change("PUT", *_place(tenant, id), body=body), plain)


@credentials.command()
@TENANT
@ID
@click.option(
    "--overlap",
    type=click.IntRange(0, 30 * 86_400),
    default=3_600,
    show_default=True,
    help="Seconds for which the secret before counts too.",
)
@connected
@JSON
def rotate(tenant: str, id: str, overlap: int, plain: bool, **options: Any) -> None:
    """Give a credential a new secret; its token is told this once."""
    body = {"overlap_seconds": overlap}
    _tell(api_of(**options).change("POST", *_place(tenant, id, "rotate"), body=body), plain)


@credentials.command()
@TENANT
@ID
@connected
@JSON
def revoke(tenant: str, id: str, plain: bool, **options: Any) -> None:
    """Revoke a credential: once this has ended it does not count."""
    api_of(**options).change("DELETE", *_place(tenant, id))
    if plain:
        return as_json({"tenant": tenant, "name": id, "revoked": True})
    click.echo(f"{tenant}/{id} is revoked")


def _tell(made: dict[str, Any], plain: bool) -> None:
    if plain:
        return as_json(made)
    click.echo(made["token"] or f"{made['name']}: issued, version {made['version']}")
