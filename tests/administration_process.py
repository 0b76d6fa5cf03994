"""The administration service as a real process on loopback, with an authority of its own, and calls to it.

Nothing here sleeps: tests wait for lines of the log and for answers.
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

HEAD: dict[str, Any] = {"on": True}
PLAN: dict[str, Any] = {"rate": 2.0, "burst": 4.0}


class AdministrationProcess:
    """A control plane in a folder of its own."""

    process: asyncio.subprocess.Process

    def __init__(self, folder: Path, **api: object) -> None:
        self.folder, self.file = folder, folder / "control.toml"
        self.url = f"https://127.0.0.1:{free_port()}"
        told = {"listen": self.url.removeprefix("https://"), "calls_per_second": 1e6, "burst": 1e6} | api
        lines = "\n".join(f"{name} = {json.dumps(value)}" for name, value in told.items())
        self.file.write_text(
            f'[store]\nfolder = "store"\n[api]\n{lines}\n[tls]\nfolder = "tls"\n'
            'client_ca = "tls/ca.crt"\nlook_seconds = 0.05\n'
        )
        authority.create_authority(folder / "tls")
        authority.issue_certificate(folder / "tls", "default", ["127.0.0.1", "localhost"])
        self.token = create_first_operator(read(str(self.file), AdministrationSettings), str(self.file))
        self.tls_context = ssl.create_default_context(cafile=str(folder / "tls" / "ca.crt"))
        self.log_lines: list[str] = []

    async def start(self, fault: str = "", expect: str = '"serving"', **environ: str) -> None:
        """Start it; `fault` is code that runs in the process first."""
        call = [
            "-c",
            f"{fault}\nimport sys\nsys.argv = ['hallhitch', 'control', 'serve', {str(self.file)!r}]\n"
            "from hallhitch.__main__ import main\nraise SystemExit(main())",
        ]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(call if fault else ["-m", "hallhitch", "control", "serve", str(self.file)]),
            cwd=ROOT,
            env=dict(os.environ) | environ,
            stderr=asyncio.subprocess.PIPE,
        )
        if expect:
            await self.wait_for_log(expect)
            self._drain = asyncio.create_task(self._read_on())

    async def wait_for_log(self, text: str) -> str:
        """Wait for a line of its log."""
        assert self.process.stderr is not None
        while text.encode() not in (line := await soon(self.process.stderr.readline())):
            assert line, f"the program ended before it said {text}: {self.log_lines}"
            self.log_lines.append(line.decode())
        return line.decode()

    async def _read_on(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log_lines.append(line.decode())

    async def stop(self, number: int = signal.SIGTERM) -> int | None:
        """End it; its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        await soon(self.process.wait())
        await soon(self._drain)
        return self.process.returncode

    def client(self, token: str | None = "", context: ssl.SSLContext | None = None) -> httpx.AsyncClient:
        """A caller; the first operator unless a token (or None) is told."""
        headers = {} if token is None else {"Authorization": f"Bearer {token or self.token}"}
        return httpx.AsyncClient(
            base_url=self.url, verify=context or self.tls_context, headers=headers, timeout=GUARD, trust_env=False
        )


async def change(
    client: httpx.AsyncClient, method: str, path: str, body: Any = None, key: str = "", **headers: str
) -> httpx.Response:
    """A call that changes something, under a key."""
    told = {"Idempotency-Key": key or str(uuid.uuid4())}
    told |= {name.replace("_", "-"): value for name, value in headers.items()}
    return await client.request(method, path, json=body, headers=told)


async def seed(client: httpx.AsyncClient, *tenants: str) -> None:
    """Tenants with a plan, a client and a host name each."""
    for name in tenants:
        edits = [
            {"kind": "tenant", "name": name, "value": HEAD},
            {"kind": "plan", "name": "small-shop", "value": PLAN},
            {"kind": "client", "name": "press-1", "value": {"plan": "small-shop"}},
            {"kind": "host", "name": f"{name}.tenants.example.org", "value": {}},
        ]
        made = await change(client, "POST", f"/v1/tenants/{name}/changes", {"edits": edits})
        assert made.status_code == 200, made.text


async def issue(caller: httpx.AsyncClient, tenant: str, id: str, scope: str = "admin", **more: Any) -> str:
    """A credential's token."""
    made = await change(caller, "PUT", f"/v1/tenants/{tenant}/credentials/{id}", {"scope": scope} | more)
    assert made.status_code == 201, made.text
    return str(made.json()["token"])


class AdministrationCase(unittest.IsolatedAsyncioTestCase):
    """Starts the program, and ends it as a planned restart does."""

    api: dict[str, object] = {"failures_per_minute": 6000.0}  # noqa: RUF012  read by the framework, never changed
    fault = ""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.plane = AdministrationProcess(Path(folder.name), **self.api)
        await self.plane.start(self.fault)
        self.root = self.plane.client()
        self.addAsyncCleanup(self.root.aclose)

    async def asyncTearDown(self) -> None:
        code = await self.plane.stop()
        log = "".join(self.plane.log_lines)
        self.assertEqual(code, 0, log)
        self.assertNotIn("broken:", log)
        self.assertNotRegex(log, r"hh_[a-z0-9-]*\.[a-z0-9-]+\.[A-Za-z0-9_-]{8,}", "a token in the log")

    async def status(self) -> str:
        """The newest version."""
        return str((await self.root.get("/v1/status")).json()["version"])
