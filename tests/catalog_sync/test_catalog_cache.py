"""Cache file of the catalog: killed writers, damaged files and a full disk."""

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

WRITER_LOOP = """
import sys
from pathlib import Path
from hallhitch.catalog_sync.catalog_cache import CatalogCache
from tests.catalog_sync.versioned_catalogs import catalog_at_version
cache = CatalogCache(Path(sys.argv[1]))
catalog = cache.load()
version = catalog.version if catalog else 0
print("from", version, flush=True)
while True:
    version += 1
    assert cache.save(catalog_at_version(version))
    print(version, flush=True)
"""
FULL_DISK_WRITER = """
import resource, signal, sys
from pathlib import Path
from hallhitch.catalog_sync.catalog_cache import CatalogCache
from tests.catalog_sync.versioned_catalogs import catalog_at_version
signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
resource.setrlimit(resource.RLIMIT_FSIZE, (700, 700))
print(CatalogCache(Path(sys.argv[1])).save(catalog_at_version(9)))
"""


def plan_rate(catalog: Catalog) -> float:
    """Return the plan rate that `catalog_at_version` sets to the version."""
    entry = catalog.get("a", Kind.PLAN, "y")
    assert entry is not None
    return float(entry.value.rate)


class CatalogCacheFile(unittest.TestCase):
    """Loading and saving one cache file."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "catalog"

    def test_a_saved_catalog_loads_unchanged_and_never_goes_back(self) -> None:
        """Guards against a loaded catalog that differs from the saved one, and against versions that go back."""
        cache = CatalogCache(self.path)
        self.assertIsNone(cache.load())
        self.assertTrue(cache.save(catalog_at_version(7)))
        self.assertFalse(cache.save(catalog_at_version(7)))
        self.assertFalse(cache.save(catalog_at_version(6)), "older")
        reopened = CatalogCache(self.path)
        loaded = reopened.load()
        assert loaded is not None
        self.assertEqual((loaded.version, plan_rate(loaded)), (7, 7.0))
        self.assertFalse(reopened.save(catalog_at_version(6)), "older than the version in the file")

    def test_a_kill_at_any_moment_leaves_a_complete_file(self) -> None:
        """Guards against a file that is truncated, mixes versions, or is older than the last acknowledged save."""
        last = 0
        for round_number in range(int(os.environ.get("HALLHITCH_SOAK_ROUNDS", "8")) // 4 + 6):
            with subprocess.Popen(
                [sys.executable, "-c", WRITER_LOOP, str(self.path)], cwd=ROOT, text=True, stdout=subprocess.PIPE
            ) as process:
                assert process.stdout is not None
                initial_version = int(process.stdout.readline().split()[1])
                self.assertGreaterEqual(initial_version, last, "every acknowledged version is in the file")
                for _ in range(round_number % 5 + 1):
                    last = int(process.stdout.readline())
                process.send_signal(signal.SIGKILL)
                for line in process.stdout:  # printed before the process was killed
                    last = int(line)
            loaded = CatalogCache(self.path).load()
            assert loaded is not None
            self.assertIn(loaded.version, (last, last + 1))
            self.assertEqual(plan_rate(loaded), float(loaded.version), "the content is that of the version")

    def test_a_damaged_file_is_renamed(self) -> None:
        """Guards against a start from a damaged catalog, and against the loss of the damaged file."""
        good = b"".join(snapshot_lines(catalog_at_version(3)))
        for position in range(0, len(good), 23):
            for damaged in (good[:position], good[:position] + bytes([good[position] ^ 1]) + good[position + 1 :]):
                self.path.write_bytes(damaged)
                loaded = CatalogCache(self.path).load()
                if loaded is None:
                    self.assertFalse(self.path.exists())
                    renamed = next(self.path.parent.glob("catalog.damaged-*"))
                    self.assertEqual(renamed.read_bytes(), damaged)
                    renamed.unlink()
                else:  # only the final newline was missing
                    self.assertEqual(damaged.rstrip(), good.rstrip())

    def test_a_full_disk_keeps_the_earlier_file(self) -> None:
        """Guards against a gateway that loses its saved catalog, or crashes, when the disk is full."""
        CatalogCache(self.path).save(catalog_at_version(4))
        process = subprocess.run(
            [sys.executable, "-c", FULL_DISK_WRITER, str(self.path)], cwd=ROOT, capture_output=True, text=True
        )
        self.assertEqual(process.returncode, 0, process.stderr)
        self.assertIn("False", process.stdout)
        self.assertIn("not saved", process.stdout + process.stderr)
        loaded = CatalogCache(self.path).load()
        assert loaded is not None
        self.assertEqual(plan_rate(loaded), 4.0)
        self.assertEqual([p.name for p in self.path.parent.iterdir()], ["catalog"])

    def test_a_partial_temporary_file_is_removed(self) -> None:
        """Guards against temporary files of a killed writer that accumulate or are loaded."""
        CatalogCache(self.path).save(catalog_at_version(4))
        self.path.with_name("catalog.new").write_bytes(b'{"whole"')
        loaded = CatalogCache(self.path).load()
        assert loaded is not None
        self.assertEqual(loaded.version, 4)
        self.assertFalse(self.path.with_name("catalog.new").exists())
        self.assertEqual(read_snapshot(iter(self.path.read_bytes().splitlines(True))).version, 4)
