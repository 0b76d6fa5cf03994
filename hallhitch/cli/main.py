"""`hallhitch`: all commands. What is wrong is one line on standard error; exit code 2 for files, 1 for calls."""

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
from hallhitch.cli.output import Failure
from hallhitch.cli.tenants import tenants
from hallhitch.cli.tls import tls
from hallhitch.cli.trace import trace
from hallhitch.settings_file import SettingsError
from hallhitch.tls.errors import CertificateError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def commands() -> None:
    """hallhitch: a gateway that keeps each client's quota over all gateways.

    Without a command, `python -m hallhitch` is one gateway, configured by EDGE_CONFIG.
    """
    logs.configure()


for command in (check, control, credentials, demo, demo_gateway, experiment, fleet, load, members, tenants, tls, trace):
    commands.add_command(command)


def main() -> int:
    """Run a command."""
    try:
        commands(prog_name="hallhitch", standalone_mode=False)
    except click.exceptions.Abort:
        click.echo("hallhitch: given up", err=True)
        return 1
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except (SettingsError, StoreError, CertificateError) as error:
        click.echo(f"hallhitch: {error}", err=True)
        return 2
    except Failure as error:
        click.echo(f"hallhitch: {error}", err=True)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
