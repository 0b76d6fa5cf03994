"""One request from read to answered: admission, the tenant's quota, attempts as the decisions tell, the reply.

It owns what was sent where and whether it may have run. It must never promise a client (429, 503) what it does not
know, and never write an unsafe request to a second backend while the first may have run it.
"""

from __future__ import annotations

import asyncio
import math
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from hallhitch.net.http import Message, path_of
from hallhitch.planes.data.connection_pools import Attempt, ConnectionPools
from hallhitch.planes.data.http_messages import (
    DEADLINE,
    REQUEST_ID,
    Reply,
    malformed,
    own_reply,
    reply_of,
    request_head,
)
from hallhitch.planes.data.interfaces import (
    Enqueue,
    Forward,
    LoadBalancingPolicy,
    Outcome,
    QuotaCounter,
    Reject,
    RequestInfo,
)
from hallhitch.planes.values import ClusterConfig, QuotaDecision, RequestLimits, Route, Tenant

UNKNOWING = 1000.0  # ms after which a client may ask again a gateway that knows no configuration yet
LATE_AFTER = 100.0  # and one whose request found no room in its time
MARGIN_MOST, MARGIN_SHARE = 20.0, 0.05  # ms and share of its time by which an answer comes before the client gives up
COUNTING_MOST, COUNTING_SHARE = 1000.0, 0.4  # of its time that the counter may take
BREATH = 5.0  # ms before the decisions are asked again after they named a backend that could not be tried
FOREVER = 600_000.0


@dataclass(slots=True)
class Context:
    """What all requests of this gateway share."""

    decisions: LoadBalancingPolicy[Any]
    counter: QuotaCounter
    pools: ConnectionPools
    clock: Callable[[], float]
    figures: dict[str, int]
    config: ClusterConfig | None = None
    leaving: bool = False
    plain: RequestLimits = field(default_factory=RequestLimits)

    @property
    def limits(self) -> RequestLimits:
        """What a client may send and how long it may take."""
        return self.config.limits if self.config is not None else self.plain

    def count(self, name: str) -> None:
        """Add one to a figure."""
        self.figures[name] = self.figures.get(name, 0) + 1


class Presence(Protocol):
    """The client, as far as its request needs to know."""

    left: bool  # whether it went away


class RequestHandler:
    """One request under way."""

    __slots__ = (
        "_context",
        "_request",
        "_client",
        "_read",
        "_route",
        "_tenant",
        "_taken",
        "_ask",
        "_exchange",
        "_out",
        "_sent",
        "_ran",
        "_good",
        "_own",
        "_finished",
        "_wake",
        "_woken",
        "_timer",
        "_shared",
    )

    def __init__(self, context: Context, request: Message, read: float, client: Presence) -> None:
        """`read`: when its head was read (steady ms)."""
        self._context, self._request, self._read, self._client = context, request, read, client
        self._route: Route | None = None
        self._tenant: Tenant | None = None
        self._taken: QuotaDecision | None = None
        self._out: list[Attempt] = []  # not yet over
        self._sent = 0  # attempts of which something was written
        self._ran = False  # whether one that is over may have run
        self._good: Message | None = None  # the answer that wins
        self._own: Message | None = None  # a backend's own whole answer that is worth less
        self._finished = False
        self._wake: asyncio.Future[None] | None = None
        self._woken = False
        self._timer: asyncio.TimerHandle | None = None
        self._shared = b""

    async def run(self) -> Reply:
        """The reply to this request; never raises but for what is wrong in this program."""
        reply = self._admit()
        if reply is not None:
            return reply
        context, route = self._context, self._route
        assert route is not None
        if self._tenant is not None and self._tenant.rate_per_s > 0:
            reply = await self._counted(self._tenant)
            if reply is not None:
                return reply
        now = context.clock()
        self._shared = request_head(self._request, self._tenant.name if self._tenant is not None else None)
        exchange = self._exchange = context.decisions.begin_request(now, self._ask)
        try:
            return await self._attempts(exchange, route)
        finally:
            self._finished = True
            for attempt in list(self._out):
                context.pools.take_back(attempt)
            context.decisions.finish_request(context.clock(), exchange)
            self._settle()

    # Admission.

    def _admit(self) -> Reply | None:
        """The refusal of a request that goes nowhere; None: its route, tenant and question are known."""
        request, config, now = self._request, self._context.config, self._context.clock()
        headers = request.headers
        if malformed(request):
            return own_reply(400, request, close=True)
        if config is None:
            return own_reply(503, request, UNKNOWING)
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0].lower()
        route = config.find_route(host, path_of(request.target).decode("latin-1"))
        if route is None:
            return own_reply(404, request)
        tenant = None
        if config.tenants:
            tenant = config.tenants_by_api_key.get(key_of(headers.get(b"authorization", b"")))
            if tenant is None and not route.is_public:
                return own_reply(401, request)
        homes = route.allowed_regions
        if tenant is not None and tenant.allowed_regions:
            homes = homes & tenant.allowed_regions if homes else tenant.allowed_regions
            if not homes:
                return own_reply(503, request, UNKNOWING)  # no region is home to both
        priority = route.priority if tenant is None or tenant.priority is None else tenant.priority
        ends = self._read + min(route.timeout_ms, deadline_of(headers.get(DEADLINE), route.timeout_ms))
        self._route, self._tenant = route, tenant
        service = service_of(route, headers.get(REQUEST_ID, b""))
        self._ask = RequestInfo(route, service, homes, priority, now, ends)
        return None

    async def _counted(self, tenant: Tenant) -> Reply | None:
        """Add one to the tenant's count and read it; None: it is within."""
        left = self._ask.deadline_ms - self._context.clock()
        taken = await self._context.counter.admit(tenant, max(1.0, min(COUNTING_MOST, left * COUNTING_SHARE)))
        if taken.is_admitted:
            self._taken = taken
            return None
        self._context.count("counter_silent" if taken.is_counter_unavailable else "over_quota")
        return own_reply(503 if taken.is_counter_unavailable else 429, self._request, taken.retry_after_ms)

    # Attempts.

    async def _attempts(self, exchange: Any, route: Route) -> Reply:
        context, clock, client = self._context, self._context.clock, self._client
        unsafe = not route.is_idempotent
        ask = self._ask
        limit = ask.deadline_ms - min(MARGIN_MOST, MARGIN_SHARE * (ask.deadline_ms - self._read))
        again = 0.0  # when the decisions are asked next, unless something ends before
        while True:
            now = clock()
            if self._good is not None:
                return reply_of(self._good)
            if now >= limit:
                return self._no_answer(504)
            if client.left and not self._out:
                return self._no_answer(502)
            self._lose_patience(exchange, now)
            woken, self._woken = self._woken, False
            if client.left or unsafe and (self._ran or self._out):
                if not self._out:
                    return self._no_answer(502)  # it may have run, and may not run again
                again = limit
            elif woken or now >= again:
                step = context.decisions.next_action(now, exchange)
                if isinstance(step, Forward):
                    if self._sent + len(self._out) >= max(1, route.max_attempts) or self._request_is_spent():
                        if not self._out:
                            return self._no_answer(502, LATE_AFTER)
                        again = limit
                    else:
                        attempt = self._send(step, unsafe, now)
                        again = limit
                        if attempt.over and attempt.written is None:  # it ended at once, and would at once again
                            again, self._woken = now + BREATH, False
                elif isinstance(step, Enqueue):
                    again = now + max(1.0, step.recheck_after_ms)
                elif self._out:
                    again = limit  # what is out may still answer, and may still run
                elif isinstance(step, Reject):
                    return self._no_answer(502, step.retry_after_ms)
                else:
                    return self._no_answer(step.status)
            until = min([limit, again, *(a.patience for a in self._out if not a.silent)])
            await self._wait(until)

    def _send(self, step: Forward, unsafe: bool, now: float) -> Attempt:
        request = self._request
        request_id = request.headers.get(REQUEST_ID) or None
        attempt = Attempt(
            self,
            step.backend,
            unsafe=unsafe,
            ends=self._ask.deadline_ms,
            method=request.method,
            request_id=request_id,
            shared=self._shared,
            body=request.body,
            flow=request.flow,
            began=now,
            patience=now + step.hedge_delay_ms,
        )
        self._out.append(attempt)
        self._context.pools.send(attempt)
        return attempt

    def _request_is_spent(self) -> bool:
        """Whether its body passed already, to another backend."""
        return self._request.flow is not None and (
            self._sent > 0 or any(attempt.written is not None for attempt in self._out)
        )

    def _lose_patience(self, exchange: Any, now: float) -> None:
        """Tell the decisions of attempts that have been silent for too long; take back what was not even written."""
        for attempt in [a for a in self._out if not a.silent and now >= a.patience]:
            if attempt.written is None and self._context.pools.take_back(attempt):
                continue
            attempt.silent = True
            self._woken = True
            if attempt.written is not None:
                self._context.decisions.on_attempt_ended(
                    now, exchange, attempt.backend, Outcome.TIMED_OUT, now - attempt.written
                )

    def _no_answer(self, status: int, after: float = LATE_AFTER) -> Reply:
        """The reply where no backend's good answer is there, and nothing more is sent: 503 only if it never runs."""
        for attempt in list(self._out):
            self._context.pools.take_back(attempt)
        if self._own is not None:
            return reply_of(self._own)
        if self._ran or self._out:
            return own_reply(status, self._request)
        return own_reply(503, self._request, after)

    async def _wait(self, until: float) -> None:
        """Until something ends, or a moment; what has come by then is looked at first, if this process was late."""
        if self._woken:
            return
        delay = until - self._context.clock()
        if delay <= 0:
            return
        loop = asyncio.get_running_loop()
        wake = self._wake = loop.create_future()
        timer = loop.call_later(min(delay, FOREVER) / 1000, self._rouse)
        try:
            await wake
        finally:
            timer.cancel()
            self._wake = None
        if not self._woken:
            await asyncio.sleep(0)  # timers run before sockets are read: an answer may lie there

    def _rouse(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    # Called by the attempts.

    def passing(self, attempt: Attempt, answer: Message) -> None:
        """A long answer has begun to come."""
        assert answer.flow is not None
        if self._good is not None or self._finished:
            answer.flow.abandon()
            return
        self._good, self._woken = answer, True
        self._rouse()

    def ended(self, attempt: Attempt, outcome: Outcome, answer: Message | None) -> None:
        """An attempt is over: the decisions are told in any case, the client if it still waits."""
        context = self._context
        self._out.remove(attempt)
        self._sent += attempt.written is not None
        context.count(f"attempt_{outcome.value}")
        self._ran = self._ran or outcome.may_have_run
        if answer is not None and not self._finished:
            if outcome is Outcome.OK:
                self._good = self._good or answer
            elif outcome is Outcome.SERVER_ERROR:
                self._own = answer
            elif outcome is Outcome.DECLINED and 400 <= answer.status < 500 and answer.status not in (408, 421, 429):
                self._good = self._good or answer  # the request itself is at fault: no other backend would run it
        context.decisions.on_attempt_ended(context.clock(), self._exchange, attempt.backend, outcome, attempt.lag)
        if self._finished:
            self._settle()
        self._woken = True
        self._rouse()

    def _settle(self) -> None:
        """Give the tenant's unit back once it is sure that the request never ran."""
        if self._taken is not None and self._finished and not self._out and not self._ran:
            self._context.counter.refund(self._taken)
            self._taken = None


def key_of(value: bytes) -> str:
    """The key in an Authorization field; "" where there is none."""
    scheme, _, key = value.partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"token" else ""


def deadline_of(value: bytes | None, default: float) -> float:
    """The ms that the client said it waits; `default` where it did not say so clearly."""
    try:
        left = float(value) if value is not None else default
    except ValueError:
        return default
    return left if math.isfinite(left) and left >= 0 else default


def service_of(route: Route, request_id: bytes) -> str:
    """The service of a request by the weights of its route's split; the same for the same id."""
    split = route.weighted_services
    if len(split) == 1:
        return split[0][0]
    at = zlib.crc32(request_id) / 2**32 * sum(weight for _, weight in split)
    for service, weight in split:
        at -= weight
        if at < 0:
            return service
    return max(split, key=lambda part: part[1])[0]
