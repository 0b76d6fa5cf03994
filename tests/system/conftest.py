"""An event loop of each kind for tests with sockets."""

import asyncio

import pytest
import uvloop

from tests.system.event_loops import TEST_TIMEOUT_S, RunTest, TestCoroutine


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def run_test(request: pytest.FixtureRequest) -> RunTest:
    """Run a coroutine on an event loop of asyncio and on one of uvloop."""

    def run(test: TestCoroutine) -> None:
        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(asyncio.wait_for(test, TEST_TIMEOUT_S))

    return run
