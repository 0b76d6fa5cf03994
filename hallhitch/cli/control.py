"""`hallhitch control`: make, run, save and restore a control plane."""

from __future__ import annotations

from pathlib import Path

import click

from hallhitch.administration import backups
from hallhitch.administration.bootstrap import FIRST_OPERATOR_ID, create_first_operator
from hallhitch.administration.errors import StoreError
from hallhitch.administration.settings import AdministrationSettings
from hallhitch.administration.store_recovery import LoadResult
from hallhitch.cli.demo import demo, write_secret_file
from hallhitch.cli.output import as_json
from hallhitch.settings_file import read

FILE = click.argument("file", type=click.Path())


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
    """The control plane: its store and its administration API. FILE is a settings file such as deploy/control.toml."""


control.add_command(demo)


@control.command()
@FILE
@click.option("--token-to", type=click.Path(), help="Write the token to this file (mode 600) and not to the terminal.")
@click.option("--json", "plain", is_flag=True, help="Print JSON.")
def init(file: str, token_to: str | None, plain: bool) -> None:
    """Make an empty store and its first operator; the token is told once."""
    token = create_first_operator(_settings(file), file)
    if token_to is not None:
        write_secret_file(Path(token_to), token)
    if plain:
        as_json({"operator": FIRST_OPERATOR_ID, "token": None if token_to else token, "token_to": token_to})
    else:
        click.echo(f"the operator's token is in {token_to}" if token_to else token)


@control.command("serve")
@FILE
def serve_(file: str) -> None:
    """Serve the administration API until SIGTERM."""
    import uvloop  # with the API's framework, half a second that other commands need not wait

    from hallhitch.administration.serve import serve

    try:
        uvloop.run(serve(_settings(file), file))
    except OSError as error:
        raise StoreError(file, error) from error


@control.command()
@FILE
@click.argument("target", type=click.Path())
def backup(file: str, target: str) -> None:
    """Copy the store to TARGET and verify the copy, while it is served or not."""
    settings = _settings(file)
    as_json(_summarize(backups.backup(settings.path(settings.store.folder, file), Path(target))))


@control.command()
@FILE
@click.argument("source", type=click.Path())
@click.option(
    "--epoch-at-least",
    type=click.IntRange(0),
    default=0,
    help="An epoch that gateways are known to hold: the new one is later.",
)
def restore(file: str, source: str, epoch_at_least: int) -> None:
    """Put the backup SOURCE in the store's place, in a later epoch; what stood there is moved aside."""
    settings = _settings(file)
    folder = settings.path(settings.store.folder, file)
    catalog = backups.restore(folder, Path(source), epoch_at_least)
    as_json({"epoch": catalog.epoch, "version": catalog.version, "tenants": len(catalog.tenants)})


@control.command()
@FILE
def verify(file: str) -> None:
    """Check every row of a store: FILE is a settings file, or a backup."""
    path = Path(file)
    if path.suffix == ".toml":
        settings = _settings(file)
        path = settings.path(settings.store.folder, file) / "state.db"
    as_json(_summarize(backups.verify(path)))
