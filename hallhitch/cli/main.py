"""`hallhitch`: the entry point of the command line.

An error is one line on standard error. The exit code is 2 for an error in a file and 1 for a failed command.
"""

from __future__ import annotations

import sys

import click

from hallhitch import __version__, logs
from hallhitch.administration.errors import StoreError
from hallhitch.cli.check import check
from hallhitch.cli.control import control
from hallhitch.cli.credentials import credentials
from hallhitch.cli.demo_fleet import demo as demo_gateway
from hallhitch.cli.demo_system import demo
from hallhitch.cli.experiment import experiment
from hallhitch.cli.fleet import fleet
from hallhitch.cli.load import load
from hallhitch.cli.members import members
from hallhitch.cli.output import CommandError
from hallhitch.cli.tenants import tenants
from hallhitch.cli.tls import tls
from hallhitch.cli.trace import trace
from hallhitch.settings_file import SettingsError
from hallhitch.tls.errors import CertificateError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def commands() -> None:
    """hallhitch: a gateway that enforces each client's quota across all gateways.

    Without a command, `python -m hallhitch` runs one gateway, configured by EDGE_CONFIG.
    """
    logs.configure()


for command in (check, control, credentials, demo, demo_gateway, experiment, fleet, load, members, tenants, tls, trace):
    commands.add_command(command)


def main() -> int:
    """Run a command, print its error if it fails, and return the exit code."""
    try:
        commands(prog_name="hallhitch", standalone_mode=False)
    except click.exceptions.Abort:
        click.echo("hallhitch: aborted", err=True)
        return 1
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except (SettingsError, StoreError, CertificateError) as error:
        click.echo(f"hallhitch: {error}", err=True)
        return 2
    except CommandError as error:
        click.echo(f"hallhitch: {error}", err=True)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
