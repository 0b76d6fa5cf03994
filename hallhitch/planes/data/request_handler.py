"""Handling of one request: admission, quota, the attempts that the load balancer selects, and the reply.

The handler tracks which attempts are in flight and whether the request may have run. Invariants:
- A reply from which clients conclude that the request never ran (503, 429) is sent only if no attempt is in flight and
  none of the ended attempts may have run.
- A non-idempotent request is written to another backend only after all earlier attempts ended without having run.
- The tenant's quota unit is refunded if and only if every attempt has ended and none may have run.
- A draining gateway sends a request to a backend only if the request was admitted before, or has its deadline no later
  than the drain deadline. It rejects any other request, whose client can still reach another gateway.
- A request gets its reply before its deadline and no later than the drain deadline of the gateway.
- After the client has disconnected, no attempt starts, queued attempts are cancelled, and attempts of an idempotent
  request are abandoned.

`run` is executed by one task per request; attempts call back from the event loop and wake it. Points in time are
monotonic milliseconds; durations are in milliseconds.
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

# Retry-After for a request that found no backend with capacity before its deadline; capacity may be free again soon.
NO_CAPACITY_RETRY_AFTER_MS: Final = 100.0
DRAINING_RETRY_AFTER_MS: Final = 0.0  # other gateways are available at once
# The reply is sent this long before the deadline, so that it arrives while the client still waits: a ratio of the
# request's time, up to a maximum.
REPLY_MARGIN_MAX_MS: Final = 20.0
REPLY_MARGIN_RATIO: Final = 0.05
# Time-out of the quota counter as a ratio of the request's remaining time, of which the backend gets the larger part.
QUOTA_TIMEOUT_MIN_MS: Final = 1.0
QUOTA_TIMEOUT_MAX_MS: Final = 1000.0
QUOTA_TIMEOUT_RATIO: Final = 0.4
# Pause after an attempt that ended immediately: the load balancer could select the same backend again in a busy loop.
RESELECT_DELAY_MS: Final = 5.0
MIN_RECHECK_DELAY_MS: Final = 1.0
# Maximum delay of one timer; for a longer wait, the loop sets several in turn.
TIMER_MAX_MS: Final = 600_000.0
# 4xx statuses that concern the backend or its load; the others are caused by the request itself.
RETRYABLE_CLIENT_ERRORS: Final = frozenset((408, 421, 429))


class ClientStatus(Protocol):
    """The part of the client connection that its request uses."""

    # Whether the client closed or half-closed its connection; `on_client_disconnected` is called when it does.
    is_disconnected: bool


class RequestHandler:
    """Handles one request and owns its attempts."""

    __slots__ = (
        "_attempts_changed",
        "_balancer_state",
        "_client",
        "_context",
        "_error_response",
        "_in_flight",
        "_info",
        "_is_finished",
        "_may_have_run",
        "_next_decision_at",
        "_quota_decision",
        "_received_at",
        "_request",
        "_request_reply_deadline",
        "_upstream_request",
        "_wakeup",
        "_winning_response",
        "_written_count",
    )
    # Set by `run` before the first attempt.
    _info: RequestInfo
    _upstream_request: UpstreamRequest
    _balancer_state: Any

    def __init__(self, context: DataPlaneContext, request: Message, received_at: float, client: ClientStatus) -> None:
        """`received_at` is when the request's first byte arrived."""
        self._context = context
        self._request = request
        self._received_at = received_at
        self._client = client
        self._quota_decision: QuotaDecision | None = None  # an admitted unit that may have to be refunded
        self._in_flight: list[UpstreamAttempt] = []
        self._written_count = 0  # number of ended attempts that were written
        self._may_have_run = False  # whether an ended attempt may have run the request
        self._winning_response: Message | None = None
        self._error_response: Message | None = None  # a backend's complete 5xx, used if no attempt succeeds
        self._is_finished = False
        self._request_reply_deadline = 0.0  # shortly before the request's deadline
        self._next_decision_at = 0.0  # the load balancer is asked then, or earlier if an attempt ends
        self._attempts_changed = False  # whether an attempt ended or timed out since the last decision
        self._wakeup: asyncio.Future[None] | None = None

    async def run(self) -> Reply:
        """Handle the request and return its reply."""
        context = self._context
        admitted = admit(context, self._request, self._received_at)
        if isinstance(admitted, Reply):
            return admitted
        self._info = admitted.info
        if self._client.is_disconnected:
            return self._fallback_reply(502)
        if self._info.deadline_ms > context.drain_deadline:
            context.count("rejected_while_draining")
            return local_reply(503, self._request, DRAINING_RETRY_AFTER_MS)
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
            self._cancel_queued_attempts()
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
            is_non_idempotent=not info.route.is_idempotent,
            deadline_ms=info.deadline_ms,
        )

    # Quota.

    async def _charge_quota(self, tenant: Tenant) -> Reply | None:
        """Charge the request to the tenant's quota; return the rejection if it is not admitted, otherwise None."""
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
        """Refund the tenant's quota unit if it is certain that the request never ran."""
        is_certain = self._is_finished and not self._in_flight and not self._may_have_run
        if self._quota_decision is not None and is_certain:
            self._context.quota_counter.refund(self._quota_decision)
            self._quota_decision = None

    # Attempts.

    async def _run_attempts(self) -> Reply:
        """Perform the load balancer's actions until there is a reply."""
        clock, client, info = self._context.clock, self._client, self._info
        is_non_idempotent = self._upstream_request.is_non_idempotent
        margin_ms = min(REPLY_MARGIN_MAX_MS, REPLY_MARGIN_RATIO * (info.deadline_ms - self._received_at))
        self._request_reply_deadline = info.deadline_ms - margin_ms
        while True:
            now = clock()
            if self._winning_response is not None:
                return forwarded_reply(self._winning_response)
            if now >= self._reply_deadline:
                return self._fallback_reply(504)
            if client.is_disconnected and not self._in_flight:
                return self._fallback_reply(502)
            self._mark_overdue(now)
            attempts_changed, self._attempts_changed = self._attempts_changed, False
            must_not_retry = client.is_disconnected or (
                is_non_idempotent and (self._may_have_run or bool(self._in_flight))
            )
            if must_not_retry:
                if not self._in_flight:
                    return self._fallback_reply(502)
                self._next_decision_at = self._reply_deadline
            elif attempts_changed or now >= self._next_decision_at:
                reply = self._apply_next_action(now)
                if reply is not None:
                    return reply
            await self._wait(self._next_event_at())

    def _apply_next_action(self, now: float) -> Reply | None:
        """Perform the load balancer's next action; return the reply if there is nothing left to wait for."""
        action = self._context.load_balancer.next_action(now, self._balancer_state)
        if isinstance(action, Forward):
            return self._forward(action, now)
        if isinstance(action, Enqueue):
            self._next_decision_at = now + max(MIN_RECHECK_DELAY_MS, action.recheck_after_ms)
            return None
        if self._in_flight:
            self._next_decision_at = self._reply_deadline  # attempts in flight may still run and get a response
            return None
        if isinstance(action, Reject):
            return self._fallback_reply(502, action.retry_after_ms)
        return self._fallback_reply(action.status)

    def _forward(self, action: Forward, now: float) -> Reply | None:
        """Start an attempt if another is allowed; if none is allowed and none is in flight, return the reply."""
        attempt_count = self._written_count + len(self._in_flight)
        is_exhausted = attempt_count >= max(1, self._info.route.max_attempts) or self._is_body_consumed()
        if is_exhausted and not self._in_flight:
            return self._fallback_reply(502, NO_CAPACITY_RETRY_AFTER_MS)
        self._next_decision_at = self._reply_deadline
        if is_exhausted:
            return None
        attempt = UpstreamAttempt(self, self._upstream_request, action.backend, now, action.hedge_delay_ms)
        self._in_flight.append(attempt)
        self._context.pools.send(attempt)
        if attempt.is_ended and attempt.written_at is None:
            self._next_decision_at, self._attempts_changed = now + RESELECT_DELAY_MS, False
        return None

    def _is_body_consumed(self) -> bool:
        """Return whether the body was already streamed to a backend and cannot be sent again."""
        if self._request.flow is None:
            return False
        return self._written_count > 0 or any(attempt.written_at is not None for attempt in self._in_flight)

    def _mark_overdue(self, now: float) -> None:
        """Report attempts past their hedge delay as timed out; cancel those that are still queued."""
        for attempt in [a for a in self._in_flight if not a.is_overdue and now >= a.hedge_at]:
            if attempt.written_at is None and self._context.pools.cancel_queued(attempt):
                continue
            attempt.is_overdue = True
            self._attempts_changed = True
            if attempt.written_at is not None:
                self._context.load_balancer.on_attempt_ended(
                    now, self._balancer_state, attempt.backend, Outcome.TIMED_OUT, now - attempt.written_at
                )

    def _cancel_queued_attempts(self) -> None:
        """Cancel every attempt that was not written."""
        for attempt in list(self._in_flight):
            self._context.pools.cancel_queued(attempt)

    def _fallback_reply(self, status: int, retry_after_ms: float = NO_CAPACITY_RETRY_AFTER_MS) -> Reply:
        """Return the reply if no response can be forwarded: 503 if the request never runs, otherwise `status`."""
        self._cancel_queued_attempts()
        if self._error_response is not None:
            return forwarded_reply(self._error_response)
        if self._may_have_run or self._in_flight:
            return local_reply(status, self._request)
        self._context.count("rejected_after_refusal" if self._written_count else "rejected_unsent")
        return local_reply(503, self._request, retry_after_ms)

    # Waiting.

    @property
    def _reply_deadline(self) -> float:
        return min(self._request_reply_deadline, self._context.drain_deadline)

    def _next_event_at(self) -> float:
        hedges = (attempt.hedge_at for attempt in self._in_flight if not attempt.is_overdue)
        return min([self._reply_deadline, self._next_decision_at, *hedges])

    async def _wait(self, until: float) -> None:
        """Wait until an attempt ends or `until` has passed."""
        if self._attempts_changed:
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
        if not self._attempts_changed:
            # The event loop runs timers before it reads sockets. If this process was late, a response may already have
            # arrived: let the loop read it first.
            await asyncio.sleep(0)

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    # Called by the client connection.

    def on_draining(self) -> None:
        """Make the drain deadline effective for a request that is already waiting."""
        self._wake()

    def on_client_disconnected(self) -> None:
        """Stop the work for a disconnected client, including one that was receiving a streamed response."""
        self._cancel_queued_attempts()
        for attempt in list(self._in_flight):
            if not attempt.request.is_non_idempotent:
                attempt.abandon()
        self._wake()

    # Called by the attempts.

    def on_streaming_response(self, response: Message, body: Flow) -> None:
        """Select a long response whose body is still arriving as the reply, unless there is a reply already."""
        if self._winning_response is not None or self._is_finished:
            body.abandon()
            return
        self._winning_response, self._attempts_changed = response, True
        self._wake()

    def on_attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome, response: Message | None) -> None:
        """Record the end of an attempt and report it to the load balancer, even after the reply was sent."""
        context = self._context
        self._in_flight.remove(attempt)
        if attempt.written_at is not None:
            self._written_count += 1
            context.attempt_waits.observe(attempt.written_at - attempt.started_at)
        context.count(f"attempt_{outcome.value}")
        if self._client.is_disconnected and attempt.written_at is not None and outcome is not Outcome.ABANDONED:
            context.count("attempt_ended_after_client_gone")
        self._may_have_run = self._may_have_run or outcome.may_have_run
        if response is not None and not self._is_finished:
            self._keep_response(outcome, response)
        context.load_balancer.on_attempt_ended(
            context.clock(), self._balancer_state, attempt.backend, outcome, attempt.latency_ms
        )
        if self._is_finished:
            self._refund_if_never_run()
        self._attempts_changed = True
        self._wake()

    def _keep_response(self, outcome: Outcome, response: Message) -> None:
        """Store a complete response if it can become the reply."""
        if outcome is Outcome.SERVER_ERROR:
            self._error_response = response
            return
        # The request itself is invalid: no other backend would run it.
        is_request_error = (
            outcome is Outcome.DECLINED
            and 400 <= response.status < 500
            and response.status not in RETRYABLE_CLIENT_ERRORS
        )
        if outcome is Outcome.OK or is_request_error:
            self._winning_response = self._winning_response or response
