"""The quota counter that the data plane calls: it takes one unit per request from the holder or the local reserve.

It also tracks, for each holder that it calls, the round-trip time and whether the holder responds.

Invariants:
- No request is admitted unless a holder or the local reserve has counted it.
- A failed call leads to a decision, not to an error.
- The count may be too high but never too low: a unit whose call got no response may have been counted.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol

from hallhitch.messages.system_pb2 import CountRequest, CountResponse, Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.node.round_trip import RoundTripEstimate
from hallhitch.planes.quota.limits import RateLimit, bucket_of
from hallhitch.planes.quota.local_reserve import LocalReserve
from hallhitch.planes.quota.tenant_counter import CountResult
from hallhitch.planes.values import QuotaDecision, Tenant

# Time-out of a refund, and of a call to a holder whose round-trip time is not known yet.
INITIAL_CALL_TIMEOUT_MS: Final = 800.0
# Minimum time-out of a call. A call that failed with less time than this does not count against its holder.
MIN_CALL_TIMEOUT_MS: Final = 200.0
# Added to the upper bound of the round-trip time.
CALL_TIMEOUT_SLACK_MS: Final = 50.0
# How long a holder that did not respond is not called; after that, one trial call at a time is made (as in a half-open
# circuit breaker).
HOLDER_BACKOFF_MS: Final = 300.0
# How long no calls are made for a bucket after its presumed holder replied that it does not hold the bucket.
NOT_HOLDER_BACKOFF_MS: Final = 200.0
# Retry delay for a client whose request neither a holder nor the reserve could count.
UNAVAILABLE_RETRY_MS: Final = 400.0
# Minimum retry delay for a tenant over its limit. Its capacity becomes free one unit at a time and many requests wait
# for it, so a client that retries at once is usually rejected again.
MIN_RETRY_AFTER_MS: Final = 250.0

UNLIMITED: Final = QuotaDecision(is_admitted=True)


class PeerCaller(Protocol):
    """Makes calls to other processes; see messages.peer_links.PeerLinks."""

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Return a peer's reply.

        Raises:
            PeerCallError: the peer did not reply.
        """


class LocalCounter(Protocol):
    """Counts for the buckets that this gateway holds itself."""

    def count(self, tenant: str, limit: RateLimit) -> CountResult | None:
        """Count one unit; return None if this gateway does not hold the tenant's bucket."""

    def refund(self, tenant: str, slot: int) -> None:
        """Return a unit whose request never ran."""


@dataclass(slots=True)
class _HolderContact:
    """The round-trip time and the responsiveness of one holder, as this gateway observes them."""

    # Measured separately from the link's own round-trip time, because long replies on a link delay short ones.
    round_trip: RoundTripEstimate = field(default_factory=RoundTripEstimate)
    last_response_at: float = float("-inf")
    backoff_until: float = 0.0  # 0 = the holder responded to the last call
    is_trial_running: bool = False

    @property
    def is_unresponsive(self) -> bool:
        """Whether the holder failed to respond to the last call."""
        return self.backoff_until > 0

    def can_call(self, now: float) -> bool:
        """Return whether to call the holder: always while it responds, else one call at a time after the backoff."""
        is_trial_due = not self.is_trial_running and now >= self.backoff_until
        return is_trial_due or not self.is_unresponsive

    def call_timeout_ms(self) -> float:
        """Return a time-out within which nearly every response arrives."""
        if not self.round_trip.has_samples:
            return INITIAL_CALL_TIMEOUT_MS
        return max(
            MIN_CALL_TIMEOUT_MS, self.round_trip.mean_ms + self.round_trip.upper_bound_ms() + CALL_TIMEOUT_SLACK_MS
        )

    def record_response(self, called_at: float, responded_at: float) -> None:
        """Record that the holder responded to a call."""
        self.backoff_until = 0.0
        self.last_response_at = responded_at
        self.round_trip.observe(responded_at - called_at)

    def record_failure(self, called_at: float, failed_at: float, timeout_ms: float) -> None:
        """Record that the holder did not respond within the time that the request had left."""
        had_enough_time = timeout_ms >= MIN_CALL_TIMEOUT_MS
        has_responded_since = self.last_response_at > called_at
        if had_enough_time and not has_responded_since:
            self.backoff_until = failed_at + HOLDER_BACKOFF_MS
        self.round_trip.observe(failed_at - called_at)


@dataclass(frozen=True, slots=True)
class _HolderToken:
    """Identifies a unit that a holder counted, for its refund."""

    tenant: str
    holder: str
    slot: int


@dataclass(frozen=True, slots=True)
class _ReserveToken:
    """Identifies a unit of the local reserve, for its refund."""

    tenant: str
    slot: int


@dataclass(frozen=True, slots=True)
class _UnitRequest:
    """A request for one unit of a tenant's quota, with the time that it may take."""

    tenant: str
    limit: RateLimit
    requested_at: float
    timeout_ms: float


class CounterClient:
    """The quota counter of one gateway (planes.data.interfaces.QuotaCounter)."""

    def __init__(
        self,
        own_address: str,
        peers: PeerCaller,
        local_counter: LocalCounter,
        reserve: LocalReserve,
        clock: Callable[[], float],
    ) -> None:
        self._own_address = own_address
        self._peers = peers
        self._local_counter = local_counter
        self._reserve = reserve
        self._clock = clock
        self._holders: Mapping[int, str] = {}
        self._contacts: dict[str, _HolderContact] = {}
        self._not_holder_until: dict[int, float] = {}  # by bucket; applies to the holder in `_holders`
        self._refund_tasks: set[asyncio.Task[None]] = set()

    def set_holders(self, holders: Mapping[int, str]) -> None:
        """Set the internal address of each bucket's holder."""
        self._not_holder_until = {
            bucket: until
            for bucket, until in self._not_holder_until.items()
            if holders.get(bucket) == self._holders.get(bucket)
        }
        self._holders = dict(holders)
        addresses = set(holders.values())
        self._contacts = {address: contact for address, contact in self._contacts.items() if address in addresses}

    async def admit(self, tenant: Tenant, timeout_ms: float) -> QuotaDecision:
        """Count one unit and return the decision within the time-out; see planes.data.interfaces.QuotaCounter."""
        if tenant.rate_per_s <= 0:
            return UNLIMITED
        now = self._clock()
        request = _UnitRequest(tenant.name, RateLimit(tenant.rate_per_s, tenant.burst), now, timeout_ms)
        local_result = self._local_counter.count(request.tenant, request.limit)
        if local_result is not None:
            return self._decide(now, request, self._own_address, local_result)
        bucket = bucket_of(request.tenant)
        holder = self._holders.get(bucket, self._own_address)
        is_holder_known = holder != self._own_address and now >= self._not_holder_until.get(bucket, 0.0)
        if not is_holder_known:
            return self._take_from_reserve(now, request)
        contact = self._contacts.get(holder)
        if contact is None:
            contact = self._contacts[holder] = _HolderContact()
        if not contact.can_call(now):
            return self._take_from_reserve(now, request)
        return await self._ask_holder(holder, contact, request)

    def refund(self, decision: QuotaDecision) -> None:
        """Refund the unit of a request that certainly never ran, if its lease still exists.

        Does not wait for the refund to complete.
        """
        token = decision.refund_token
        if isinstance(token, _ReserveToken):
            self._reserve.refund(token.tenant, token.slot)
        elif isinstance(token, _HolderToken) and token.holder == self._own_address:
            self._local_counter.refund(token.tenant, token.slot)
        elif isinstance(token, _HolderToken):
            task = asyncio.create_task(self._refund_at_holder(token))
            self._refund_tasks.add(task)
            task.add_done_callback(self._refund_tasks.discard)

    async def _ask_holder(self, holder: str, contact: _HolderContact, request: _UnitRequest) -> QuotaDecision:
        """Return the holder's decision, or the reserve's if the holder does not respond or cannot count."""
        contact.is_trial_running = contact.is_unresponsive
        try:
            response = await self._count_at_holder(holder, contact, request)
        except PeerCallError:
            failed_at = self._clock()
            contact.record_failure(request.requested_at, failed_at, request.timeout_ms)
            return self._take_from_reserve(failed_at, request)
        finally:
            contact.is_trial_running = False
        responded_at = self._clock()
        if not response.is_lease_holder:
            self._not_holder_until[bucket_of(request.tenant)] = responded_at + NOT_HOLDER_BACKOFF_MS
            return self._take_from_reserve(responded_at, request)
        if response.is_tenant_unknown:
            return self._take_from_reserve(responded_at, request)
        result = CountResult(
            is_over_limit=response.is_over_limit,
            total=response.total,
            slot=response.slot,
            retry_after_ms=response.retry_after_ms,
            is_over_share=response.is_over_share,
        )
        return self._decide(responded_at, request, holder, result)

    async def _count_at_holder(self, holder: str, contact: _HolderContact, request: _UnitRequest) -> CountResponse:
        """Count one unit at a holder; send the tenant's limit if the holder does not know it.

        Raises:
            PeerCallError: the holder did not respond.
        """
        call_timeout_ms = min(request.timeout_ms, contact.call_timeout_ms())
        response = await self._call(holder, CountRequest(tenant=request.tenant), call_timeout_ms)
        responded_at = self._clock()
        contact.record_response(request.requested_at, responded_at)
        elapsed_ms = responded_at - request.requested_at
        if not response.is_tenant_unknown or elapsed_ms >= request.timeout_ms:
            return response
        limit = request.limit
        with_limit = CountRequest(tenant=request.tenant, rate_per_s=limit.rate_per_s, burst=limit.burst)
        return await self._call(holder, with_limit, min(call_timeout_ms, request.timeout_ms - elapsed_ms))

    async def _refund_at_holder(self, token: _HolderToken) -> None:
        refund = CountRequest(tenant=token.tenant, units=-1, slot=token.slot)
        with contextlib.suppress(PeerCallError):  # the unit then expires with the window
            await self._call(token.holder, refund, INITIAL_CALL_TIMEOUT_MS)

    async def _call(self, holder: str, request: CountRequest, timeout_ms: float) -> CountResponse:
        reply = await self._peers.call(holder, Envelope(count_request=request), timeout_ms)
        return reply.count_response

    def _decide(self, now: float, request: _UnitRequest, holder: str, result: CountResult) -> QuotaDecision:
        """Return the decision for a request by the result of a holder's count."""
        if not result.is_over_limit:
            return QuotaDecision(True, refund_token=_HolderToken(request.tenant, holder, result.slot))
        if result.is_over_share:
            # The reserve is counted separately from the holder's share, and the tenant is within its limit.
            slot = self._reserve.take(now, request.tenant, request.limit)
            if slot is not None:
                return QuotaDecision(True, refund_token=_ReserveToken(request.tenant, slot))
        return QuotaDecision(False, retry_after_ms=max(result.retry_after_ms, MIN_RETRY_AFTER_MS))

    def _take_from_reserve(self, now: float, request: _UnitRequest) -> QuotaDecision:
        """Return a decision by the local reserve alone, because no holder can be called."""
        slot = self._reserve.take(now, request.tenant, request.limit)
        if slot is None:
            return QuotaDecision(False, retry_after_ms=UNAVAILABLE_RETRY_MS, is_counter_unavailable=True)
        return QuotaDecision(True, refund_token=_ReserveToken(request.tenant, slot))
