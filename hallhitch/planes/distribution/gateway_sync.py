"""Synchronizes a gateway's soft state with the cluster: selects the peers to pull from, and when to pull.

A gateway long-polls one coordinator: the first in its rendezvous order with a valid serving lease. If no coordinator
replies, it pulls from a few other gateways.

Invariants:
- If a reply is late, the next coordinator is tried in parallel, and the late reply is still applied (`peer_requests`).
  So a slow link does not cause state to be fetched twice.
- A silent peer never delays a request to one that replies: silent ones are asked last, and requests in flight to peers
  that have not replied for a contact window do not count as parallel ones, as they occupy no link.
- The first configuration comes from a coordinator with a valid serving lease, or is the newest of those that several
  gateways use. After that the serial only increases, whichever peer replies.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from hallhitch.messages.system_pb2 import StateUpdate
from hallhitch.node.logs import ComponentLogger
from hallhitch.node.metrics import Metric, MetricKind
from hallhitch.planes.distribution.peer_order import rendezvous_order
from hallhitch.planes.distribution.peer_replica import HOLD_MS, PeerReplica
from hallhitch.planes.distribution.peer_requests import PeerRequests
from hallhitch.planes.distribution.ports import SyncContext
from hallhitch.planes.distribution.state_hub import NEVER

STARTUP_WAIT_MS: Final = 800.0  # after the start of the process, for the replies of the seeds
RETRY_PAUSE_MS: Final = 100.0  # after no peer has replied
# While a gateway pulls from other gateways: time-out of a probe that checks whether a coordinator replies again.
COORDINATOR_PROBE_MS: Final = 350.0
MAX_PROBED_COORDINATORS: Final = 3  # at a time
MAX_PEER_GATEWAYS: Final = 3  # from which a gateway pulls if no coordinator replies
COORDINATOR_RECHECK_MS: Final = 3000.0  # after which a gateway that pulls from gateways tries all coordinators again
BOOTSTRAP_PULLS: Final = 2  # from gateways, by a process without state: first the configuration, then everything else
MAX_PARALLEL_REQUESTS: Final = 3
REPLY_TIMEOUT_RATIO: Final = 0.2  # of configApply; if a reply takes longer, the next coordinator is tried in parallel


@dataclass(frozen=True, slots=True)
class _Reply:
    replica: PeerReplica
    requested_at: float
    update: StateUpdate


class GatewaySync:
    """Pulls the soft state of the cluster into the hub of one gateway.

    `start` creates the task that pulls; `stop` cancels it and the requests in flight.
    """

    def __init__(self, context: SyncContext, seeds: Sequence[str]) -> None:
        self._hub, self._own_entry = context.hub, context.own_entry
        self._clock, self._bounds = context.clock, context.bounds
        self._seeds = tuple(seeds)
        self._log = ComponentLogger("distribution")
        self._task: asyncio.Task[None] | None = None
        self._requests = PeerRequests(context)
        self._awaited_address = ""  # address of the peer whose reply `_run` waits for
        self._pull_counts: Counter[str] = Counter()  # of pulls from coordinators, by result
        self.is_startup_complete = False  # True once a majority of the seeds has replied or STARTUP_WAIT_MS have passed

    def start(self) -> None:
        """Start pulling."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Cancel the pulls."""
        if self._task is not None:
            self._task.cancel()
        self._requests.cancel_all()

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the addresses of the seeds."""
        self._seeds = tuple(seeds)

    def coordinators(self) -> list[str]:
        """Return the addresses of all known coordinators, in order of preference.

        Those that have not replied, or are silent now, come last, and first the one that was asked longest ago.
        """
        known = {*self._seeds, *self._hub.coordinators, *self._hub.members}
        return sorted(rendezvous_order(self._own_entry().name, known), key=self._responsiveness)

    def _responsiveness(self, address: str) -> tuple[bool, float]:
        """Return the sort key of a coordinator: equal for all that reply, so that these keep their order."""
        replica = self._requests.replica(address)
        is_responsive = replica.replied_at > NEVER and not replica.is_silent
        return not is_responsive, NEVER if is_responsive else replica.requested_at

    def publish_self(self) -> None:
        """Send this gateway's changed entry now instead of with the next request, by cancelling the awaited request."""
        self._requests.cancel(self._awaited_address)

    def metrics(self) -> list[Metric]:
        """Return the pulls from coordinators, by result."""
        pulls = {result: float(count) for result, count in self._pull_counts.items()}
        return [Metric("state_pulls_total", MetricKind.COUNTER, "Pulls from coordinators, by result.", pulls, "result")]

    async def _run(self) -> None:
        await self._pull_from_seeds()
        self.is_startup_complete = True
        self._hub.notify()
        while True:
            try:
                if not await self._follow_coordinators(self.coordinators()):
                    await self._pull_from_gateways()
            except Exception as error:  # noqa: BLE001  # a failed pull must not stop the loop
                self._log.exception("state pull failed", error)
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    # Selection of peers.

    async def _pull_from_seeds(self) -> None:
        """Pull the newest configuration from the seeds, until a majority has replied or STARTUP_WAIT_MS are over."""
        deadline = self._clock() + STARTUP_WAIT_MS
        requests = {
            self._requests.send(self._requests.replica(address), 0.0, updates_view=False) for address in self._seeds
        }
        await self._wait_for_replies(requests, len(requests) // 2 + 1, deadline)

    async def _follow_coordinators(self, addresses: Sequence[str]) -> bool:
        """Pull from the first coordinator with a serving lease while that is valid; return False if none replied."""
        without_lease: list[PeerReplica] = []
        for address in addresses:
            replica = self._requests.replica(address)
            if not self._requests.is_in_flight(address) and self._requests.parallel_count() >= MAX_PARALLEL_REQUESTS:
                continue
            hold_ms = 0.0
            while await self._pull(replica, hold_ms):
                hold_ms = HOLD_MS
                if replica.is_lease_expired:
                    without_lease.append(replica)
                    break
        if not without_lease:
            return False
        return await self._follow_without_lease(without_lease)

    async def _follow_without_lease(self, replicas: Iterable[PeerReplica]) -> bool:
        """Pull once from the coordinator whose lease expired last; return whether it replied."""
        has_reply = await self._pull(max(replicas, key=lambda replica: replica.quorum_contact_at), HOLD_MS)
        if not self._hub.config.serial or not len(self._hub.backends):
            # A coordinator without a lease gives no first configuration, but the gateways that it knows may have the
            # current one.
            for _ in range(BOOTSTRAP_PULLS):
                await self._pull_newest(self._peer_gateways(), 0.0)
        return has_reply

    async def _pull_from_gateways(self) -> None:
        """Pull from gateways until a coordinator replies or it is time to try all coordinators again."""
        gateways = self._peer_gateways()
        deadline, hold_ms = self._clock() + COORDINATOR_RECHECK_MS, 0.0
        while gateways and self._clock() < deadline:
            if not await self._pull_newest(gateways, hold_ms) or await self._has_coordinator_reply():
                return
            hold_ms = HOLD_MS

    async def _has_coordinator_reply(self) -> bool:
        """Return whether one of the preferred coordinators replies in time."""
        addresses = self.coordinators()[:MAX_PROBED_COORDINATORS]
        requests = {
            self._requests.send(self._requests.replica(address), 0.0, updates_view=True) for address in addresses
        }
        return await self._wait_for_replies(requests, 1, self._clock() + COORDINATOR_PROBE_MS)

    async def _wait_for_replies(self, requests: set[asyncio.Task[bool]], needed: int, deadline: float) -> bool:
        """Wait until `needed` requests have received a reply; return whether that happened before the deadline."""
        pending, replies = set(requests), 0
        while pending and replies < needed:
            remaining_ms = deadline - self._clock()
            if remaining_ms <= 0:
                break
            done, pending = await asyncio.wait(
                pending, timeout=remaining_ms / 1000, return_when=asyncio.FIRST_COMPLETED
            )
            replies += sum(_has_reply(request) for request in done)
        return replies >= needed

    def _peer_gateways(self) -> list[PeerReplica]:
        """Return the gateways that this one pulls from, in order of preference."""
        name = self._own_entry().name
        addresses = {
            gateway.name: gateway.address
            for gateway in self._hub.gateways.values()
            if gateway.serves_clients and gateway.name != name
        }
        preferred = rendezvous_order(name, addresses)[:MAX_PEER_GATEWAYS]
        return [self._requests.replica(addresses[peer], is_coordinator=False) for peer in preferred]

    def _reply_timeout_ms(self, replica: PeerReplica) -> float:
        return replica.reply_timeout_ms(REPLY_TIMEOUT_RATIO * self._bounds.config_apply_ms)

    # Requests and replies.

    async def _pull(self, replica: PeerReplica, hold_ms: float) -> bool:
        """Wait for the request to this peer in flight, or for a new one; return whether it had a timely reply.

        A request that `publish_self` cancelled counts as having had a reply.
        """
        self._awaited_address = replica.address
        request = self._requests.send(replica, hold_ms, updates_view=True)
        await asyncio.wait({request}, timeout=(hold_ms + self._reply_timeout_ms(replica)) / 1000)
        has_reply = request.done() and (request.cancelled() or request.result())
        replica.is_silent = not has_reply
        self._pull_counts["reply" if has_reply else "failed" if request.done() else "overdue"] += 1
        return has_reply

    async def _pull_newest(self, replicas: Iterable[PeerReplica], hold_ms: float) -> bool:
        """Pull from several gateways and apply the newest configuration first, so that no older one takes effect.

        Return whether any of them replied.
        """
        requests = [
            (replica, self._clock(), self._requests.fetch(replica, hold_ms, self._reply_timeout_ms(replica)))
            for replica in replicas
        ]
        updates = await asyncio.gather(*(fetch for _, _, fetch in requests))
        replies = [
            _Reply(replica, requested_at, update)
            for (replica, requested_at, _), update in zip(requests, updates, strict=True)
            if update is not None
        ]
        replies.sort(key=lambda reply: reply.update.config.serial, reverse=True)
        for reply in replies:
            self._requests.apply(reply.replica, reply.update, reply.requested_at, updates_view=False)
        return bool(replies)


def _has_reply(request: asyncio.Task[bool]) -> bool:
    """Return whether a completed request had a reply."""
    return not request.cancelled() and request.result()
