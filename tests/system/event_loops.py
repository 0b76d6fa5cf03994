"""Types of the `run_test` fixture and the time that a test on an event loop may take."""

from __future__ import annotations

from collections.abc import Callable, Coroutine

TEST_TIMEOUT_S = 20

TestCoroutine = Coroutine[None, None, None]
RunTest = Callable[[TestCoroutine], None]
