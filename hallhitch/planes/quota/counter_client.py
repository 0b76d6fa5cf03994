"""One unit for one request: asks the tenant's holder, or the gateway's own reserve where nobody answers.

Owns what it knows of each holder as a caller (round trip, silence). Never passes a request unchecked, and never
raises: what was asked and not answered may have been counted, which only counts too much.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from hallhitch.messages.system_pb2 import CountRequest, Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.node.round_trip import RoundTripEstimate
from hallhitch.planes.quota.holder import Sum
from hallhitch.planes.quota.limits import bucket_of
from hallhitch.planes.quota.local_reserve import LocalReserve
from hallhitch.planes.values import QuotaDecision, Tenant

FIRST, SHORTEST = 800.0, 200.0  # ms that a holder is waited for: where its time is not known yet, and at least
AWAY = 300.0  # ms for which a silent holder is not asked again, but by one call
ELSEWHERE = 200.0  # ms for which one that said that it does not hold a bucket is not asked about it
COME_BACK = 400.0  # ms after which a request may return that nobody could be asked about
PRESSED = 250.0  # ms after which one may return at the soonest that was over a limit
PASSED = QuotaDecision(True)


class Calls(Protocol):
    """What is used of messages.peer_links.PeerLinks."""

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """See PeerLinks.call."""


class Local(Protocol):
    """The counts of this very gateway."""

    def count(self, tenant: str, rate: float, burst: float) -> Sum | None:
        """One unit, or None where this gateway does not hold the tenant's bucket."""

    def give_back(self, tenant: str, slot: int) -> None:
        """A unit that never ran."""


@dataclass(slots=True)
class _Peer:
    """A holder as its callers see it."""

    # Links that carry long answers hold short ones up.
    trip: RoundTripEstimate = field(default_factory=RoundTripEstimate)
    heard: float = float("-inf")
    away_until: float = 0.0
    trying: bool = False


@dataclass(frozen=True, slots=True)
class _Token:
    """Where a unit was counted: `address` of the holder, "" for our own reserve."""

    tenant: str
    address: str
    slot: int


class CounterClient:
    """The counter as the data plane sees it (ports.Counter)."""

    def __init__(self, own: str, calls: Calls, local: Local, reserve: LocalReserve, clock: Callable[[], float]) -> None:
        self._own, self._calls, self._local, self._allowance, self._clock = own, calls, local, reserve, clock
        self._holders: Mapping[int, str] = {}
        self._peers: dict[str, _Peer] = {}
        self._elsewhere: dict[int, float] = {}  # bucket -> until when its holder is not asked about it
        self._tasks: set[asyncio.Task[None]] = set()

    def set_holders(self, holders: Mapping[int, str]) -> None:
        """Bucket -> internal address of who holds it."""
        self._elsewhere = {
            bucket: until
            for bucket, until in self._elsewhere.items()
            if holders.get(bucket) == self._holders.get(bucket)
        }
        self._holders = dict(holders)
        live = set(holders.values())
        self._peers = {address: peer for address, peer in self._peers.items() if address in live}

    async def admit(self, tenant: Tenant, wait: float) -> QuotaDecision:
        """Add one unit and read, within `wait` ms; see ports.Counter."""
        if tenant.rate_per_s <= 0:
            return PASSED
        name, now = tenant.name, self._clock()
        mine = self._local.count(name, tenant.rate_per_s, tenant.burst)
        if mine is not None:
            return self._told(now, tenant, self._own, mine.over, mine.over_share, mine.slot, mine.wait)
        bucket = bucket_of(name)
        address = self._holders.get(bucket, self._own)
        if address == self._own or now < self._elsewhere.get(bucket, 0.0):
            return self._alone(now, tenant)
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = _Peer()
        trial = peer.away_until > 0
        if trial and (peer.trying or now < peer.away_until):
            return self._alone(now, tenant)
        peer.trying = trial
        try:
            most = min(
                wait,
                max(SHORTEST, peer.trip.mean_ms + peer.trip.upper_bound_ms() + 50) if peer.trip.has_samples else FIRST,
            )
            answer = (
                await self._calls.call(address, Envelope(count_request=CountRequest(tenant=name)), most)
            ).count_response
            came = self._clock()
            peer.away_until, peer.heard = 0.0, came
            peer.trip.observe(came - now)
            if answer.is_tenant_unknown and came - now < wait:
                count = CountRequest(tenant=name, rate_per_s=tenant.rate_per_s, burst=tenant.burst)
                left = min(most, wait - (came - now))
                answer = (await self._calls.call(address, Envelope(count_request=count), left)).count_response
                came = self._clock()
        except PeerCallError:
            came = self._clock()
            # Not where little time was left, nor where it answered others meanwhile.
            if wait >= SHORTEST and peer.heard <= now:
                peer.away_until = came + AWAY
            peer.trip.observe(came - now)
            return self._alone(came, tenant)
        finally:
            peer.trying = False
        if not answer.is_lease_holder:
            self._elsewhere[bucket] = came + ELSEWHERE
            return self._alone(came, tenant)
        if answer.is_tenant_unknown:
            return self._alone(came, tenant)
        return self._told(
            came, tenant, address, answer.is_over_limit, answer.is_over_share, answer.slot, answer.retry_after_ms
        )

    def refund(self, taken: QuotaDecision) -> None:
        """A unit that surely never ran goes back, where its name still lives; nobody waits for it."""
        token = taken.refund_token
        if not isinstance(token, _Token):
            return
        if not token.address:
            self._allowance.give_back(self._clock(), token.tenant, token.slot)
        elif token.address == self._own:
            self._local.give_back(token.tenant, token.slot)
        else:
            task = asyncio.ensure_future(self._return(token))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _return(self, token: _Token) -> None:
        with contextlib.suppress(PeerCallError):  # then it leaves with the window
            await self._calls.call(
                token.address,
                Envelope(count_request=CountRequest(tenant=token.tenant, units=-1, slot=token.slot)),
                FIRST,
            )

    def _told(
        self,
        now: float,
        tenant: Tenant,
        address: str,
        over: bool,
        over_share: bool,
        slot: int,
        wait: float,
    ) -> QuotaDecision:
        if not over:
            return QuotaDecision(True, refund_token=_Token(tenant.name, address, slot))
        # The reserve is counted apart from the holder's part, so it may be used where the tenant is inside its limit.
        kept = self._allowance.take(now, tenant.name, tenant.rate_per_s, tenant.burst) if over_share else None
        if kept is not None:
            return QuotaDecision(True, refund_token=_Token(tenant.name, "", kept))
        # Room comes unit by unit, and as many wait for it: whoever comes back at once is refused once more.
        return QuotaDecision(False, retry_after_ms=max(wait, PRESSED))

    def _alone(self, now: float, tenant: Tenant) -> QuotaDecision:
        kept = self._allowance.take(now, tenant.name, tenant.rate_per_s, tenant.burst)
        if kept is None:
            return QuotaDecision(False, retry_after_ms=COME_BACK, is_counter_unavailable=True)
        return QuotaDecision(True, refund_token=_Token(tenant.name, "", kept))
