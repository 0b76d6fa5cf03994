"""Periodic rounds in which a replica advances its startup and observes its peers.

Owns the interval between rounds: a fraction of the catch-up time, and shorter while the replica is recovering or a
change is expected.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.planes.control.local_replica import LocalReplica
from hallhitch.planes.control.membership_policy import ObservationTiming
from hallhitch.planes.control.replica_startup import ReplicaStartup
from hallhitch.planes.control.state_observer import StateObserver

MAX_BUSY_INTERVAL_MS: Final = 300.0  # between rounds while the replica is recovering or a change is expected
# Fraction of the interval by which each round may come sooner or later, so that replicas which started together do not
# stay synchronized.
JITTER_RATIO: Final = 0.2


class ObservationRounds:
    """Runs one round after another; `timing` may be replaced meanwhile, and applies from the next interval or round."""

    def __init__(
        self,
        replica: LocalReplica,
        startup: ReplicaStartup,
        observer: StateObserver,
        is_change_expected: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self.timing = ObservationTiming.from_catch_up(startup.node.bounds.catch_up_ms)
        self._replica, self._startup, self._observer = replica, startup, observer
        self._is_change_expected, self._rng = is_change_expected, rng
        self._log = ComponentLogger("control")
        self._failure_log = RateLimitedLog(self._log)

    async def run(self) -> None:
        """Run rounds; never returns by itself."""
        while True:
            try:
                await self._run_round()
            except (PeerCallError, TimeoutError) as error:
                self._failure_log.warning(self._replica.clock(), "observation round incomplete", error=error)
            except Exception as error:  # noqa: BLE001  logged here, so that the loop and the process go on
                self._log.exception("observation round failed", error)
            jitter = self._rng.uniform(1.0 - JITTER_RATIO, 1.0 + JITTER_RATIO)
            await asyncio.sleep(self._interval_ms() * jitter / 1000)

    async def _run_round(self) -> None:
        await self._startup.advance()
        await self._observer.observe(self.timing.reply_timeout_ms)
        self._replica.observations.prune(self._replica.proposer.committed_membership, self._replica.clock())

    def _interval_ms(self) -> float:
        if self._replica.acceptor.state.is_recovering or self._is_change_expected():
            return min(MAX_BUSY_INTERVAL_MS, self.timing.round_interval_ms)
        return self.timing.round_interval_ms
