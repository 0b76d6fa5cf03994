"""The quota plane of one process: a thin loop that sends claims, and handlers. Decides nothing itself."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import Callable, Mapping, Sequence

from hallhitch.messages.system_pb2 import CountResponse, Envelope
from hallhitch.node.clock import now as steady
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.quota import lease_messages
from hallhitch.planes.quota.counter_client import Calls, CounterClient
from hallhitch.planes.quota.holder import LeaseHolder, Sum
from hallhitch.planes.quota.lease import LeaseClaim, LeaseTable
from hallhitch.planes.quota.lease_client import LeaseClient, wanted
from hallhitch.planes.quota.limits import Quota, bucket_of
from hallhitch.planes.quota.local_reserve import LocalReserve
from hallhitch.planes.values import ClusterConfig, Gateway, LeaseMembership

EVERY = 300.0  # ms between two claims of one that holds something
QUIET = 900.0  # and of one that has nothing to say but that it is there
GAP = 20.0  # ms between two claims at least
ANSWER = 700.0  # ms that an answer to a claim is waited for
LEAVING_CLAIMS = 2  # of one that leaves: the first may tell it of a newer membership or incarnation
FORGET = 20_000.0  # ms between two looks at windows that are empty


class LeaseKeeper:
    """A coordinator's side: votes on claims. `incarnation` tells this process's start apart from its others."""

    def __init__(self, clock: Callable[[], float] = steady, incarnation: int | None = None) -> None:
        self._clock = clock
        self._table = LeaseTable(secrets.randbits(48) if incarnation is None else incarnation, clock())

    def set_membership(self, membership: LeaseMembership) -> None:
        """The newest membership that this coordinator has accepted. Without any nothing is voted."""
        self._table.set_membership(self._clock(), membership)

    def handle(self, envelope: Envelope) -> Envelope:
        """A Claim; the answer is Granted."""
        return Envelope(
            lease_response=lease_messages.granted(
                self._table.claim(self._clock(), lease_messages.asked(envelope.lease_request))
            )
        )

    def holders(self, now: float) -> dict[int, str]:
        """Bucket -> internal address, for News.holders."""
        return self._table.holders(now)

    def version(self, now: float) -> int:
        """Grows whenever `holders` changes, leases that end by themselves included."""
        return self._table.sweep(now)


class QuotaPlane:
    """A gateway's side: holds buckets, counts for callers, and is the counter of its own requests."""

    def __init__(
        self, node: NodeSettings, links: Calls, clock: Callable[[], float] = steady, incarnation: int | None = None
    ) -> None:
        incarnation = secrets.randbits(48) if incarnation is None else incarnation
        bounds = node.bounds
        quota = Quota(bounds.quota_window_ms, bounds.quota_overshoot_ratio, bounds.quota_slack)
        self._own, self._links, self._clock = node.internal_address, links, clock
        self._holder = LeaseHolder(quota, incarnation)
        self._lease_client = LeaseClient(self._own, incarnation, quota.window, self._holder.begin)
        self._allowance = LocalReserve(quota, clock())
        self.counter = CounterClient(self._own, links, self, self._allowance, clock)
        self._serial = -1
        self._log = ComponentLogger("quota")
        self._hurry = asyncio.Event()
        self._loop: asyncio.Task[None] | None = None
        self._asking: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._held = 0

    def set_config(self, config: ClusterConfig) -> None:
        """The cluster configuration; an older one than the last is passed over."""
        if config.serial >= self._serial:
            self._serial = config.serial
            self._holder.set_tenants(self._clock(), config.tenants, config.max_gateways)
            self._allowance.note(config.max_gateways)

    def set_gateways(self, own: str, entries: Sequence[Gateway]) -> None:
        """All gateways that live, as last told; `own` is this one's name."""
        doors = [entry for entry in entries if entry.frontend]
        now = self._clock()
        self._allowance.heard(now, len(doors), False)
        self._lease_client.set_gateways(
            now, [entry.address for entry in doors if entry.is_ready and not entry.is_leaving]
        )
        self._hurry.set()

    def set_holders(self, holders: Mapping[int, str]) -> None:
        """Bucket -> internal address, as last told."""
        self.counter.set_holders(holders)
        self._lease_client.set_holders(self._clock(), holders)

    def set_membership(self, membership: LeaseMembership) -> None:
        """Whose votes on leases count, as last told."""
        if self._lease_client.set_membership(self._clock(), membership):
            self._hurry.set()

    async def start(self) -> None:
        """Begin to claim."""
        self._loop = asyncio.ensure_future(self._claims())

    async def leave(self) -> None:
        """Count nothing more, and let all buckets go; the counter still asks others."""
        self._lease_client.leave(self._clock())
        if self._loop is not None:
            self._loop.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._loop
            self._loop = None
        for _ in range(LEAVING_CLAIMS):
            self._hurry.clear()
            asked = self._round()
            if wanted(asked):
                await asyncio.gather(*(self._ask(member, asked) for member in self._lease_client.voters))
            if not self._hurry.is_set():
                break

    def handle(self, envelope: Envelope) -> Envelope:
        """A Count; the answer is Counted."""
        count, now = envelope.count_request, self._clock()
        name = count.tenant
        if not self._lease_client.holds(now, bucket_of(name)):
            return Envelope(count_response=CountResponse())
        if count.units < 0:
            self._holder.give_back(now, name, -count.units, count.slot)
            return Envelope(count_response=CountResponse(is_lease_holder=True))
        limits = self._holder.limits(name) or ((count.rate_per_s, count.burst) if count.rate_per_s > 0 else None)
        if limits is None:
            return Envelope(count_response=CountResponse(is_lease_holder=True, is_tenant_unknown=True))
        told = self._holder.add(now, name, count.units or 1, *limits)
        return Envelope(
            count_response=CountResponse(
                is_lease_holder=True,
                is_over_limit=told.over,
                total=int(told.total),
                retry_after_ms=int(told.wait),
                slot=told.slot,
                is_over_share=told.over_share,
            )
        )

    def count(self, tenant: str, rate: float, burst: float) -> Sum | None:
        """One unit of a request of our own, or None where we do not hold its bucket (caller.Local)."""
        now = self._clock()
        if not self._lease_client.holds(now, bucket_of(tenant)):
            return None
        return self._holder.add(now, tenant, 1, *(self._holder.limits(tenant) or (rate, burst)))

    def give_back(self, tenant: str, slot: int) -> None:
        """A unit of a request of our own that never ran (caller.Local)."""
        now = self._clock()
        if self._lease_client.holds(now, bucket_of(tenant)):
            self._holder.give_back(now, tenant, 1, slot)

    def held(self) -> list[int]:
        """The buckets held now."""
        return self._lease_client.held(self._clock())

    def _round(self) -> LeaseClaim:
        now = self._clock()
        return self._lease_client.round(
            now, lambda bucket: self._holder.busy(bucket, now), lambda bucket: self._holder.account(bucket, now)
        )

    async def _claims(self) -> None:
        """Claims go out every while, and at once where an answer or news ask for it."""
        forget = self._clock() + FORGET
        while True:
            self._hurry.clear()
            now = self._clock()
            asked = self._round()
            for member in self._lease_client.voters:
                if self._asking.get(member, 0) < 3:
                    task = asyncio.ensure_future(self._ask(member, asked))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
            if now >= forget:
                forget = now + FORGET
                self._allowance.forget(now)
            self._tell(len(asked.renew))
            await asyncio.sleep(GAP / 1000)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout((EVERY if wanted(asked) else QUIET) / 1000):
                    await self._hurry.wait()

    async def _ask(self, member: str, asked: LeaseClaim) -> None:
        """One claim to one coordinator; silence is the next claim's matter."""
        self._asking[member] = self._asking.get(member, 0) + 1
        try:
            answer = await self._links.call(
                member,
                Envelope(lease_request=lease_messages.claim(asked, self._lease_client.incarnation_of(member))),
                ANSWER,
            )
        except PeerCallError:
            return
        finally:
            self._asking[member] -= 1
        now = self._clock()
        if self._lease_client.answered(now, member, asked.number, lease_messages.votes(answer.lease_response)):
            self._hurry.set()
        self._allowance.heard(now, self._lease_client.seen, True)

    def _tell(self, held: int) -> None:
        if held != self._held:
            self._log.info(f"holds {held} buckets of tenants")
            self._held = held
