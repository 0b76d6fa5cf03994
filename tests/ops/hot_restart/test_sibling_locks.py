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


def sibling_state(locks: SiblingLocks) -> tuple[bool, bool]:
    """Return whether a sibling is running, and whether it accepts clients."""
    return locks.has_sibling(LockByte.RUNNING), locks.has_sibling(LockByte.SERVING)


class SiblingDetection(unittest.TestCase):
    """Two processes that share a folder."""

    def test_a_sibling_is_detected_until_it_ends_even_if_killed(self) -> None:
        """Guards against a dead process that keeps the connection limit of the running one halved."""
        with tempfile.TemporaryDirectory() as folder:
            locks = SiblingLocks(folder)
            self.addCleanup(locks.close)
            self.assertFalse(locks.has_sibling(LockByte.RUNNING))
            for _ in range(2):  # two siblings, one after the other
                process = subprocess.Popen(
                    [sys.executable, "-c", HOLD_LOCKS, folder], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
                )
                assert process.stdout is not None and process.stdin is not None
                self.assertEqual(process.stdout.readline(), "running\n")
                self.assertEqual(sibling_state(locks), (True, False))
                process.stdin.write("\n")
                process.stdin.flush()
                self.assertEqual(process.stdout.readline(), "serving\n")
                self.assertTrue(locks.has_sibling(LockByte.SERVING))
                process.kill()
                process.wait()
                process.stdout.close()
                process.stdin.close()
                self.assertEqual(sibling_state(locks), (False, False))

    def test_a_process_without_a_usable_folder_detects_no_sibling(self) -> None:
        """Guards against a process that fails to start because the lock file is unavailable."""
        for folder in (None, "/nowhere/at/all", "/proc/self/mem"):
            locks = SiblingLocks(folder)
            locks.announce_serving()
            self.assertFalse(locks.has_sibling(LockByte.RUNNING))
            locks.close()
