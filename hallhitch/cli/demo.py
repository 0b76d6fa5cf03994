"""`hallhitch control demo`: starts a control plane with two tenants and prints commands to try."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import click

from hallhitch.administration.bootstrap import create_first_operator
from hallhitch.administration.settings import AdministrationSettings
from hallhitch.catalog.tenant_file import TenantFile
from hallhitch.cli.api_client import ApiClient
from hallhitch.cli.output import CommandError
from hallhitch.cli.tenants import apply_declaration
from hallhitch.settings_file import read
from hallhitch.tls import authority

TENANT_FILES_DIRECTORY = Path(__file__).parents[2] / "deploy" / "demo"
SETTINGS_TEMPLATE = """[store]
folder = "store"
[api]
listen = "127.0.0.1:{port}"
[tls]
folder = "tls"
client_ca = "tls/ca.crt"
"""


def write_secret_file(path: Path, text: str) -> None:
    """Write a file that is created with mode 600, so that only its owner can read it."""
    path.touch(mode=0o600)
    path.write_text(text + "\n")


def prepare_files(folder: Path, port: int) -> Path:
    """Write the settings file and return its path; create the certificates and the store unless they exist."""
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / "control.toml"
    file.write_text(SETTINGS_TEMPLATE.format(port=port))
    if not (folder / "tls" / "ca.crt").exists():
        authority.create_authority(folder / "tls")
    if not (folder / "tls" / "default.crt").exists():
        authority.issue_certificate(folder / "tls", "default", ["localhost", "127.0.0.1"])
    if not (folder / "operator.token").exists():
        settings = read(str(file), AdministrationSettings)
        write_secret_file(folder / "operator.token", create_first_operator(settings, str(file)))
    return file


@click.command()
@click.option("--folder", type=click.Path(path_type=Path), default=Path("found/demo-control"), show_default=True)
@click.option("--port", type=click.IntRange(1, 65535), default=8443, show_default=True)
@click.option("--once", is_flag=True, help="Exit after the tenants are set up, instead of serving until interrupted.")
def demo(folder: Path, port: int, once: bool) -> None:
    """Start a control plane with two tenants, print commands to try, and serve until interrupted.

    The files of the control plane are kept in --folder.
    """
    file = prepare_files(folder, port)
    log = open(folder / "log", "a")  # noqa: SIM115 - the server process writes to it until it exits
    process = subprocess.Popen([sys.executable, "-m", "hallhitch", "control", "serve", str(file)], stderr=log)
    try:
        _set_up_tenants(folder, port, process)
        if not once:
            process.wait()
    except KeyboardInterrupt:
        pass
    finally:
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        process.wait()
        log.close()


def _set_up_tenants(folder: Path, port: int, process: subprocess.Popen[bytes]) -> None:
    """Apply the tenants' declarations, issue their credentials, and print commands to try."""
    url, ca = f"https://127.0.0.1:{port}", str(folder / "tls" / "ca.crt")
    api = ApiClient(url, (folder / "operator.token").read_text().strip(), ca, None)
    api.get("status")  # the client retries until the server accepts connections
    if process.poll() is not None:
        raise CommandError(f"the control plane exited; its log {folder / 'log'} has the reason")
    for path in sorted(TENANT_FILES_DIRECTORY.glob("*.toml")):
        declaration = read(str(path), TenantFile)
        edits = apply_declaration(api, declaration)
        click.echo(f"tenant {declaration.tenant}: {len(edits)} changes applied")
        if api.find("tenants", declaration.tenant, "credentials", "boss") is None:
            credential = api.change(
                "PUT", "tenants", declaration.tenant, "credentials", "boss", body={"scope": "admin"}
            )
            write_secret_file(folder / f"{declaration.tenant}.token", credential["token"])
    command = f"{os.path.relpath(Path(sys.prefix) / 'bin' / 'hallhitch')}"
    click.echo(f"""
The control plane serves at {url}; its log is {folder / "log"}. In another shell:

  export HALLHITCH_URL={url} HALLHITCH_CA={ca}
  export HALLHITCH_TOKEN=$(cat {folder / "operator.token"})
  {command} tenants list
  {command} tenants show acme
  {command} tenants diff deploy/demo/acme.toml       # edit the file, then `apply` it
  {command} credentials issue acme reader --scope read
  {command} control backup {folder / "control.toml"} {folder / "saved.db"}

  curl --cacert {ca} {url}/openapi.json
  curl --cacert {ca} -H "Authorization: Bearer $(cat {folder / "acme.token"})" {url}/v1/tenants/acme/clients
  curl --cacert {ca} -H "Authorization: Bearer $(cat {folder / "acme.token"})" {url}/v1/tenants/bolt   # 404
""")
