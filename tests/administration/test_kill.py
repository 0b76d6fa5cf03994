"""Calls that are retried after the process was killed, at chosen points and at random under load.

Each call creates an entry with `If-None-Match: *`, so a second execution would be answered by 412 instead of 201. The
responses alone therefore show that each call is executed exactly once and that no acknowledged change is lost. The
versions are counted as well.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sqlite3
import tempfile
import unittest
from pathlib import Path

import httpx

from hallhitch.administration import backups
from tests.administration_process import AdministrationProcess, create_tenants, send_change
from tests.stand_ins import GUARD, soon

ROUNDS = int(os.environ.get("HALLHITCH_SOAK_ROUNDS", "24"))
WORKERS = 8
ACME = "/v1/tenants/acme"

# Code that the process runs first. It kills the process at one point of the call with the key `victim`, once the file
# `trigger` exists.
KILLS = {
    "before the commit": """
import os
from hallhitch.administration import store
original = store.SqliteBatch.store_response
def store_response(self, actor, key, response):
    original(self, actor, key, response)
    if key == "victim" and os.path.exists({trigger!r}):
        os.kill(os.getpid(), 9)
store.SqliteBatch.store_response = store_response
""",
    "after the commit": """
import os
from hallhitch.administration import writer
original = writer.Writer._commit
def commit(self, calls, catalog, now_ms):
    result = original(self, calls, catalog, now_ms)
    if any(call.key == "victim" for call in calls) and os.path.exists({trigger!r}):
        os.kill(os.getpid(), 9)
    return result
writer.Writer._commit = commit
""",
    "after the response was written": """
import os
from uvicorn.protocols.http import h11_impl
original = h11_impl.RequestResponseCycle.send
async def send(self, message):
    await original(self, message)
    if (message["type"] == "http.response.body" and self.scope["path"].endswith("/victim")
            and os.path.exists({trigger!r})):
        os.kill(os.getpid(), 9)
h11_impl.RequestResponseCycle.send = send
""",
}


class KilledProcess(unittest.IsolatedAsyncioTestCase):
    """Kills the process by SIGKILL, at chosen points and at random ones."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.service = AdministrationProcess(self.folder)

    async def _wait_until_killed(self) -> None:
        """Wait until the process has been killed and its log is read."""
        self.assertEqual(await soon(self.service.process.wait()), -signal.SIGKILL)
        await soon(self.service._log_reader)

    async def test_a_kill_at_each_point_of_a_change_loses_and_repeats_nothing(self) -> None:
        """Guards against a change that is executed twice, or lost after its acknowledgement, around the commit."""
        trigger = str(self.folder / "trigger")
        for number, (point, code) in enumerate(KILLS.items()):
            with self.subTest(point=point):
                await self.service.start(code.format(trigger=trigger))
                async with self.service.client() as root:
                    if number == 0:
                        await create_tenants(root, "acme")
                    Path(trigger).touch()
                    first = None
                    with contextlib.suppress(httpx.TransportError):
                        first = await send_change(
                            root, "PUT", f"{ACME}/credentials/victim", {"scope": "read"}, "victim", If_None_Match="*"
                        )
                await self._wait_until_killed()
                self.assertEqual(point == "after the response was written", first is not None)
                Path(trigger).unlink()
                await self.service.start()
                async with self.service.client() as root:
                    version_before = (await root.get("/v1/status")).json()["version"]
                    retried = await send_change(
                        root, "PUT", f"{ACME}/credentials/victim", {"scope": "read"}, "victim", If_None_Match="*"
                    )
                    version_after = (await root.get("/v1/status")).json()["version"]
                    self.assertEqual(retried.status_code, 201, retried.text)
                    self.assertEqual(version_before == version_after, point != "before the commit")
                    if first is not None:
                        self.assertEqual((retried.content, retried.headers), (first.content, first.headers))
                    async with self.service.client(retried.json()["token"]) as caller:
                        self.assertEqual(
                            (await caller.get(ACME)).status_code, 200, "the token of the first response is valid"
                        )
                    await send_change(root, "DELETE", f"{ACME}/credentials/victim")
                await self.service.stop()
                await self._delete_stored_response("victim")

    async def _delete_stored_response(self, key: str) -> None:
        """Delete the stored response of an idempotency key, so that the next point can use it again."""
        with contextlib.closing(sqlite3.connect(self.folder / "store" / "state.db")) as db:
            db.execute("DELETE FROM answer WHERE key=?", (key,))
            db.commit()

    async def test_kills_under_load_lose_and_repeat_nothing(self) -> None:  # noqa: C901  one scenario from start to end
        """Guards against the same faults while many changes share a transaction and snapshots are written."""
        rng = random.Random(20261)
        settings = self.service.settings_file.read_text().replace(
            'folder = "store"', 'folder = "store"\nsnapshot_each = 7\nkeep = 3'
        )
        self.service.settings_file.write_text(settings)
        acknowledged: dict[str, bytes] = {}
        attempted_count = 0
        for round_number in range(ROUNDS):
            await self.service.start()
            enough_acknowledged = asyncio.Event()
            kill_at_count = len(acknowledged) + rng.randrange(1, 40)
            async with self.service.client() as root:
                if round_number == 0:
                    await create_tenants(root, "acme")
                    await send_change(root, "PATCH", ACME, {"limits": {"clients": 10**6, "rate": 1e9}})

                async def worker(
                    number: int,
                    root: httpx.AsyncClient = root,
                    kill_at_count: int = kill_at_count,
                    enough_acknowledged: asyncio.Event = enough_acknowledged,
                ) -> None:
                    nonlocal attempted_count
                    sequence = 0
                    while True:
                        name = f"w{number}-{sequence}"
                        sequence += 1
                        if name in acknowledged:
                            continue
                        if f"new {name}" not in self.attempted:
                            self.attempted.add(f"new {name}")
                            attempted_count += 1
                        try:
                            response = await send_change(
                                root,
                                "PUT",
                                f"{ACME}/clients/{name}",
                                {"plan": "small-shop"},
                                f"key-{name}",
                                If_None_Match="*",
                            )
                        except httpx.TransportError:
                            return
                        self.assertEqual(response.status_code, 201, response.text)
                        acknowledged[name] = response.content
                        if len(acknowledged) >= kill_at_count:
                            enough_acknowledged.set()

                tasks = [asyncio.create_task(worker(n)) for n in range(WORKERS)]
                await asyncio.wait_for(enough_acknowledged.wait(), GUARD)
                self.service.process.kill()
                await self._wait_until_killed()
                for task in tasks:
                    await soon(task)
        await self.service.start()
        async with self.service.client() as root:
            for name in sorted(self.attempted):  # all calls that were ever sent, acknowledged or not
                name = name.removeprefix("new ")
                response = await send_change(
                    root, "PUT", f"{ACME}/clients/{name}", {"plan": "small-shop"}, f"key-{name}", If_None_Match="*"
                )
                self.assertEqual(response.status_code, 201, response.text)
                if name in acknowledged:
                    self.assertEqual(response.content, acknowledged[name])
            version = (await root.get("/v1/status")).json()["version"]
            tenant = (await root.get(ACME)).json()
        self.assertEqual(tenant["uses"]["clients"], attempted_count + 1)
        self.assertEqual(
            int(version.split(".")[1]),
            attempted_count + 3,
            "the operator, the tenant and its limits are one change each, and each client is one",
        )
        await self.service.stop()
        verified = backups.verify(self.folder / "store" / "state.db")
        self.assertEqual(verified.catalog.version, attempted_count + 3)

    attempted: set[str]

    def setUp(self) -> None:
        self.attempted = set()
