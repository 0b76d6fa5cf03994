"""`hallhitch control`: creates, serves, backs up and restores a control plane."""

from __future__ import annotations

from pathlib import Path

import click

from hallhitch.administration import backups
from hallhitch.administration.bootstrap import FIRST_OPERATOR_ID, create_first_operator
from hallhitch.administration.errors import StoreError
from hallhitch.administration.settings import AdministrationSettings
from hallhitch.administration.store_recovery import LoadResult
from hallhitch.cli.demo import demo, write_secret_file
from hallhitch.cli.output import print_json
from hallhitch.settings_file import read

FILE_ARGUMENT = click.argument("file", type=click.Path())


def _settings(file: str) -> AdministrationSettings:
    return read(file, AdministrationSettings)


def _summarize(result: LoadResult) -> dict[str, object]:
    catalog = result.catalog
    return {
        "epoch": catalog.epoch,
        "version": catalog.version,
        "tenants": len(catalog.tenants),
        "replayed": result.replayed_changes,
        "checksum": f"{catalog.checksum:032x}",
    }


@click.group()
def control() -> None:
    """Manage a control plane: its store and its administration API.

    FILE is a settings file such as deploy/control.toml.
    """


control.add_command(demo)


@control.command()
@FILE_ARGUMENT
@click.option("--token-to", type=click.Path(), help="Write the token to this file (mode 600) instead of the terminal.")
@click.option("--json", "json_output", is_flag=True, help="Print JSON.")
def init(file: str, token_to: str | None, json_output: bool) -> None:
    """Create an empty store and its first operator. The operator's token is shown only this once."""
    token = create_first_operator(_settings(file), file)
    if token_to is not None:
        write_secret_file(Path(token_to), token)
    if json_output:
        print_json({"operator": FIRST_OPERATOR_ID, "token": None if token_to else token, "token_to": token_to})
    else:
        click.echo(f"the operator's token was written to {token_to}" if token_to else token)


@control.command("serve")
@FILE_ARGUMENT
def serve_(file: str) -> None:
    """Serve the administration API until SIGTERM."""
    import uvloop  # imported here: with the API's framework it takes half a second, which other commands avoid

    from hallhitch.administration.serve import serve

    try:
        uvloop.run(serve(_settings(file), file))
    except OSError as error:
        raise StoreError(file, error) from error


@control.command()
@FILE_ARGUMENT
@click.argument("target", type=click.Path())
def backup(file: str, target: str) -> None:
    """Copy the store to TARGET and verify the copy. The store may be in service."""
    settings = _settings(file)
    print_json(_summarize(backups.backup(settings.path(settings.store.folder, file), Path(target))))


@control.command()
@FILE_ARGUMENT
@click.argument("source", type=click.Path())
@click.option(
    "--epoch-at-least",
    type=click.IntRange(0),
    default=0,
    help="An epoch that gateways are known to hold; the epoch of the restored store is later.",
)
def restore(file: str, source: str, epoch_at_least: int) -> None:
    """Replace the store by the backup SOURCE, in a later epoch. The replaced store is moved aside."""
    settings = _settings(file)
    folder = settings.path(settings.store.folder, file)
    catalog = backups.restore(folder, Path(source), epoch_at_least)
    print_json({"epoch": catalog.epoch, "version": catalog.version, "tenants": len(catalog.tenants)})


@control.command()
@FILE_ARGUMENT
def verify(file: str) -> None:
    """Verify every row of a store. FILE is a settings file or a backup."""
    path = Path(file)
    if path.suffix == ".toml":
        settings = _settings(file)
        path = settings.path(settings.store.folder, file) / "state.db"
    print_json(_summarize(backups.verify(path)))
