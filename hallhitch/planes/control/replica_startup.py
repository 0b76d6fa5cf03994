"""How a replica gets its state when it starts: from its disk, by bootstrapping a cluster, or by recovery from peers.

Owns the task that reads the disk. Invariants:

- A new cluster is bootstrapped only on an empty data directory at a first start, or if the settings name this machine
  as the only seed, or if a first start was interrupted before any member had voted.
- A replica recovers its state from peers only after its disk is known to hold none.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.control.local_replica import LocalReplica
from hallhitch.planes.control.state_recovery import StateRecovery

LOAD_TIMEOUT_MS: Final = 500.0  # the start waits this long for the disk; the read then continues in the background
# For this time after its start, a coordinator waits for others before it bootstraps a cluster alone, and it delays
# orders while there are fewer replicas than needed for the tolerated losses.
STARTUP_GRACE_PERIOD_MS: Final = 3000.0


class ReplicaStartup:
    """Loads, bootstraps or recovers the state of one replica."""

    def __init__(
        self,
        node: NodeSettings,
        replica: LocalReplica,
        recovery: StateRecovery,
        known_peers: Callable[[], frozenset[str]],
    ) -> None:
        self.node = node
        self._replica, self._recovery, self._known_peers = replica, recovery, known_peers
        self._is_loaded = False
        self._loading: asyncio.Task[None] | None = None
        self._started_at_ms = replica.clock()
        self._log = ComponentLogger("control")
        self._disk_log = RateLimitedLog(self._log)

    @property
    def is_in_startup_grace_period(self) -> bool:
        """Whether this process started so recently that other coordinators may still be starting."""
        return self._replica.clock() - self._started_at_ms < STARTUP_GRACE_PERIOD_MS

    async def start(self, now_ms: float) -> None:
        """Begin to read the disk and wait up to LOAD_TIMEOUT_MS for it."""
        self._started_at_ms = now_ms
        await self._load_within_timeout()

    def stop(self) -> None:
        """Cancel the task that reads the disk."""
        if self._loading is not None:
            self._loading.cancel()

    async def advance(self) -> None:
        """Do one round: retry a failed read of the disk, and bootstrap or recover while there is no state."""
        if not self._is_loaded and (self._loading is None or self._loading.done()):
            await self._load_within_timeout()
        if self._replica.acceptor.state.is_recovering:
            await self._bootstrap_or_recover()

    async def _load_within_timeout(self) -> None:
        self._loading = asyncio.ensure_future(self._load())
        await asyncio.wait([self._loading], timeout=LOAD_TIMEOUT_MS / 1000)

    async def _load(self) -> None:
        try:
            loaded = await self._replica.acceptor.load()
        except OSError as error:
            self._disk_log.warning(self._replica.clock(), "data directory cannot be read", error=error)
            return
        if loaded is None:
            self._log.warning("no data directory configured")
        elif loaded.state is None:
            if loaded.is_empty and self._is_bootstrap_member:
                # Loaded only after the bootstrap: otherwise a round would try to recover a state that never existed.
                self._is_loaded = await self._recovery.bootstrap_cluster(self.node.seed_addresses)
                return
            self._log.warning("no usable state on disk, recovering it from peers")
        self._is_loaded = True

    @property
    def _is_bootstrap_member(self) -> bool:
        return self.node.is_first_start and self._replica.address in self.node.seed_addresses

    async def _bootstrap_or_recover(self) -> None:
        if not self._is_loaded or not self._replica.acceptor.has_storage:
            return
        is_alone = not self._known_peers() and self._replica.clock() - self._started_at_ms > STARTUP_GRACE_PERIOD_MS
        if is_alone and self._may_bootstrap_alone():
            await self._recovery.bootstrap_single_member()
            return
        # Within the grace period, others may still report that they have voted.
        may_bootstrap = not self.is_in_startup_grace_period
        await self._recovery.recover(self.node.seed_addresses, may_bootstrap=may_bootstrap)

    def _may_bootstrap_alone(self) -> bool:
        """Return whether this machine is the only seed, or this is a first start on an empty disk without any seed."""
        if self.node.seed_addresses == (self._replica.address,):
            return True
        is_disk_empty = self._replica.acceptor.state.is_disk_empty
        return self.node.is_first_start and is_disk_empty and not self.node.seed_addresses
