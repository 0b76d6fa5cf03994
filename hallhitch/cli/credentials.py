"""`hallhitch credentials`: issues, rotates, revokes and lists credentials of a tenant, or of `operators`."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any, Final

import click

from hallhitch.cli.api_client import api_options, connect
from hallhitch.cli.output import print_json, print_table
from hallhitch.cli.tenants import JSON_OPTION

OPERATORS: Final = "operators"
TENANT_ARGUMENT, ID_ARGUMENT = click.argument("tenant"), click.argument("id")


def _api_path(tenant: str, *rest: str) -> tuple[str, ...]:
    """Return the API path of a tenant's credentials, or of the operators' credentials."""
    return (OPERATORS, *rest) if tenant == OPERATORS else ("tenants", tenant, "credentials", *rest)


def _format_time(unix_ms: int | None) -> str | None:
    return None if unix_ms is None else datetime.fromtimestamp(unix_ms / 1000, UTC).isoformat(timespec="seconds")


@click.group()
def credentials() -> None:
    """Manage the credentials of the administration API. TENANT is a tenant's name, or `operators`."""


@credentials.command("list")
@TENANT_ARGUMENT
@api_options
@JSON_OPTION
def list_(tenant: str, json_output: bool, **options: Any) -> None:
    """List a tenant's credentials, without their secrets."""
    items = list(connect(**options).pages(*_api_path(tenant)))
    if json_output:
        return print_json(items)
    print_table(
        ("id", "scope", "client", "expires", "old secret valid until", "version"),
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
@TENANT_ARGUMENT
@ID_ARGUMENT
@click.option("--scope", type=click.Choice(["operator", "admin", "read", "client"]), required=True)
@click.option("--client", help="Client that the credential belongs to (with scope client).")
@click.option("--expires", type=click.DateTime(), help="Time at which the credential expires (UTC).")
@click.option("--certificate", help="SHA-256 of a client certificate, which replaces the secret (operators only).")
@api_options
@JSON_OPTION
def issue(  # noqa: PLR0913  one parameter for each option
    tenant: str,
    id: str,
    scope: str,
    client: str | None,
    expires: datetime | None,
    certificate: str | None,
    json_output: bool,
    **options: Any,
) -> None:
    """Issue a credential. Its token is shown only this once."""
    body: dict[str, Any] = {"scope": scope}
    if client is not None:
        body["client"] = client
    if certificate is not None:
        body["certificate"] = certificate
    if expires is not None:
        body["expires"] = int(expires.replace(tzinfo=UTC).timestamp() * 1000)
    _print_credential(connect(**options).change("PUT", *_api_path(tenant, id), body=body), json_output)


@credentials.command()
@TENANT_ARGUMENT
@ID_ARGUMENT
@click.option(
    "--overlap",
    type=click.IntRange(0, 30 * 86_400),
    default=3_600,
    show_default=True,
    help="Seconds for which the previous secret stays valid.",
)
@api_options
@JSON_OPTION
def rotate(tenant: str, id: str, overlap: int, json_output: bool, **options: Any) -> None:
    """Give a credential a new secret. Its token is shown only this once."""
    body = {"overlap_seconds": overlap}
    _print_credential(connect(**options).change("POST", *_api_path(tenant, id, "rotate"), body=body), json_output)


@credentials.command()
@TENANT_ARGUMENT
@ID_ARGUMENT
@api_options
@JSON_OPTION
def revoke(tenant: str, id: str, json_output: bool, **options: Any) -> None:
    """Revoke a credential. It is invalid as soon as the command has returned."""
    connect(**options).change("DELETE", *_api_path(tenant, id))
    if json_output:
        return print_json({"tenant": tenant, "name": id, "revoked": True})
    click.echo(f"{tenant}/{id} revoked")
    return None


def _print_credential(credential: dict[str, Any], json_output: bool) -> None:
    if json_output:
        return print_json(credential)
    click.echo(credential["token"] or f"{credential['name']}: issued, version {credential['version']}")
    return None
