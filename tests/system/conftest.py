"""Fixtures of the system's tests: an event loop of each kind for tests with sockets, and the lines of the log."""

import asyncio

import pytest
import uvloop

from hallhitch.node.logs import ComponentLogger, format_fields
from tests.system.event_loops import TEST_TIMEOUT_S, RunTest, TestCoroutine


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def run_test(request: pytest.FixtureRequest) -> RunTest:
    """Run a coroutine on an event loop of asyncio and on one of uvloop."""

    def run(test: TestCoroutine) -> None:
        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(asyncio.wait_for(test, TEST_TIMEOUT_S))

    return run


@pytest.fixture
def logged_lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Collect logged warnings and errors; each line is the event and its fields."""
    lines: list[str] = []
    for level in ("warning", "error"):
        monkeypatch.setattr(
            ComponentLogger, level, lambda _, event, **fields: lines.append(event + format_fields(fields))
        )
    return lines
