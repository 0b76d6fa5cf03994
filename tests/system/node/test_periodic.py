"""Periodic work: its interval, and that it continues after a failed round."""

from __future__ import annotations

import asyncio

from hallhitch.node.periodic import run_periodically
from tests.system.distribution.simulated_peers import SimulatedPeers, run_in_virtual_time


def test_work_continues_after_a_failed_round() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        rounds: list[float] = []

        async def step() -> None:
            rounds.append(peers.clock())
            if len(rounds) % 2:
                raise RuntimeError("a fault")

        task = asyncio.ensure_future(run_periodically("test", 50.0, step, peers.clock))
        await asyncio.sleep(0.27)
        assert not task.done() and [round(at) for at in rounds] == [50, 100, 150, 200, 250]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert task.cancelled()

    run_in_virtual_time(scenario)
