"""The store's troubles: a full disk, a folder that cannot be written, a second process, clocks, damage, old backups."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import sqlite3
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from hallhitch.administration import backups
from hallhitch.administration.call_decider import RESPONSE_RETENTION_MS
from hallhitch.administration.clock import WallClock
from hallhitch.administration.errors import CorruptStoreError, StoreError
from hallhitch.administration.store import SqliteStore
from hallhitch.administration.store_files import connect
from hallhitch.administration.store_schema import MIGRATIONS
from hallhitch.catalog.changes import Change, Edit, apply_change
from hallhitch.catalog.model import Catalog, Head, Kind, Limits, Plan
from tests.administration_process import PLAN, AdministrationCase, AdministrationProcess, change, issue, seed
from tests.stand_ins import GUARD, ROOT

ACME = "/v1/tenants/acme"
# Drops the right of the superuser to write where the mode forbids it, so that the test is the same for all users.
UNPRIVILEGED = """
import ctypes, ctypes.util
libc = ctypes.CDLL(None, use_errno=True)
head = (ctypes.c_uint32 * 2)(0x20080522, 0)
data = (ctypes.c_uint32 * 6)()
assert libc.syscall({capget}, head, data) == 0
for word in (0, 1):
    data[word] &= ~0b110 if word == 0 else 0xFFFFFFFF
assert libc.syscall({capset}, head, data) == 0
"""
NUMBERS = {"x86_64": (125, 126), "aarch64": (90, 91)}


class FullDisk(AdministrationCase):
    """Disks that take no more."""

    async def test_a_full_disk_rejects_changes_and_loses_none(self) -> None:
        """Guards against half of a change on a full disk, and against a process that must be restarted after it."""
        await seed(self.root, "acme")
        pid, size = self.plane.process.pid, (self.plane.folder / "store" / "state.db-wal").stat().st_size
        _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        version = await self.status()
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size + 100, hard))
        tried = []
        for number in range(5):
            made = await change(self.root, "PUT", f"{ACME}/plans/p{number}", PLAN, f"key-{number}")
            tried.append(made)
            self.assertEqual((made.status_code, made.json()["code"]), (503, "not-written"), made.text)
            self.assertGreater(int(made.headers["retry-after"]), 0)
        self.assertEqual(await self.status(), version)
        self.assertEqual((await self.root.get(f"{ACME}/plans/p0")).status_code, 404)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard, hard))
        again = await change(self.root, "PUT", f"{ACME}/plans/p0", PLAN, "key-0")
        self.assertEqual(again.status_code, 201, "the same key, made now for the first time")
        await self.plane.stop()
        found = backups.verify(self.plane.folder / "store" / "state.db")
        self.assertEqual(f"{found.catalog.epoch}.{found.catalog.version}", again.json()["version"])


class StartFailures(unittest.IsolatedAsyncioTestCase):
    """Starts that must not be made, and say why in one line."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.plane = AdministrationProcess(Path(folder.name))
        self.store = self.plane.folder / "store"

    def refused(self, *says: str, fault: str = "") -> None:
        """Check that `control serve` ends with exit code 2 and one line."""
        call = ["-m", "hallhitch", "control", "serve", str(self.plane.file)]
        if fault:
            call = [
                "-c",
                f"{fault}\nimport sys; sys.argv = ['hallhitch'] + {call[2:]!r}\n"
                "from hallhitch.__main__ import main\nraise SystemExit(main())",
            ]
        run = subprocess.run([sys.executable, *call], cwd=ROOT, capture_output=True, text=True, timeout=GUARD)
        lines = [line for line in run.stderr.splitlines() if not line.startswith("{")]
        self.assertEqual((run.returncode, len(lines)), (2, 1), run.stderr)
        for text in says:
            self.assertIn(text, lines[0])

    async def test_a_second_process_is_refused_the_store(self) -> None:
        """Guards against two writers on one store."""
        await self.plane.start()
        self.refused("in use by process", str(self.plane.process.pid))
        self.assertEqual(await self.plane.stop(), 0)

    async def test_an_unwritable_directory_prevents_the_start(self) -> None:
        """Guards against a start that serves and cannot change anything."""
        import platform

        capget, capset = NUMBERS[platform.machine()]
        fault = UNPRIVILEGED.format(capget=capget, capset=capset)
        files = [self.store, *self.store.iterdir()]
        for path in files:
            path.chmod(0o500 if path.is_dir() else 0o400)
        for path in files:
            self.addCleanup(path.chmod, 0o700)
        self.refused(str(self.store), "ermission", fault=fault)

    async def test_a_missing_store_or_key_or_a_foreign_key_prevents_the_start(self) -> None:
        """Guards against an empty store made in silence where a mount is missing, and answers sealed by another key."""
        key = self.store / "key"
        right = key.read_text()
        key.write_text("0" * 64)
        self.refused("not the one")
        key.unlink()
        self.refused("key", "No such file")
        key.write_text(right)
        (self.store / "state.db").rename(self.store / "away")
        self.refused("there is no store")

    async def test_corrupt_rows_are_named_and_prevent_the_start(self) -> None:
        """Guards against a damaged row that is passed over, wherever it lies."""
        await self.plane.start()
        async with self.plane.client() as root:
            await seed(root, "acme", "bolt")
        await self.plane.stop()
        good = (self.store / "state.db").read_bytes()
        for code, place in [
            ("UPDATE change SET body=replace(body, 'press-1', 'press-2') WHERE version=2", "table change, version"),
            ("UPDATE change SET at=at+1 WHERE version=3", "table change, version"),
            ("DELETE FROM change WHERE version=2", "table change, version"),
            ("UPDATE row SET body='{}' WHERE kind='client' AND tenant='bolt'", "'bolt', client press-1"),
            ("UPDATE row SET body=CAST('{}' AS BLOB) WHERE kind='plan' AND tenant='bolt'", "'bolt', plan small-shop"),
            ("DELETE FROM row WHERE kind='host' AND tenant='acme'", "'acme', host acme.tenants.example.org"),
            ("INSERT INTO row VALUES ('acme','plan','x',1,'{}')", "'acme', plan x"),
            ("UPDATE part SET version=1 WHERE tenant='bolt'", "table part, tenant bolt"),
            ("UPDATE snapshot SET version=1", "table snapshot"),
        ]:
            with self.subTest(code=code), contextlib.closing(sqlite3.connect(self.store / "state.db")) as db:
                db.execute(code)
                db.commit()
            self.refused("state.db", place)
            (self.store / "state.db").write_bytes(good)
        torn = bytearray(good)
        torn[4096:8192] = b"\0" * 4096
        (self.store / "state.db").write_bytes(torn)
        self.refused("state.db")

    async def test_a_newer_schema_prevents_the_start(self) -> None:
        """Guards against an old program that writes into a newer store."""
        with contextlib.closing(sqlite3.connect(self.store / "state.db")) as db:
            db.execute(f"PRAGMA user_version={len(MIGRATIONS) + 1}")
        self.refused("newer than this program")

    async def test_time_does_not_go_back_with_the_wall_clock(self) -> None:
        """Guards against an expired credential that lives again, and against times that run backwards in the audit."""
        fault = (
            "import time, os\nreal = time.time\n"
            f"time.time = lambda: real() - (86400 if os.path.exists({str(self.plane.folder / 'back')!r}) else 0)"
        )
        await self.plane.start(fault)
        async with self.plane.client() as root:
            await seed(root, "acme")
            at = (await root.get(f"{ACME}/audit")).json()["items"][0]["at"]
            token = await issue(root, "acme", "boss", expires=at)
            async with self.plane.client(token) as caller:
                self.assertEqual((await caller.get(ACME)).status_code, 401)
                (self.plane.folder / "back").touch()
                self.assertEqual((await caller.get(ACME)).status_code, 401)
                await self.plane.stop()
                self.assertIn("the clock went back", "".join(self.plane.log_lines))
                await self.plane.start(fault)
                self.assertEqual((await caller.get(ACME)).status_code, 401, "after a restart too")
            await change(root, "PUT", f"{ACME}/plans/p", PLAN)
            times = [item["at"] for item in (await root.get(f"{ACME}/audit")).json()["items"]]
            self.assertEqual(times, sorted(times, reverse=True))
        self.assertEqual(await self.plane.stop(), 0)

    async def test_a_restored_backup_begins_a_later_epoch(self) -> None:
        """Guards against versions that go back, and entity tags of the lost time that match again."""
        await self.plane.start()
        folder, backup = self.plane.folder / "store", self.plane.folder / "backup.db"
        async with self.plane.client() as root:
            await seed(root, "acme")
            saved = await asyncio.to_thread(backups.backup, folder, backup)
            lost = await change(root, "PUT", f"{ACME}/plans/p", PLAN, "lost-key")
            held = lost.json()["version"]
        await self.plane.stop()
        made = backups.restore(folder, backup)
        self.assertEqual(made.version, saved.catalog.version)
        self.assertGreater((made.epoch, made.version), tuple(map(int, held.split("."))))
        self.assertGreater(backups.restore(folder, backup).epoch, made.epoch, "each restore is an epoch of its own")
        await self.plane.start()
        async with self.plane.client() as root:
            self.assertEqual((await root.get(f"{ACME}/plans/p")).status_code, 404)
            again = await change(root, "PUT", f"{ACME}/plans/p", PLAN, "lost-key")
            self.assertEqual(again.status_code, 201, "a call answered in the lost time is made, not repeated")
            same_number = again.json()["version"].split(".")[1] == held.split(".")[1]
            self.assertTrue(same_number and again.json()["version"] != held)
            stale = await change(root, "PUT", f"{ACME}/plans/p", PLAN, If_Match=lost.headers["etag"])
            self.assertEqual(stale.status_code, 412)
        self.assertEqual(await self.plane.stop(), 0)
        self.assertEqual(len(list(folder.glob("before-restore-*"))), 2, "what stood there is kept")

    async def test_corrupt_backups_and_interrupted_restores_are_refused(self) -> None:
        """Guards against a good store replaced by a bad one, and a start between two of a restore's steps."""
        folder, backup = self.plane.folder / "store", self.plane.folder / "backup.db"
        backups.backup(folder, backup)
        with self.assertRaises(StoreError):
            backups.backup(folder, backup)
        with contextlib.closing(sqlite3.connect(backup)) as db:
            db.execute("UPDATE row SET version=9")
            db.commit()
        before = (folder / "state.db").read_bytes()
        with self.assertRaises(CorruptStoreError):
            backups.restore(folder, backup)
        self.assertEqual((folder / "state.db").read_bytes(), before)
        (folder / "state.db").rename(folder / "restore.tmp")
        self.refused("a restore was interrupted")


class StoreByItself(unittest.TestCase):
    """The store by itself."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def filled(self, store: SqliteStore, changes: int) -> Catalog:
        """A store with a tenant and some changes."""
        catalog = Catalog(epoch=5)
        store.commit_snapshot(1, catalog, 0, 0)
        for number in range(changes):
            edit = Edit(Kind.PLAN, f"p{number % 7}", None if number % 7 == 6 and number > 7 else Plan(price=number))
            if number % 7 == 6 and number <= 7:
                edit = Edit(Kind.TENANT, "a", Head(limits=Limits(plans=50)))
            first = Edit(Kind.TENANT, "a", Head(limits=Limits(plans=50)))
            try:
                made = apply_change(catalog, Change("a", (first,) if number == 0 else (edit,)))
            except Exception:  # noqa: BLE001  an outer edge: logged, and the process goes on
                continue
            with store.batch() as batch:
                batch.append_change(made.catalog, made.diff, number, "a", "test")
            catalog = made.catalog
        return catalog

    def test_snapshot_and_log_recover_the_same_catalog(self) -> None:
        """Guards against a compaction that forgets, or keeps what was dropped."""
        store = SqliteStore(self.folder, create=True)
        catalog = self.filled(store, 30)
        self.assertEqual(store.load().catalog, catalog)
        from hallhitch.catalog.rows import catalog_rows

        store.write_snapshot_chunk(9, 0, list(catalog_rows(catalog)))
        store.commit_snapshot(9, catalog, 1, 4)
        found = store.load()
        self.assertEqual((found.catalog, found.replayed_changes), (catalog, 0))
        self.assertIsNotNone(found.history.diff(catalog, 5, catalog.version - 3))
        self.assertIsNone(found.history.diff(catalog, 5, catalog.version - 6))
        store.close()

    def test_a_failed_batch_is_rolled_back(self) -> None:
        """Guards against part of a transaction."""
        store = SqliteStore(self.folder, create=True)
        catalog = self.filled(store, 3)
        made = apply_change(catalog, Change("b", (Edit(Kind.TENANT, "b", Head()),)))
        with self.assertRaises(ZeroDivisionError), store.batch() as batch:
            batch.append_change(made.catalog, made.diff, 9, "b", "test")
            raise ZeroDivisionError
        self.assertEqual(store.load().catalog, catalog)
        store.close()

    def test_each_schema_version_migrates_to_the_newest(self) -> None:
        """Guards against a store of an older form that can no longer be opened."""
        for steps in range(len(MIGRATIONS)):
            folder = self.folder / str(steps)
            folder.mkdir()
            db = connect(folder / "state.db", create=True)
            for number in range(steps):
                db.executescript(MIGRATIONS[number] + f"PRAGMA user_version={number + 1};")
            db.close()
            store = SqliteStore(folder)
            catalog = self.filled(store, 5)
            self.assertEqual(store.load().catalog, catalog)
            store.close()

    def test_expired_responses_are_deleted(self) -> None:
        """Guards against a table of answers that grows without end."""
        from hallhitch.administration.store_records import StoredResponse

        store = SqliteStore(self.folder, create=True)
        for at in (0, 10, RESPONSE_RETENTION_MS):
            with store.batch() as batch:
                batch.store_response("a", f"k{at}", StoredResponse(at, b"", b""))
        self.assertEqual(store.delete_responses(RESPONSE_RETENTION_MS), 2)
        store.close()

    def test_the_wall_clock_does_not_advance_while_behind(self) -> None:
        """Guards against a clock that goes back with the machine's."""
        wall = iter([10.0, 12.0, 5.0, 11.9, 12.5])
        clock = WallClock(9_000, lambda: next(wall))
        self.assertEqual([clock.now_ms() for _ in range(5)], [10_000, 12_000, 12_000, 12_000, 12_500])
