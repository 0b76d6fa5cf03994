"""`hallhitch tls`: certificates for trials, and a look at any."""

from __future__ import annotations

from pathlib import Path

import click

from hallhitch.cli.output import as_json
from hallhitch.tls import authority
from hallhitch.tls.inspection import describe_certificate

FOLDER = click.argument("folder", type=click.Path())


@click.group()
def tls() -> None:
    """Certificates: a local authority for trials, and inspection."""


@tls.command("dev-ca")
@FOLDER
def dev_ca(folder: str) -> None:
    """Make a local authority in FOLDER: ca.crt is what callers trust."""
    click.echo(str(authority.create_authority(Path(folder))))


@tls.command()
@FOLDER
@click.argument("name")
@click.argument("hosts", nargs=-1, required=True)
@click.option("--client", is_flag=True, help="One that names a caller, not a server.")
@click.option("--days", type=float, default=authority.DEFAULT_VALIDITY_DAYS, show_default=True)
def issue(folder: str, name: str, hosts: tuple[str, ...], client: bool, days: float) -> None:
    """Issue FOLDER/NAME.crt and .key for HOSTS, replacing what is there."""
    click.echo(str(authority.issue_certificate(Path(folder), name, list(hosts), client, days)))


@tls.command()
@click.argument("certificate", type=click.Path())
def inspect(certificate: str) -> None:
    """Say what a certificate holds, and whether its key goes with it."""
    as_json(describe_certificate(Path(certificate)))
