"""`hallhitch control demo`: a control plane with two tenants, and the calls to try."""

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
from hallhitch.cli.output import Failure
from hallhitch.cli.tenants import apply_declaration
from hallhitch.settings_file import read
from hallhitch.tls import authority

TENANTS = Path(__file__).parents[2] / "deploy" / "demo"
SETTINGS = """[store]
folder = "store"
[api]
listen = "127.0.0.1:{port}"
[tls]
folder = "tls"
client_ca = "tls/ca.crt"
"""


def write_secret_file(path: Path, text: str) -> None:
    """Write a file that only its owner can read."""
    path.touch(mode=0o600)
    path.write_text(text + "\n")


def prepare(folder: Path, port: int) -> Path:
    """Make the files that a control plane needs, unless they are there; return the settings file."""
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / "control.toml"
    file.write_text(SETTINGS.format(port=port))
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
@click.option("--once", is_flag=True, help="End once everything was tried, in place of serving on.")
def demo(folder: Path, port: int, once: bool) -> None:
    """A control plane with two tenants in FOLDER; prints the calls to try, and serves until it is ended."""
    file = prepare(folder, port)
    log = open(folder / "log", "a")  # noqa: SIM115 - the process writes there for as long as it lives
    process = subprocess.Popen([sys.executable, "-m", "hallhitch", "control", "serve", str(file)], stderr=log)
    try:
        _show(folder, port, process)
        if not once:
            process.wait()
    except KeyboardInterrupt:
        pass
    finally:
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        process.wait()
        log.close()


def _show(folder: Path, port: int, process: subprocess.Popen[bytes]) -> None:
    """Apply the tenants' declarations, and print the calls to try."""
    url, ca = f"https://127.0.0.1:{port}", str(folder / "tls" / "ca.crt")
    api = ApiClient(url, (folder / "operator.token").read_text().strip(), ca, None)
    api.get("status")  # tried again until the process serves
    if process.poll() is not None:
        raise Failure(f"the control plane ended; {folder / 'log'} says why")
    for path in sorted(TENANTS.glob("*.toml")):
        wanted = read(str(path), TenantFile)
        edits = apply_declaration(api, wanted)
        click.echo(f"tenant {wanted.tenant}: {len(edits)} changes applied")
        if api.find("tenants", wanted.tenant, "credentials", "boss") is None:
            credential = api.change("PUT", "tenants", wanted.tenant, "credentials", "boss", body={"scope": "admin"})
            write_secret_file(folder / f"{wanted.tenant}.token", credential["token"])
    command = f"{os.path.relpath(Path(sys.prefix) / 'bin' / 'hallhitch')}"
    click.echo(f"""
It serves at {url}; its log is {folder / "log"}. In another shell:

  export HALLHITCH_URL={url} HALLHITCH_CA={ca}
  export HALLHITCH_TOKEN=$(cat {folder / "operator.token"})
  {command} tenants list
  {command} tenants show acme
  {command} tenants diff deploy/demo/acme.toml       # edit the file, then `apply` it
  {command} credentials issue acme eye --scope read
  {command} control backup {folder / "control.toml"} {folder / "saved.db"}

  curl --cacert {ca} {url}/openapi.json
  curl --cacert {ca} -H "Authorization: Bearer $(cat {folder / "acme.token"})" {url}/v1/tenants/acme/clients
  curl --cacert {ca} -H "Authorization: Bearer $(cat {folder / "acme.token"})" {url}/v1/tenants/bolt   # 404
""")
