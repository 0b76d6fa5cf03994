"""One request from its admission to its reply: quota, attempts as the load balancer decides, and the reply.

It owns which attempts are in flight and whether the request may have run. Invariants:
- A reply by which clients conclude that the request never ran (503, 429) is sent only if no attempt that has ended may
  have run it, and none is in flight.
- An unsafe request is written to another backend only after every attempt before it ended without having run.
- The tenant's quota unit is refunded if and only if every attempt has ended and none may have run.
- Once the client has left, no attempt starts, none stays queued, and those of an idempotent request are abandoned.

`run` is one task a request; attempts call back from the event loop and wake it. Times are steady milliseconds,
durations milliseconds.
"""

from __future__ import annotations

import asyncio
from typing import Any, Final, Protocol

from hallhitch.net.flow import Flow
from hallhitch.net.http import Message
from hallhitch.planes.data.context import DataPlaneContext
from hallhitch.planes.data.http_messages import REQUEST_ID, Reply, encode_head_prefix, forwarded_reply, local_reply
from hallhitch.planes.data.interfaces import Enqueue, Forward, Outcome, Reject, RequestInfo
from hallhitch.planes.data.request_admission import AdmittedRequest, admit
from hallhitch.planes.data.upstream_attempt import UpstreamAttempt, UpstreamRequest
from hallhitch.planes.values import QuotaDecision, Tenant

# For a request that found no backend with capacity before its deadline: capacity may be free again soon.
NO_CAPACITY_RETRY_AFTER_MS: Final = 100.0
# The reply leaves so long before the deadline, at most, that it arrives while the client still waits.
REPLY_MARGIN_MAX_MS: Final = 20.0
REPLY_MARGIN_RATIO: Final = 0.05
# What the quota counter may take of the request's time: the larger part is for the backend.
QUOTA_TIMEOUT_MIN_MS: Final = 1.0
QUOTA_TIMEOUT_MAX_MS: Final = 1000.0
QUOTA_TIMEOUT_RATIO: Final = 0.4
# After an attempt that ended at once the load balancer could name the same backend again, in a loop without end.
RESELECT_DELAY_MS: Final = 5.0
MIN_RECHECK_DELAY_MS: Final = 1.0
# Bounds one timer; the loop waits again after it.
TIMER_MAX_MS: Final = 600_000.0
# Statuses below 500 by which a backend means itself or its load; other 4xx mean the request.
RETRYABLE_CLIENT_ERRORS: Final = frozenset((408, 421, 429))


class ClientPresence(Protocol):
    """The client, as far as its request needs it."""

    is_gone: bool  # whether it closed its connection, or its sending side; `on_client_gone` is called when it does


class RequestHandler:
    """Handles one request; the owner of its attempts."""

    __slots__ = (
        "_balancer_state",
        "_client",
        "_context",
        "_error_response",
        "_has_changed",
        "_in_flight",
        "_info",
        "_is_finished",
        "_may_have_run",
        "_next_decision_at",
        "_quota_decision",
        "_received_at",
        "_reply_by",
        "_request",
        "_upstream_request",
        "_wakeup",
        "_winning_response",
        "_written_count",
    )
    # Set in `run`, before there is any attempt.
    _info: RequestInfo
    _upstream_request: UpstreamRequest
    _balancer_state: Any

    def __init__(self, context: DataPlaneContext, request: Message, received_at: float, client: ClientPresence) -> None:
        """`received_at`: when the request's head was read."""
        self._context = context
        self._request = request
        self._received_at = received_at
        self._client = client
        self._quota_decision: QuotaDecision | None = None  # the unit that may have to be refunded
        self._in_flight: list[UpstreamAttempt] = []
        self._written_count = 0  # attempts that have ended and were written
        self._may_have_run = False  # by an attempt that has ended
        self._winning_response: Message | None = None
        self._error_response: Message | None = None  # a backend's complete 5xx, for want of a better one
        self._is_finished = False
        self._reply_by = 0.0
        self._next_decision_at = 0.0  # unless an attempt ends before
        self._has_changed = False  # whether an attempt ended, or timed out, since the last decision
        self._wakeup: asyncio.Future[None] | None = None

    async def run(self) -> Reply:
        """Handle the request and return its reply."""
        context = self._context
        admitted = admit(context, self._request, self._received_at)
        if isinstance(admitted, Reply):
            return admitted
        self._info = admitted.info
        if self._client.is_gone:
            return self._fallback_reply(502)
        if admitted.tenant is not None and admitted.tenant.rate_per_s > 0:
            rejection = await self._charge_quota(admitted.tenant)
            if rejection is not None:
                return rejection
        now = context.clock()
        self._upstream_request = self._make_upstream_request(admitted)
        self._balancer_state = context.load_balancer.begin_request(now, admitted.info)
        try:
            return await self._run_attempts()
        finally:
            self._is_finished = True
            self._withdraw_attempts()
            context.load_balancer.finish_request(context.clock(), self._balancer_state)
            self._refund_if_never_run()

    def _make_upstream_request(self, admitted: AdmittedRequest) -> UpstreamRequest:
        request, info, tenant = self._request, admitted.info, admitted.tenant
        return UpstreamRequest(
            method=request.method,
            request_id=request.headers.get(REQUEST_ID) or None,
            head_prefix=encode_head_prefix(request, tenant.name if tenant is not None else None),
            body=request.body,
            body_flow=request.flow,
            is_unsafe=not info.route.is_idempotent,
            deadline_ms=info.deadline_ms,
        )

    # Quota.

    async def _charge_quota(self, tenant: Tenant) -> Reply | None:
        """Count the request against the tenant's quota; return the reply that rejects it, if it is not admitted."""
        remaining_ms = self._info.deadline_ms - self._context.clock()
        timeout_ms = max(QUOTA_TIMEOUT_MIN_MS, min(QUOTA_TIMEOUT_MAX_MS, remaining_ms * QUOTA_TIMEOUT_RATIO))
        decision = await self._context.quota_counter.admit(tenant, timeout_ms)
        if decision.is_admitted:
            self._quota_decision = decision
            return None
        if decision.is_counter_unavailable:
            self._context.count("quota_counter_unavailable")
            return local_reply(503, self._request, decision.retry_after_ms)
        self._context.count("over_quota")
        return local_reply(429, self._request, decision.retry_after_ms)

    def _refund_if_never_run(self) -> None:
        """Refund the tenant's quota unit once it is certain that the request never ran."""
        is_certain = self._is_finished and not self._in_flight and not self._may_have_run
        if self._quota_decision is not None and is_certain:
            self._context.quota_counter.refund(self._quota_decision)
            self._quota_decision = None

    # Attempts.

    async def _run_attempts(self) -> Reply:
        """Start attempts as the load balancer decides until there is a reply."""
        clock, client, info = self._context.clock, self._client, self._info
        is_unsafe = self._upstream_request.is_unsafe
        margin_ms = min(REPLY_MARGIN_MAX_MS, REPLY_MARGIN_RATIO * (info.deadline_ms - self._received_at))
        self._reply_by = info.deadline_ms - margin_ms
        while True:
            now = clock()
            if self._winning_response is not None:
                return forwarded_reply(self._winning_response)
            if now >= self._reply_by:
                return self._fallback_reply(504)
            if client.is_gone and not self._in_flight:
                return self._fallback_reply(502)
            self._mark_overdue(now)
            has_changed, self._has_changed = self._has_changed, False
            must_not_retry = client.is_gone or (is_unsafe and (self._may_have_run or bool(self._in_flight)))
            if must_not_retry:
                if not self._in_flight:
                    return self._fallback_reply(502)
                self._next_decision_at = self._reply_by
            elif has_changed or now >= self._next_decision_at:
                reply = self._act(now)
                if reply is not None:
                    return reply
            await self._wait(self._next_event_at())

    def _act(self, now: float) -> Reply | None:
        """Carry out the load balancer's next action; return the reply if there is nothing more to wait for."""
        action = self._context.load_balancer.next_action(now, self._balancer_state)
        if isinstance(action, Forward):
            return self._forward(action, now)
        if isinstance(action, Enqueue):
            self._next_decision_at = now + max(MIN_RECHECK_DELAY_MS, action.recheck_after_ms)
            return None
        if self._in_flight:
            self._next_decision_at = self._reply_by  # what is in flight may still be answered, and may still run
            return None
        if isinstance(action, Reject):
            return self._fallback_reply(502, action.retry_after_ms)
        return self._fallback_reply(action.status)

    def _forward(self, action: Forward, now: float) -> Reply | None:
        """Start an attempt unless no more are allowed; return the reply if nothing is in flight then."""
        attempt_count = self._written_count + len(self._in_flight)
        is_exhausted = attempt_count >= max(1, self._info.route.max_attempts) or self._is_body_consumed()
        if is_exhausted and not self._in_flight:
            return self._fallback_reply(502, NO_CAPACITY_RETRY_AFTER_MS)
        self._next_decision_at = self._reply_by
        if is_exhausted:
            return None
        attempt = UpstreamAttempt(self, self._upstream_request, action.backend, now, action.hedge_delay_ms)
        self._in_flight.append(attempt)
        self._context.pools.send(attempt)
        if attempt.is_ended and attempt.written_at is None:
            self._next_decision_at, self._has_changed = now + RESELECT_DELAY_MS, False
        return None

    def _is_body_consumed(self) -> bool:
        """Whether the body was streamed to a backend already, and cannot be sent again."""
        if self._request.flow is None:
            return False
        return self._written_count > 0 or any(attempt.written_at is not None for attempt in self._in_flight)

    def _mark_overdue(self, now: float) -> None:
        """Report attempts whose hedge delay is over as timed out; withdraw those that were not even written."""
        for attempt in [a for a in self._in_flight if not a.is_overdue and now >= a.hedge_at]:
            if attempt.written_at is None and self._context.pools.withdraw(attempt):
                continue
            attempt.is_overdue = True
            self._has_changed = True
            if attempt.written_at is not None:
                self._context.load_balancer.on_attempt_ended(
                    now, self._balancer_state, attempt.backend, Outcome.TIMED_OUT, now - attempt.written_at
                )

    def _withdraw_attempts(self) -> None:
        """Withdraw every attempt that was not written."""
        for attempt in list(self._in_flight):
            self._context.pools.withdraw(attempt)

    def _fallback_reply(self, status: int, retry_after_ms: float = NO_CAPACITY_RETRY_AFTER_MS) -> Reply:
        """Return the reply when no response won: this status, but 503 if the request certainly never runs."""
        self._withdraw_attempts()
        if self._error_response is not None:
            return forwarded_reply(self._error_response)
        if self._may_have_run or self._in_flight:
            return local_reply(status, self._request)
        return local_reply(503, self._request, retry_after_ms)

    # Waiting.

    def _next_event_at(self) -> float:
        hedges = (attempt.hedge_at for attempt in self._in_flight if not attempt.is_overdue)
        return min([self._reply_by, self._next_decision_at, *hedges])

    async def _wait(self, until: float) -> None:
        """Wait until an attempt ends, or until a moment."""
        if self._has_changed:
            return
        delay_ms = until - self._context.clock()
        if delay_ms <= 0:
            return
        loop = asyncio.get_running_loop()
        wakeup = self._wakeup = loop.create_future()
        timer = loop.call_later(min(delay_ms, TIMER_MAX_MS) / 1000, self._wake)
        try:
            await wakeup
        finally:
            timer.cancel()
            self._wakeup = None
        if not self._has_changed:
            # The event loop runs timers before it reads sockets: a response may be there if this process was late.
            await asyncio.sleep(0)

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    # Called by the client connection.

    def on_client_gone(self) -> None:
        """End what works for a client that has left, also for one that was taking a streamed response."""
        self._withdraw_attempts()
        for attempt in list(self._in_flight):
            if not attempt.request.is_unsafe:
                attempt.abandon()
        self._wake()

    # Called by the attempts.

    def on_streaming_response(self, response: Message, body: Flow) -> None:
        """Take a long response whose body is still coming, unless there is a reply already."""
        if self._winning_response is not None or self._is_finished:
            body.abandon()
            return
        self._winning_response, self._has_changed = response, True
        self._wake()

    def on_attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome, response: Message | None) -> None:
        """Record the end of an attempt; the load balancer learns of it even after the reply."""
        context = self._context
        self._in_flight.remove(attempt)
        self._written_count += attempt.written_at is not None
        context.count(f"attempt_{outcome.value}")
        if self._client.is_gone and attempt.written_at is not None and outcome is not Outcome.ABANDONED:
            context.count("attempt_ended_after_client_gone")
        self._may_have_run = self._may_have_run or outcome.may_have_run
        if response is not None and not self._is_finished:
            self._keep_response(outcome, response)
        context.load_balancer.on_attempt_ended(
            context.clock(), self._balancer_state, attempt.backend, outcome, attempt.latency_ms
        )
        if self._is_finished:
            self._refund_if_never_run()
        self._has_changed = True
        self._wake()

    def _keep_response(self, outcome: Outcome, response: Message) -> None:
        """Keep a complete response if it can become the reply."""
        if outcome is Outcome.SERVER_ERROR:
            self._error_response = response
            return
        # The request itself is at fault: no other backend would run it.
        is_request_error = (
            outcome is Outcome.DECLINED
            and 400 <= response.status < 500
            and response.status not in RETRYABLE_CLIENT_ERRORS
        )
        if outcome is Outcome.OK or is_request_error:
            self._winning_response = self._winning_response or response
