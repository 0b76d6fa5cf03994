"""`hallhitch credentials`: issue, rotate, revoke, list. TENANT is a tenant's name, or `operators`."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any, Final

import click

from hallhitch.cli.api_client import api_options, connect
from hallhitch.cli.output import as_json, table
from hallhitch.cli.tenants import JSON

OPERATORS: Final = "operators"
TENANT, ID = click.argument("tenant"), click.argument("id")


def _api_path(tenant: str, *rest: str) -> tuple[str, ...]:
    """The path of a tenant's credentials, or of the operators'."""
    return (OPERATORS, *rest) if tenant == OPERATORS else ("tenants", tenant, "credentials", *rest)


def _format_time(unix_ms: int | None) -> str | None:
    return None if unix_ms is None else datetime.fromtimestamp(unix_ms / 1000, UTC).isoformat(timespec="seconds")


@click.group()
def credentials() -> None:
    """Credentials: who may call, and as what."""


@credentials.command("list")
@TENANT
@api_options
@JSON
def list_(tenant: str, plain: bool, **options: Any) -> None:
    """A tenant's credentials, without their secrets."""
    items = list(connect(**options).pages(*_api_path(tenant)))
    if plain:
        return as_json(items)
    table(
        ("id", "scope", "client", "expires", "old secret until", "version"),
        [_table_row(item) for item in items],
    )
    return None


def _table_row(credential: dict[str, Any]) -> tuple[Any, ...]:
    return (
        credential["name"],
        credential["scope"],
        credential["client"],
        _format_time(credential["expires"]),
        _format_time(credential["overlap_until"]),
        credential["version"],
    )


@credentials.command()
@TENANT
@ID
@click.option("--scope", type=click.Choice(["operator", "admin", "read", "client"]), required=True)
@click.option("--client", help="The client that the credential names (scope client).")
@click.option("--expires", type=click.DateTime(), help="When it stops to count (UTC).")
@click.option("--certificate", help="SHA-256 of a client certificate, in place of a secret (operators).")
@api_options
@JSON
def issue(  # noqa: PLR0913  fields of one record
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
    _print_credential(connect(**options).change("PUT", *_api_path(tenant, id), body=body), plain)


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
@api_options
@JSON
def rotate(tenant: str, id: str, overlap: int, plain: bool, **options: Any) -> None:
    """Give a credential a new secret; its token is told this once."""
    body = {"overlap_seconds": overlap}
    _print_credential(connect(**options).change("POST", *_api_path(tenant, id, "rotate"), body=body), plain)


@credentials.command()
@TENANT
@ID
@api_options
@JSON
def revoke(tenant: str, id: str, plain: bool, **options: Any) -> None:
    """Revoke a credential: once this has ended it does not count."""
    connect(**options).change("DELETE", *_api_path(tenant, id))
    if plain:
        return as_json({"tenant": tenant, "name": id, "revoked": True})
    click.echo(f"{tenant}/{id} is revoked")
    return None


def _print_credential(credential: dict[str, Any], plain: bool) -> None:
    if plain:
        return as_json(credential)
    click.echo(credential["token"] or f"{credential['name']}: issued, version {credential['version']}")
    return None
