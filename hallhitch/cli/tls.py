"""`hallhitch tls`: issues certificates for development, and inspects certificates."""

from __future__ import annotations

from pathlib import Path

import click

from hallhitch.cli.output import print_json
from hallhitch.tls import authority
from hallhitch.tls.inspection import describe_certificate

FOLDER_ARGUMENT = click.argument("folder", type=click.Path())


@click.group()
def tls() -> None:
    """Issue certificates from a local authority for development, and inspect certificates."""


@tls.command("dev-ca")
@FOLDER_ARGUMENT
def dev_ca(folder: str) -> None:
    """Create a local certificate authority in FOLDER. Callers verify its certificates with ca.crt."""
    click.echo(str(authority.create_authority(Path(folder))))


@tls.command()
@FOLDER_ARGUMENT
@click.argument("name")
@click.argument("hosts", nargs=-1, required=True)
@click.option("--client", is_flag=True, help="Issue a client certificate instead of a server certificate.")
@click.option("--days", type=float, default=authority.DEFAULT_VALIDITY_DAYS, show_default=True)
def issue(folder: str, name: str, hosts: tuple[str, ...], client: bool, days: float) -> None:
    """Issue FOLDER/NAME.crt and .key for HOSTS; existing files are replaced."""
    click.echo(str(authority.issue_certificate(Path(folder), name, list(hosts), client, days)))


@tls.command()
@click.argument("certificate", type=click.Path())
def inspect(certificate: str) -> None:
    """Print the contents of a certificate, and whether its key matches it."""
    print_json(describe_certificate(Path(certificate)))
