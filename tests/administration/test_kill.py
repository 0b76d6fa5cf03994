"""An administrator's call repeated after a time-out: the process killed at any point, under load.

Each operation creates something under `If-None-Match: *`, so a second execution would be told 412 and not 201: one
change each, and none acknowledged that is gone, shows in the answers alone. Versions and audit are counted too.
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
from tests.administration_process import AdministrationProcess, change, seed
from tests.stand_ins import GUARD, soon

ROUNDS = int(os.environ.get("HALLHITCH_SOAK_ROUNDS", "24"))
WORKERS = 8
ACME = "/v1/tenants/acme"

# Code that runs in the program first: kills it at one point of a change to `clients/victim`, once the file is there.
KILLS = {
    "before the commit": """
import os
from hallhitch.administration import store
was = store.SqliteBatch.store_response
def store_response(self, actor, key, answer):
    was(self, actor, key, answer)
    if key == "victim" and os.path.exists({mark!r}):
        os.kill(os.getpid(), 9)
store.SqliteBatch.store_response = store_response
""",
    "after the commit": """
import os
from hallhitch.administration import writer
was = writer.Writer._commit
def commit(self, calls, catalogue, now):
    done = was(self, calls, catalogue, now)
    if any(call.key == "victim" for call in calls) and os.path.exists({mark!r}):
        os.kill(os.getpid(), 9)
    return done
writer.Writer._commit = commit
""",
    "after the answer was written": """
import os
from uvicorn.protocols.http import h11_impl
was = h11_impl.RequestResponseCycle.send
async def send(self, message):
    await was(self, message)
    if (message["type"] == "http.response.body" and self.scope["path"].endswith("/victim")
            and os.path.exists({mark!r})):
        os.kill(os.getpid(), 9)
h11_impl.RequestResponseCycle.send = send
""",
}


class KilledProcess(unittest.IsolatedAsyncioTestCase):
    """kill -9, at chosen points and at any."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.plane = AdministrationProcess(self.folder)

    async def _ended(self) -> None:
        """Wait for the process to be gone."""
        self.assertEqual(await soon(self.plane.process.wait()), -signal.SIGKILL)
        await soon(self.plane._drain)

    async def test_a_kill_at_each_point_of_a_change_loses_and_repeats_nothing(self) -> None:
        """Guards against a change made twice, or lost though it was acknowledged, at each side of the commit."""
        mark = str(self.folder / "mark")
        for number, (point, code) in enumerate(KILLS.items()):
            with self.subTest(point=point):
                await self.plane.start(code.format(mark=mark))
                async with self.plane.client() as root:
                    if number == 0:
                        await seed(root, "acme")
                    Path(mark).touch()
                    first = None
                    with contextlib.suppress(httpx.TransportError):
                        first = await change(
                            root, "PUT", f"{ACME}/credentials/victim", {"scope": "read"}, "victim", If_None_Match="*"
                        )
                await self._ended()
                self.assertEqual(point == "after the answer was written", first is not None)
                Path(mark).unlink()
                await self.plane.start()
                async with self.plane.client() as root:
                    before = (await root.get("/v1/status")).json()["version"]
                    again = await change(
                        root, "PUT", f"{ACME}/credentials/victim", {"scope": "read"}, "victim", If_None_Match="*"
                    )
                    after = (await root.get("/v1/status")).json()["version"]
                    self.assertEqual(again.status_code, 201, again.text)
                    self.assertEqual(before == after, point != "before the commit")
                    if first is not None:
                        self.assertEqual((again.content, again.headers), (first.content, first.headers))
                    async with self.plane.client(again.json()["token"]) as caller:
                        self.assertEqual((await caller.get(ACME)).status_code, 200, "the secret of the first answer")
                    await change(root, "DELETE", f"{ACME}/credentials/victim")
                await self.plane.stop()
                await self._forget("victim")

    async def _forget(self, key: str) -> None:
        """Let the key be new for the next point."""
        with contextlib.closing(sqlite3.connect(self.folder / "store" / "state.db")) as db:
            db.execute("DELETE FROM answer WHERE key=?", (key,))
            db.commit()

    async def test_kills_under_load_lose_and_repeat_nothing(self) -> None:  # noqa: C901  one case after the other
        """Guards against the same where many changes share a transaction and snapshots are under way."""
        rng = random.Random(20261)
        text = self.plane.file.read_text().replace('folder = "store"', 'folder = "store"\nsnapshot_each = 7\nkeep = 3')
        self.plane.file.write_text(text)
        acknowledged: dict[str, bytes] = {}
        wanted = 0
        for round_ in range(ROUNDS):
            await self.plane.start()
            tell = asyncio.Event()
            kill_at = len(acknowledged) + rng.randrange(1, 40)
            async with self.plane.client() as root:
                if round_ == 0:
                    await seed(root, "acme")
                    await change(root, "PATCH", ACME, {"limits": {"clients": 10**6, "rate": 1e9}})

                async def worker(
                    number: int, root: httpx.AsyncClient = root, kill_at: int = kill_at, tell: asyncio.Event = tell
                ) -> None:
                    nonlocal wanted
                    turn = 0
                    while True:
                        name = f"w{number}-{turn}"
                        turn += 1
                        if name in acknowledged:
                            continue
                        if f"new {name}" not in self.seen:
                            self.seen.add(f"new {name}")
                            wanted += 1
                        try:
                            made = await change(
                                root,
                                "PUT",
                                f"{ACME}/clients/{name}",
                                {"plan": "small-shop"},
                                f"key-{name}",
                                If_None_Match="*",
                            )
                        except httpx.TransportError:
                            return
                        self.assertEqual(made.status_code, 201, made.text)
                        acknowledged[name] = made.content
                        if len(acknowledged) >= kill_at:
                            tell.set()

                tasks = [asyncio.create_task(worker(n)) for n in range(WORKERS)]
                await asyncio.wait_for(tell.wait(), GUARD)
                self.plane.process.kill()
                await self._ended()
                for task in tasks:
                    await soon(task)
        await self.plane.start()
        async with self.plane.client() as root:
            for name in sorted(self.seen):  # every call that was ever begun, acknowledged or not
                name = name.removeprefix("new ")
                made = await change(
                    root, "PUT", f"{ACME}/clients/{name}", {"plan": "small-shop"}, f"key-{name}", If_None_Match="*"
                )
                self.assertEqual(made.status_code, 201, made.text)
                if name in acknowledged:
                    self.assertEqual(made.content, acknowledged[name])
            version = (await root.get("/v1/status")).json()["version"]
            told = (await root.get(ACME)).json()
        self.assertEqual(told["uses"]["clients"], wanted + 1)
        self.assertEqual(int(version.split(".")[1]), wanted + 3, "the operator, the tenant, its limits, and one each")
        await self.plane.stop()
        found = backups.verify(self.folder / "store" / "state.db")
        self.assertEqual(found.catalog.version, wanted + 3)

    seen: set[str]

    def setUp(self) -> None:
        self.seen = set()
