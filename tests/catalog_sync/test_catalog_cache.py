"""The saved catalogue: killed at any moment, damaged anywhere, on a full disk."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from hallhitch.catalog.feed import snapshot_lines
from hallhitch.catalog.feed_follower import read_snapshot
from hallhitch.catalog.model import Catalog, Kind
from hallhitch.catalog_sync.catalog_cache import CatalogCache
from tests.catalog_sync.versioned_catalogs import catalog_at_version
from tests.stand_ins import ROOT

WRITER = """
import sys
from pathlib import Path
from hallhitch.catalog_sync.catalog_cache import CatalogCache
from tests.catalog_sync.versioned_catalogs import catalog_at_version
saved = CatalogCache(Path(sys.argv[1]))
held = saved.load()
version = held.version if held else 0
print("from", version, flush=True)
while True:
    version += 1
    assert saved.save(catalog_at_version(version))
    print(version, flush=True)
"""
FULL = """
import resource, signal, sys
from pathlib import Path
from hallhitch.catalog_sync.catalog_cache import CatalogCache
from tests.catalog_sync.versioned_catalogs import catalog_at_version
signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
resource.setrlimit(resource.RLIMIT_FSIZE, (700, 700))
print(CatalogCache(Path(sys.argv[1])).save(catalog_at_version(9)))
"""


def rate(catalog: Catalog) -> float:
    """What tells one version's content from another's."""
    kept = catalog.get("a", Kind.PLAN, "y")
    assert kept is not None
    return float(kept.value.rate)


class CatalogCacheFile(unittest.TestCase):
    """One file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "catalogue"

    def test_a_saved_catalog_loads_unchanged_and_never_goes_back(self) -> None:
        """Guards against a start from something else than what was followed, and versions that go back."""
        saved = CatalogCache(self.path)
        self.assertIsNone(saved.load())
        self.assertTrue(saved.save(catalog_at_version(7)))
        self.assertFalse(saved.save(catalog_at_version(7)))
        self.assertFalse(saved.save(catalog_at_version(6)), "older")
        again = CatalogCache(self.path)
        found = again.load()
        assert found is not None
        self.assertEqual((found.version, rate(found)), (7, 7.0))
        self.assertFalse(again.save(catalog_at_version(6)), "older than what the file holds")

    def test_a_kill_at_any_moment_leaves_a_complete_file(self) -> None:
        """Guards against a file that is cut off, mixed, or older than what was acknowledged."""
        last = 0
        for turn in range(int(os.environ.get("HALLHITCH_SOAK_ROUNDS", "8")) // 4 + 6):
            with subprocess.Popen(
                [sys.executable, "-c", WRITER, str(self.path)], cwd=ROOT, text=True, stdout=subprocess.PIPE
            ) as process:
                assert process.stdout is not None
                began = int(process.stdout.readline().split()[1])
                self.assertGreaterEqual(began, last, "what was said to be saved is there")
                for _ in range(turn % 5 + 1):
                    last = int(process.stdout.readline())
                process.send_signal(signal.SIGKILL)
                for line in process.stdout:  # said before it died
                    last = int(line)
            found = CatalogCache(self.path).load()
            assert found is not None
            self.assertIn(found.version, (last, last + 1))
            self.assertEqual(rate(found), float(found.version), "one version whole")

    def test_a_damaged_file_is_set_aside(self) -> None:
        """Guards against a start from a damaged catalogue, and against one that is lost with the evidence."""
        good = b"".join(snapshot_lines(catalog_at_version(3)))
        for place in range(0, len(good), 23):
            for damaged in (good[:place], good[:place] + bytes([good[place] ^ 1]) + good[place + 1 :]):
                self.path.write_bytes(damaged)
                found = CatalogCache(self.path).load()
                if found is None:
                    self.assertFalse(self.path.exists())
                    aside = next(self.path.parent.glob("catalogue.damaged-*"))
                    self.assertEqual(aside.read_bytes(), damaged)
                    aside.unlink()
                else:  # the line's end was all that was missing
                    self.assertEqual(damaged.rstrip(), good.rstrip())

    def test_a_full_disk_keeps_the_earlier_file(self) -> None:
        """Guards against a gateway that loses its catalogue, or its process, to a disk without room."""
        CatalogCache(self.path).save(catalog_at_version(4))
        done = subprocess.run([sys.executable, "-c", FULL, str(self.path)], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("False", done.stdout)
        self.assertIn("not saved", done.stdout + done.stderr)
        found = CatalogCache(self.path).load()
        assert found is not None
        self.assertEqual(rate(found), 4.0)
        self.assertEqual([p.name for p in self.path.parent.iterdir()], ["catalogue"])

    def test_a_partial_temporary_file_is_removed(self) -> None:
        """Guards against leftovers of a killed writer that pile up, or are read."""
        CatalogCache(self.path).save(catalog_at_version(4))
        self.path.with_name("catalogue.new").write_bytes(b'{"whole"')
        found = CatalogCache(self.path).load()
        assert found is not None
        self.assertEqual(found.version, 4)
        self.assertFalse(self.path.with_name("catalogue.new").exists())
        self.assertEqual(read_snapshot(iter(self.path.read_bytes().splitlines(True))).version, 4)
