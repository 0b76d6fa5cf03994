"""The quota plane of one gateway: message handlers and the loop that sends claims.

The decisions are made by the modules that it calls; this one keeps the claim loop and the claims in flight. Durations
are ms.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from hallhitch.messages.system_pb2 import CountRequest, CountResponse, Envelope
from hallhitch.node.clock import now as steady_now
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.quota import lease_messages
from hallhitch.planes.quota.counter_client import CounterClient, PeerCaller
from hallhitch.planes.quota.lease import LeaseClaim
from hallhitch.planes.quota.lease_client import LeaseClient
from hallhitch.planes.quota.lease_coordinator import INCARNATION_BITS
from hallhitch.planes.quota.limits import QuotaRule, RateLimit, bucket_of
from hallhitch.planes.quota.local_reserve import LocalReserve
from hallhitch.planes.quota.tenant_counter import CountResult, TenantCounter
from hallhitch.planes.values import ClusterConfig, Gateway, LeaseMembership

CLAIM_INTERVAL_MS: Final = 300.0  # a third of a lease, so that two lost claims end no lease
IDLE_CLAIM_INTERVAL_MS: Final = 900.0  # if the claim is only a heartbeat; more than one is sent per lease duration
MIN_CLAIM_GAP_MS: Final = 20.0  # one claim answers the votes of several coordinators that arrive together
CLAIM_TIMEOUT_MS: Final = 700.0  # as long as an acquisition attempt (lease_acquisition.ACQUIRE_TIMEOUT_MS)
MAX_CLAIMS_IN_FLIGHT: Final = 3  # to one coordinator: as many as are sent in CLAIM_TIMEOUT_MS if none gets a response
MAX_RELEASE_CLAIMS: Final = 2  # at shutdown; the response to the first may contain a newer membership or incarnation
RESERVE_CLEANUP_INTERVAL_MS: Final = 20_000.0  # a few windows; frees memory only, no decision depends on it


class QuotaPlane:
    """Holds buckets, counts for other gateways, and provides the counter for this gateway's own requests."""

    def __init__(
        self,
        node: NodeSettings,
        peers: PeerCaller,
        clock: Callable[[], float] = steady_now,
        incarnation: int | None = None,
    ) -> None:
        incarnation = secrets.randbits(INCARNATION_BITS) if incarnation is None else incarnation
        bounds = node.bounds
        quota = QuotaRule(bounds.quota_window_ms, bounds.quota_overshoot_ratio, bounds.quota_slack)
        own_address = node.internal_address
        self._peers = peers
        self._clock = clock
        self._tenant_counter = TenantCounter(quota, incarnation)
        self._lease_client = LeaseClient(
            own_address, incarnation, quota.window_ms, self._tenant_counter.on_lease_acquired
        )
        self._reserve = LocalReserve(quota, clock())
        self.counter = CounterClient(own_address, peers, self, self._reserve, clock)
        self._config_serial = -1
        self._log = ComponentLogger("quota")
        self._logged_bucket_count = 0
        self._claim_at_once = asyncio.Event()
        self._claim_loop: asyncio.Task[None] | None = None
        self._claim_tasks: set[asyncio.Task[None]] = set()
        self._claims_in_flight: dict[str, int] = {}  # by coordinator

    def set_config(self, config: ClusterConfig) -> None:
        """Set the cluster configuration; one that is older than the current one is ignored."""
        if config.serial < self._config_serial:
            return
        self._config_serial = config.serial
        self._tenant_counter.set_tenants(self._clock(), config.tenants, config.max_gateways)
        self._reserve.set_max_gateways(config.max_gateways)

    def set_gateways(self, gateways: Sequence[Gateway]) -> None:
        """Set the live processes; those with a frontend are gateways."""
        serving = [gateway for gateway in gateways if gateway.serves_clients]
        now = self._clock()
        self._reserve.observe_gateways(now, len(serving), is_quorum=False)
        candidates = [gateway.address for gateway in serving if gateway.is_available]
        self._lease_client.set_gateways(now, candidates)
        self._claim_at_once.set()

    def set_holders(self, holders: Mapping[int, str]) -> None:
        """Set the internal address of each bucket's holder, as reported by the coordinators."""
        self.counter.set_holders(holders)
        self._lease_client.set_holders(self._clock(), holders)

    def set_membership(self, membership: LeaseMembership) -> None:
        """Set the coordinators whose votes on leases are counted."""
        if self._lease_client.set_membership(self._clock(), membership):
            self._claim_at_once.set()

    async def start(self) -> None:
        """Start claiming leases."""
        self._claim_loop = asyncio.create_task(self._run_claim_loop())

    async def release_all(self) -> None:
        """Stop counting and release all buckets; `counter` continues to call other gateways."""
        self._lease_client.release_all(self._clock())
        if self._claim_loop is not None:
            self._claim_loop.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._claim_loop
            self._claim_loop = None
        for _ in range(MAX_RELEASE_CLAIMS):
            self._claim_at_once.clear()
            claim = self._next_claim()
            if not claim.is_heartbeat:
                await asyncio.gather(*(self._send_claim(voter, claim) for voter in self._lease_client.voters))
            if not self._claim_at_once.is_set():
                break

    def handle(self, envelope: Envelope) -> Envelope:
        """Reply to a `count_request` with a `count_response`."""
        return Envelope(count_response=self._count_for_peer(envelope.count_request))

    def count(self, tenant: str, limit: RateLimit) -> CountResult | None:
        """Count one unit for a request at this gateway; see counter_client.LocalCounter."""
        now = self._clock()
        if not self._lease_client.is_holder(now, bucket_of(tenant)):
            return None
        return self._tenant_counter.add(now, tenant, 1, self._tenant_counter.configured_limit(tenant) or limit)

    def refund(self, tenant: str, slot: int) -> None:
        """Refund the unit of a request at this gateway that never ran; see counter_client.LocalCounter."""
        now = self._clock()
        if self._lease_client.is_holder(now, bucket_of(tenant)):
            self._tenant_counter.refund(now, tenant, 1, slot)

    def held_buckets(self) -> list[int]:
        """Return the buckets that this gateway holds now."""
        return self._lease_client.held_buckets(self._clock())

    def _count_for_peer(self, request: CountRequest) -> CountResponse:
        now, tenant = self._clock(), request.tenant
        if not self._lease_client.is_holder(now, bucket_of(tenant)):
            return CountResponse()
        if request.units < 0:
            self._tenant_counter.refund(now, tenant, -request.units, request.slot)
            return CountResponse(is_lease_holder=True)
        limit = self._tenant_counter.configured_limit(tenant)
        if limit is None and request.rate_per_s > 0:
            limit = RateLimit(request.rate_per_s, request.burst)
        if limit is None:
            return CountResponse(is_lease_holder=True, is_tenant_unknown=True)
        result = self._tenant_counter.add(now, tenant, request.units or 1, limit)
        return CountResponse(
            is_lease_holder=True,
            is_over_limit=result.is_over_limit,
            total=int(result.total),
            retry_after_ms=int(result.retry_after_ms),
            slot=result.slot,
            is_over_share=result.is_over_share,
        )

    def _next_claim(self) -> LeaseClaim:
        return self._lease_client.next_claim(self._clock(), self._tenant_counter)

    async def _run_claim_loop(self) -> None:
        """Send claims at intervals, and immediately when a response or an update requires it."""
        reserve_cleanup_at = self._clock() + RESERVE_CLEANUP_INTERVAL_MS
        while True:
            self._claim_at_once.clear()
            now = self._clock()
            claim = self._next_claim()
            for voter in self._lease_client.voters:
                if self._claims_in_flight.get(voter, 0) < MAX_CLAIMS_IN_FLIGHT:
                    task = asyncio.create_task(self._send_claim(voter, claim))
                    self._claim_tasks.add(task)
                    task.add_done_callback(self._claim_tasks.discard)
            if now >= reserve_cleanup_at:
                reserve_cleanup_at = now + RESERVE_CLEANUP_INTERVAL_MS
                self._reserve.drop_expired(now)
            self._log_bucket_count(len(claim.renew))
            await asyncio.sleep(MIN_CLAIM_GAP_MS / 1000)
            interval_ms = IDLE_CLAIM_INTERVAL_MS if claim.is_heartbeat else CLAIM_INTERVAL_MS
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_ms / 1000):
                    await self._claim_at_once.wait()

    async def _send_claim(self, voter: str, claim: LeaseClaim) -> None:
        """Send one claim to one coordinator; if it does not respond, the next claim follows anyway."""
        request = lease_messages.encode_claim(claim, self._lease_client.coordinator_incarnation(voter))
        self._claims_in_flight[voter] = self._claims_in_flight.get(voter, 0) + 1
        try:
            reply = await self._peers.call(voter, Envelope(lease_request=request), CLAIM_TIMEOUT_MS)
        except PeerCallError:
            return
        finally:
            self._claims_in_flight[voter] -= 1
        now = self._clock()
        votes = lease_messages.decode_votes(reply.lease_response)
        if self._lease_client.on_votes(now, voter, claim.sequence, votes):
            self._claim_at_once.set()
        self._reserve.observe_gateways(now, self._lease_client.gateways_seen, is_quorum=True)

    def _log_bucket_count(self, buckets: int) -> None:
        if buckets != self._logged_bucket_count:
            self._log.info("held buckets changed", buckets=buckets)
            self._logged_bucket_count = buckets
