"""Faults around the store: a full disk, missing permissions, a second process, clock steps, corruption, old backups."""

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
from tests.administration_process import (
    PLAN,
    AdministrationCase,
    AdministrationProcess,
    create_tenants,
    issue_credential,
    send_change,
)
from tests.stand_ins import GUARD, ROOT

ACME = "/v1/tenants/acme"
# Drops the capabilities that let the superuser ignore file modes, so that the test works alike for all users.
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
CAPABILITY_SYSCALLS = {"x86_64": (125, 126), "aarch64": (90, 91)}  # capget and capset


class FullDisk(AdministrationCase):
    """A disk on which no more can be written, simulated by a limit on the file size."""

    async def test_a_full_disk_rejects_changes_and_loses_none(self) -> None:
        """Guards against partial changes on a full disk, and against a service that has to be restarted afterwards."""
        await create_tenants(self.root, "acme")
        pid, size = self.service.process.pid, (self.service.folder / "store" / "state.db-wal").stat().st_size
        _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        version = await self.status()
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size + 100, hard))
        responses = []
        for number in range(5):
            response = await send_change(self.root, "PUT", f"{ACME}/plans/p{number}", PLAN, f"key-{number}")
            responses.append(response)
            self.assertEqual((response.status_code, response.json()["code"]), (503, "not-written"), response.text)
            self.assertGreater(int(response.headers["retry-after"]), 0)
        self.assertEqual(await self.status(), version)
        self.assertEqual((await self.root.get(f"{ACME}/plans/p0")).status_code, 404)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard, hard))
        retried = await send_change(self.root, "PUT", f"{ACME}/plans/p0", PLAN, "key-0")
        self.assertEqual(retried.status_code, 201, "the call is executed now, for the first time")
        await self.service.stop()
        verified = backups.verify(self.service.folder / "store" / "state.db")
        self.assertEqual(f"{verified.catalog.epoch}.{verified.catalog.version}", retried.json()["version"])


class StartFailures(unittest.IsolatedAsyncioTestCase):
    """Starts that must fail, with the reason in one line."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.service = AdministrationProcess(Path(folder.name))
        self.store = self.service.folder / "store"

    def assert_start_fails(self, *expected_texts: str, fault: str = "") -> None:
        """Check that `control serve` ends with exit code 2 and one line that contains the expected texts."""
        command = ["-m", "hallhitch", "control", "serve", str(self.service.settings_file)]
        if fault:
            command = [
                "-c",
                f"{fault}\nimport sys; sys.argv = ['hallhitch'] + {command[2:]!r}\n"
                "from hallhitch.__main__ import main\nraise SystemExit(main())",
            ]
        finished = subprocess.run([sys.executable, *command], cwd=ROOT, capture_output=True, text=True, timeout=GUARD)
        lines = [line for line in finished.stderr.splitlines() if not line.startswith("{")]
        self.assertEqual((finished.returncode, len(lines)), (2, 1), finished.stderr)
        for text in expected_texts:
            self.assertIn(text, lines[0])

    async def test_a_second_process_is_refused_the_store(self) -> None:
        """Guards against two processes that write to the same store."""
        await self.service.start()
        self.assert_start_fails("in use by process", str(self.service.process.pid))
        self.assertEqual(await self.service.stop(), 0)

    async def test_an_unwritable_directory_prevents_the_start(self) -> None:
        """Guards against a service that starts although it cannot write anything."""
        import platform

        capget, capset = CAPABILITY_SYSCALLS[platform.machine()]
        fault = UNPRIVILEGED.format(capget=capget, capset=capset)
        files = [self.store, *self.store.iterdir()]
        for path in files:
            path.chmod(0o500 if path.is_dir() else 0o400)
        for path in files:
            self.addCleanup(path.chmod, 0o700)
        self.assert_start_fails(str(self.store), "ermission", fault=fault)

    async def test_a_missing_store_or_key_or_a_foreign_key_prevents_the_start(self) -> None:
        """Guards against an empty store created silently where a mount is missing, and against a wrong key."""
        key = self.store / "key"
        original_key = key.read_text()
        key.write_text("0" * 64)
        self.assert_start_fails("not the one")
        key.unlink()
        self.assert_start_fails("key", "No such file")
        key.write_text(original_key)
        (self.store / "state.db").rename(self.store / "away")
        self.assert_start_fails("there is no store")

    async def test_corrupt_rows_are_named_and_prevent_the_start(self) -> None:
        """Guards against a damaged row that a start overlooks, in any table."""
        await self.service.start()
        async with self.service.client() as root:
            await create_tenants(root, "acme", "bolt")
        await self.service.stop()
        intact = (self.store / "state.db").read_bytes()
        for statement, location in [
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
            with self.subTest(statement=statement), contextlib.closing(sqlite3.connect(self.store / "state.db")) as db:
                db.execute(statement)
                db.commit()
            self.assert_start_fails("state.db", location)
            (self.store / "state.db").write_bytes(intact)
        torn = bytearray(intact)
        torn[4096:8192] = b"\0" * 4096
        (self.store / "state.db").write_bytes(torn)
        self.assert_start_fails("state.db")

    async def test_a_newer_schema_prevents_the_start(self) -> None:
        """Guards against an old program that writes to a store with a newer schema."""
        with contextlib.closing(sqlite3.connect(self.store / "state.db")) as db:
            db.execute(f"PRAGMA user_version={len(MIGRATIONS) + 1}")
        self.assert_start_fails("newer than this program supports")

    async def test_time_does_not_go_back_with_the_wall_clock(self) -> None:
        """Guards against an expired credential that becomes valid again, and against audit times that go back."""
        fault = (
            "import time, os\noriginal = time.time\n"
            f"time.time = lambda: original() - (86400 if os.path.exists({str(self.service.folder / 'back')!r}) else 0)"
        )
        await self.service.start(fault)
        async with self.service.client() as root:
            await create_tenants(root, "acme")
            at = (await root.get(f"{ACME}/audit")).json()["items"][0]["at"]
            token = await issue_credential(root, "acme", "boss", expires=at)
            async with self.service.client(token) as caller:
                self.assertEqual((await caller.get(ACME)).status_code, 401)
                (self.service.folder / "back").touch()
                self.assertEqual((await caller.get(ACME)).status_code, 401)
                await self.service.stop()
                self.assertIn("the clock went back", "".join(self.service.log_lines))
                await self.service.start(fault)
                self.assertEqual(
                    (await caller.get(ACME)).status_code, 401, "the credential stays expired after a restart"
                )
            await send_change(root, "PUT", f"{ACME}/plans/p", PLAN)
            times = [item["at"] for item in (await root.get(f"{ACME}/audit")).json()["items"]]
            self.assertEqual(times, sorted(times, reverse=True))
        self.assertEqual(await self.service.stop(), 0)

    async def test_a_restored_backup_begins_a_later_epoch(self) -> None:
        """Guards against versions that go back, and against entity tags of lost changes that match again."""
        await self.service.start()
        folder, backup = self.service.folder / "store", self.service.folder / "backup.db"
        async with self.service.client() as root:
            await create_tenants(root, "acme")
            saved = await asyncio.to_thread(backups.backup, folder, backup)
            lost = await send_change(root, "PUT", f"{ACME}/plans/p", PLAN, "lost-key")
            lost_version = lost.json()["version"]
        await self.service.stop()
        restored = backups.restore(folder, backup)
        self.assertEqual(restored.version, saved.catalog.version)
        self.assertGreater((restored.epoch, restored.version), tuple(map(int, lost_version.split("."))))
        self.assertGreater(backups.restore(folder, backup).epoch, restored.epoch, "each restore starts a new epoch")
        await self.service.start()
        async with self.service.client() as root:
            self.assertEqual((await root.get(f"{ACME}/plans/p")).status_code, 404)
            retried = await send_change(root, "PUT", f"{ACME}/plans/p", PLAN, "lost-key")
            self.assertEqual(
                retried.status_code,
                201,
                "a call answered after the backup is executed again, not answered from the store",
            )
            same_number = retried.json()["version"].split(".")[1] == lost_version.split(".")[1]
            self.assertTrue(same_number and retried.json()["version"] != lost_version)
            stale = await send_change(root, "PUT", f"{ACME}/plans/p", PLAN, If_Match=lost.headers["etag"])
            self.assertEqual(stale.status_code, 412)
        self.assertEqual(await self.service.stop(), 0)
        self.assertEqual(len(list(folder.glob("before-restore-*"))), 2, "the replaced databases are kept")

    async def test_corrupt_backups_and_interrupted_restores_are_refused(self) -> None:
        """Guards against an intact store replaced by a corrupt backup, and against a start during a restore."""
        folder, backup = self.service.folder / "store", self.service.folder / "backup.db"
        backups.backup(folder, backup)
        with self.assertRaises(StoreError):
            backups.backup(folder, backup)
        with contextlib.closing(sqlite3.connect(backup)) as db:
            db.execute("UPDATE row SET version=9")
            db.commit()
        database_before = (folder / "state.db").read_bytes()
        with self.assertRaises(CorruptStoreError):
            backups.restore(folder, backup)
        self.assertEqual((folder / "state.db").read_bytes(), database_before)
        (folder / "state.db").rename(folder / "restore.tmp")
        self.assert_start_fails("a restore was interrupted")


class StoreWithoutService(unittest.TestCase):
    """The store and the clock, without a process of the service."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def fill(self, store: SqliteStore, changes: int) -> Catalog:
        """Write a tenant and up to that number of changes to the store, and return the catalog."""
        catalog = Catalog(epoch=5)
        store.commit_snapshot(1, catalog, 0, 0)
        for number in range(changes):
            edit = Edit(Kind.PLAN, f"p{number % 7}", None if number % 7 == 6 and number > 7 else Plan(price=number))
            if number % 7 == 6 and number <= 7:
                edit = Edit(Kind.TENANT, "a", Head(limits=Limits(plans=50)))
            first_edit = Edit(Kind.TENANT, "a", Head(limits=Limits(plans=50)))
            try:
                applied = apply_change(catalog, Change("a", (first_edit,) if number == 0 else (edit,)))
            except Exception:  # noqa: BLE001  some edits are refused, which does not matter here
                continue
            with store.batch() as batch:
                batch.append_change(applied.catalog, applied.diff, number, "a", "test")
            catalog = applied.catalog
        return catalog

    def test_snapshot_and_log_recover_the_same_catalog(self) -> None:
        """Guards against a truncation of the log that loses changes, or keeps changes that it should delete."""
        store = SqliteStore(self.folder, create=True)
        catalog = self.fill(store, 30)
        self.assertEqual(store.load().catalog, catalog)
        from hallhitch.catalog.rows import catalog_rows

        store.write_snapshot_chunk(9, 0, list(catalog_rows(catalog)))
        store.commit_snapshot(9, catalog, 1, 4)
        loaded = store.load()
        self.assertEqual((loaded.catalog, loaded.replayed_changes), (catalog, 0))
        self.assertIsNotNone(loaded.history.diff(catalog, 5, catalog.version - 3))
        self.assertIsNone(loaded.history.diff(catalog, 5, catalog.version - 6))
        store.close()

    def test_a_failed_batch_is_rolled_back(self) -> None:
        """Guards against a transaction that takes effect in part."""
        store = SqliteStore(self.folder, create=True)
        catalog = self.fill(store, 3)
        applied = apply_change(catalog, Change("b", (Edit(Kind.TENANT, "b", Head()),)))
        with self.assertRaises(ZeroDivisionError), store.batch() as batch:
            batch.append_change(applied.catalog, applied.diff, 9, "b", "test")
            raise ZeroDivisionError
        self.assertEqual(store.load().catalog, catalog)
        store.close()

    def test_each_schema_version_migrates_to_the_newest(self) -> None:
        """Guards against a store with an older schema that can no longer be opened."""
        for schema_version in range(len(MIGRATIONS)):
            folder = self.folder / str(schema_version)
            folder.mkdir()
            db = connect(folder / "state.db", create=True)
            for number in range(schema_version):
                db.executescript(MIGRATIONS[number] + f"PRAGMA user_version={number + 1};")
            db.close()
            store = SqliteStore(folder)
            catalog = self.fill(store, 5)
            self.assertEqual(store.load().catalog, catalog)
            store.close()

    def test_expired_responses_are_deleted(self) -> None:
        """Guards against a table of stored responses that grows without bound."""
        from hallhitch.administration.store_records import StoredResponse

        store = SqliteStore(self.folder, create=True)
        for stored_at_ms in (0, 10, RESPONSE_RETENTION_MS):
            with store.batch() as batch:
                batch.store_response("a", f"k{stored_at_ms}", StoredResponse(stored_at_ms, b"", b""))
        self.assertEqual(store.delete_responses(RESPONSE_RETENTION_MS), 2)
        store.close()

    def test_the_wall_clock_does_not_advance_while_behind(self) -> None:
        """Guards against times that go back with the clock of the machine."""
        wall_times_s = iter([10.0, 12.0, 5.0, 11.9, 12.5])
        clock = WallClock(9_000, lambda: next(wall_times_s))
        self.assertEqual([clock.now_ms() for _ in range(5)], [10_000, 12_000, 12_000, 12_000, 12_500])
