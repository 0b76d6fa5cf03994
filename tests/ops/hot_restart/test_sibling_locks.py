"""Detection of another process by its locks."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest

from hallhitch.ops.hot_restart.sibling_locks import LockByte, SiblingLocks

HOLD_LOCKS = """
import sys
from hallhitch.ops.hot_restart.sibling_locks import SiblingLocks
locks = SiblingLocks(sys.argv[1])
print("running", flush=True)
sys.stdin.readline()
locks.announce_serving()
print("serving", flush=True)
sys.stdin.readline()
"""


def held_bytes(locks: SiblingLocks) -> tuple[bool, bool]:
    """Whether a sibling runs, and whether it serves."""
    return locks.has_sibling(LockByte.RUNNING), locks.has_sibling(LockByte.SERVING)


class SiblingDetection(unittest.TestCase):
    """Two processes with one folder."""

    def test_a_sibling_is_detected_until_it_ends_even_if_killed(self) -> None:
        """Guards against a dead process that halves the living one's budget for good."""
        with tempfile.TemporaryDirectory() as folder:
            locks = SiblingLocks(folder)
            self.addCleanup(locks.close)
            self.assertFalse(locks.has_sibling(LockByte.RUNNING))
            for _ in range(2):  # one after the other
                process = subprocess.Popen(
                    [sys.executable, "-c", HOLD_LOCKS, folder], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
                )
                assert process.stdout is not None and process.stdin is not None
                self.assertEqual(process.stdout.readline(), "running\n")
                self.assertEqual(held_bytes(locks), (True, False))
                process.stdin.write("\n")
                process.stdin.flush()
                self.assertEqual(process.stdout.readline(), "serving\n")
                self.assertTrue(locks.has_sibling(LockByte.SERVING))
                process.kill()
                process.wait()
                process.stdout.close()
                process.stdin.close()
                self.assertEqual(held_bytes(locks), (False, False))

    def test_a_process_without_a_usable_folder_is_alone(self) -> None:
        """Guards against a start that fails for want of a place to look."""
        for folder in (None, "/nowhere/at/all", "/proc/self/mem"):
            alone = SiblingLocks(folder)
            alone.announce_serving()
            self.assertFalse(alone.has_sibling(LockByte.RUNNING))
            alone.close()
