"""Runs the administration service as a real process on loopback with a certificate authority of its own, and calls it.

Nothing here sleeps: tests wait for log lines and for responses.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import ssl
import sys
import tempfile
import unittest
import uuid
from pathlib import Path
from typing import Any

import httpx

from hallhitch.administration.bootstrap import create_first_operator
from hallhitch.administration.settings import AdministrationSettings
from hallhitch.settings_file import read
from hallhitch.tls import authority
from tests.stand_ins import GUARD, ROOT, free_port, soon

TENANT: dict[str, Any] = {"on": True}
PLAN: dict[str, Any] = {"rate": 2.0, "burst": 4.0}


class AdministrationProcess:
    """Process of the administration service, with its settings, store and certificates in one directory."""

    process: asyncio.subprocess.Process

    def __init__(self, folder: Path, **api: object) -> None:
        self.folder, self.settings_file = folder, folder / "control.toml"
        self.url = f"https://127.0.0.1:{free_port()}"
        api_settings = {"listen": self.url.removeprefix("https://"), "calls_per_second": 1e6, "burst": 1e6} | api
        lines = "\n".join(f"{name} = {json.dumps(value)}" for name, value in api_settings.items())
        self.settings_file.write_text(
            f'[store]\nfolder = "store"\n[api]\n{lines}\n[tls]\nfolder = "tls"\n'
            'client_ca = "tls/ca.crt"\nlook_seconds = 0.05\n'
        )
        authority.create_authority(folder / "tls")
        authority.issue_certificate(folder / "tls", "default", ["127.0.0.1", "localhost"])
        self.token = create_first_operator(
            read(str(self.settings_file), AdministrationSettings), str(self.settings_file)
        )
        self.tls_context = ssl.create_default_context(cafile=str(folder / "tls" / "ca.crt"))
        self.log_lines: list[str] = []

    async def start(self, fault: str = "", expect: str = '"serving"', **environ: str) -> None:
        """Start the process and wait for a log line with `expect`; `fault` is code that the process runs first."""
        command = [
            "-c",
            f"{fault}\nimport sys\nsys.argv = ['hallhitch', 'control', 'serve', {str(self.settings_file)!r}]\n"
            "from hallhitch.__main__ import main\nraise SystemExit(main())",
        ]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(command if fault else ["-m", "hallhitch", "control", "serve", str(self.settings_file)]),
            cwd=ROOT,
            env=dict(os.environ) | environ,
            stderr=asyncio.subprocess.PIPE,
        )
        if expect:
            await self.wait_for_log(expect)
            self._log_reader = asyncio.create_task(self._read_log())

    async def wait_for_log(self, text: str) -> str:
        """Wait for a log line that contains a text, and return the line."""
        assert self.process.stderr is not None
        while text.encode() not in (line := await soon(self.process.stderr.readline())):
            assert line, f"the process ended before it logged {text}: {self.log_lines}"
            self.log_lines.append(line.decode())
        return line.decode()

    async def _read_log(self) -> None:
        """Collect log lines until the process ends."""
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log_lines.append(line.decode())

    async def stop(self, signal_number: int = signal.SIGTERM) -> int | None:
        """Stop the process and return its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        await soon(self.process.wait())
        await soon(self._log_reader)
        return self.process.returncode

    def client(self, token: str | None = "", context: ssl.SSLContext | None = None) -> httpx.AsyncClient:
        """Return an HTTP client that sends the first operator's token, the given one, or (None) no token."""
        headers = {} if token is None else {"Authorization": f"Bearer {token or self.token}"}
        return httpx.AsyncClient(
            base_url=self.url, verify=context or self.tls_context, headers=headers, timeout=GUARD, trust_env=False
        )


async def send_change(
    client: httpx.AsyncClient, method: str, path: str, body: Any = None, key: str = "", **headers: str
) -> httpx.Response:
    """Send a call that changes something, with the given idempotency key or a new one."""
    all_headers = {"Idempotency-Key": key or str(uuid.uuid4())}
    all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
    return await client.request(method, path, json=body, headers=all_headers)


async def create_tenants(client: httpx.AsyncClient, *tenants: str) -> None:
    """Create tenants with a plan, a client and a host name each."""
    for name in tenants:
        edits = [
            {"kind": "tenant", "name": name, "value": TENANT},
            {"kind": "plan", "name": "small-shop", "value": PLAN},
            {"kind": "client", "name": "press-1", "value": {"plan": "small-shop"}},
            {"kind": "host", "name": f"{name}.tenants.example.org", "value": {}},
        ]
        response = await send_change(client, "POST", f"/v1/tenants/{name}/changes", {"edits": edits})
        assert response.status_code == 200, response.text


async def issue_credential(caller: httpx.AsyncClient, tenant: str, id: str, scope: str = "admin", **fields: Any) -> str:
    """Create a credential and return its token."""
    response = await send_change(caller, "PUT", f"/v1/tenants/{tenant}/credentials/{id}", {"scope": scope} | fields)
    assert response.status_code == 201, response.text
    return str(response.json()["token"])


class AdministrationCase(unittest.IsolatedAsyncioTestCase):
    """Starts the process before each test, and stops it afterwards by SIGTERM, as a planned restart does."""

    api: dict[str, object] = {"failures_per_minute": 6000.0}  # noqa: RUF012  subclasses replace it and nothing changes it
    fault = ""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.service = AdministrationProcess(Path(folder.name), **self.api)
        await self.service.start(self.fault)
        self.root = self.service.client()
        self.addAsyncCleanup(self.root.aclose)

    async def asyncTearDown(self) -> None:
        code = await self.service.stop()
        log = "".join(self.service.log_lines)
        self.assertEqual(code, 0, log)
        self.assertNotIn("broken:", log)
        self.assertNotRegex(log, r"hh_[a-z0-9-]*\.[a-z0-9-]+\.[A-Za-z0-9_-]{8,}", "a token in the log")

    async def status(self) -> str:
        """Return the newest version of the catalog, with its epoch."""
        return str((await self.root.get("/v1/status")).json()["version"])
