"""The actor that runs the decision module and keeps the table of open exchanges; all frontends use it.

Invariants:
- An exchange gets exactly one final answer, no later than FALLBACK_DELAY_MS after its deadline.
- The module sees each attempt end exactly once; only the first successful attempt becomes the answer.

Times are Unix time in ms.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import structlog

from hallhitch.core.actor import Actor
from hallhitch.core.deadlines import Deadline, Deadlines, Scheduler
from hallhitch.core.invariants import COUNTS, invariant
from hallhitch.core.ports import AnswerPort, Attempt, CounterPort, UpstreamPort
from hallhitch.decision import api
from hallhitch.decision.policy import Gateway

# Subtracted from a client's deadline: the client's clock started when it sent the request, the answer must still reach
# it, and the process may be descheduled for a while on a CPU that gateways share.
DEADLINE_MARGIN_MS: Final = 20.0
MAX_DEADLINE_MARGIN_RATIO: Final = 0.1
# For a request that is forwarded while it is received; its frontend checks that it makes progress.
MAX_RECEIVE_MS: Final = 600_000.0
FALLBACK_DELAY_MS: Final = 3.0  # after the deadline of an exchange, when the core answers if the module has not
DEFAULT_RETRY_AFTER_MS: Final = 100.0  # if the module rejects for lack of capacity without a retry delay
FULL_MAILBOX_RETRY_AFTER_MS: Final = 1000.0
MAILBOX_RETRY_MS: Final = 1.0
MAX_CORE_MESSAGES: Final = 65_536
HEX_CUSTOMER_ID: Final = re.compile("[0-9a-fA-F]{16}")  # the platform's format of customer ids
log = structlog.get_logger()


def canonical_customer(customer: str) -> str:
    """Return the one spelling of a customer id, so that all gateways hash it to the same names of quota windows."""
    return customer.lower() if HEX_CUSTOMER_ID.fullmatch(customer) else customer


@dataclass(slots=True, eq=False)
class Exchange:
    """A request that has not been answered yet."""

    id: int
    ends_at: float
    answer: AnswerPort
    payload: object
    timeout_ms: float  # starts once the request is complete
    fallback_deadline: Deadline | None = None  # when the core answers if the module has not
    attempts: int = 0


class Core(Actor[api.Event]):
    """Passes the queued events to the decision module in one call and executes the actions that it returns."""

    upstream: UpstreamPort
    counter: CounterPort

    def __init__(
        self,
        gateway: Gateway,
        deadlines: Deadlines,
        scheduler: Scheduler,
        name: str = "module",
        batch_size: int = 0,
    ) -> None:
        """`batch_size` limits the events of one call of the module; 0 means no limit."""
        super().__init__(name, scheduler, MAX_CORE_MESSAGES)
        self.gateway = gateway
        self.deadlines = deadlines
        self.clock = deadlines.clock
        self.open_exchanges: dict[int, Exchange] = {}
        self._batch_size = batch_size
        self._in_flight: dict[tuple[int, int], Attempt] = {}  # by exchange id and attempt number
        self._last_exchange_id = 0

    # Calls from frontends and transports.

    def open_exchange(  # noqa: PLR0913  the fields of one request
        self,
        customer: str,
        plan_index: int,
        class_index: int,
        deadline_ms: float,
        answer: AnswerPort,
        payload: object,
        *,
        units: float = 1.0,
        spread: float = 1.0,
        is_write: bool = False,
        is_retry: bool = False,
        request_class: api.RequestClass | None = None,
        is_incomplete: bool = False,
        waited_ms: float = 0.0,
    ) -> int:
        """Open an exchange and return its id; `answer` gets its final answer before the client's deadline.

        `request_class` is the class itself, for callers whose settings may differ from the module's, where the index
        may stand for another class. A request that is incomplete is forwarded while it is received: its timeout starts
        at `on_request_complete`. For `waited_ms` the request stayed unread while its client's clock ran.
        """
        self._last_exchange_id += 1
        margin_ms = min(DEADLINE_MARGIN_MS, MAX_DEADLINE_MARGIN_RATIO * deadline_ms)
        own_timeout_ms = max(1.0, deadline_ms - waited_ms - margin_ms)
        timeout_ms = MAX_RECEIVE_MS if is_incomplete else own_timeout_ms
        exchange = Exchange(self._last_exchange_id, self.clock() + timeout_ms, answer, payload, own_timeout_ms)
        exchange_id = exchange.id
        request = api.Request(
            exchange_id,
            canonical_customer(customer),
            plan_index,
            class_index,
            units,
            timeout_ms,
            spread,
            is_write,
            is_retry,
            request_class,
        )
        if not self.post(request):
            answer.on_rejected(FULL_MAILBOX_RETRY_AFTER_MS)
            return exchange_id
        self.open_exchanges[exchange_id] = exchange
        exchange.fallback_deadline = self.deadlines.call_at(
            exchange.ends_at + FALLBACK_DELAY_MS, lambda: self._on_fallback_due(exchange_id)
        )
        return exchange_id

    def on_request_complete(self, exchange_id: int) -> None:
        """Start the timeout of an exchange whose request was forwarded while it was received."""
        exchange = self.open_exchanges.get(exchange_id)
        if exchange is not None:
            exchange.ends_at = self.clock() + exchange.timeout_ms
            self.deadlines.cancel(exchange.fallback_deadline)
            exchange.fallback_deadline = self.deadlines.call_at(
                exchange.ends_at + FALLBACK_DELAY_MS, lambda: self._on_fallback_due(exchange_id)
            )

    def on_streaming_started(self, attempt: Attempt) -> None:
        """Mark an attempt whose forwarded body was partly discarded: the module neither cancels nor retries it."""
        attempt.is_streaming = True
        self.post(api.StreamStarted(attempt.exchange_id, attempt.number, attempt.server))

    def on_client_gone(self, exchange_id: int) -> None:
        """Close an exchange whose client has disconnected; it gets no answer."""
        exchange = self._close(exchange_id)
        if exchange is not None:
            self.post(api.RequestGone(exchange_id))
            self._cancel_streaming(exchange)

    def _cancel_streaming(self, exchange: Exchange) -> None:
        # The module leaves streaming attempts to the core, which cancels them when their exchange is closed.
        for attempt in self._attempts_of(exchange):
            if attempt.is_streaming:
                self.upstream.cancel(attempt)

    def _attempts_of(self, exchange: Exchange) -> list[Attempt]:
        """Return the attempts of an exchange that are in flight."""
        return [
            attempt for number in range(exchange.attempts) if (attempt := self._in_flight.get((exchange.id, number)))
        ]

    def on_attempt_ended(
        self, attempt: Attempt, outcome: str, payload: object = None, latency_ms: float | None = None
    ) -> bool:
        """Report the end of an attempt; the first successful attempt of an exchange becomes its answer.

        `latency_ms` is by default the time since the attempt was sent. Return whether the payload was passed to the
        frontend.
        """
        if self._in_flight.pop((attempt.exchange_id, attempt.number), None) is None:
            COUNTS["late_outcome"] += 1
            return False
        exchange = self._close(attempt.exchange_id) if outcome == "ok" else None
        is_done = exchange is not None or attempt.exchange_id not in self.open_exchanges
        latency_ms = self.clock() - attempt.sent_at if latency_ms is None else latency_ms
        self.post(api.AttemptEnded(attempt.exchange_id, attempt.number, attempt.server, outcome, latency_ms, is_done))
        if exchange is not None:
            self._call_frontend(lambda: exchange.answer.on_served(payload))
        return exchange is not None

    def on_counter_reply(self, name: int, outcome: str, total: float, latency_ms: float) -> None:
        """Report the reply to a call of the quota counter."""
        self.post(api.CounterAnswer(name, outcome, total, latency_ms))

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply settings to new requests; if the mailbox is full, retry later with the latest settings."""
        self._latest_settings = settings
        if not self.post(api.NewSettings(settings)):
            self.deadlines.call_after(MAILBOX_RETRY_MS, lambda: self.apply_settings(self._latest_settings))

    # Processing of events.

    def handle_batch(self, messages: list[api.Event]) -> None:
        """Call the module once for all queued events, or once for each `batch_size` of them."""
        self.deadlines.run_due()
        if not self._batch_size:
            self._decide(messages)
            return
        while messages:
            self._decide(messages[: self._batch_size])
            del messages[: self._batch_size]
            # Events that an action has posted are handled before the remaining ones.
            messages, self._mailbox = self._mailbox + messages, []

    def _decide(self, events: list[api.Event]) -> None:
        try:
            actions = self.gateway.handle(self.clock(), events)
        except Exception as error:  # noqa: BLE001  logged; the process must keep running
            self.record_failure(error)
            for event in events:  # the module returns actions from before the exception at its next call
                if isinstance(event, api.Request | api.AttemptEnded):
                    self._fail_exchange(event.id)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception as error:  # noqa: BLE001  logged; the process must keep running
                self.record_failure(error)
                if isinstance(action, api.Send | api.Reject | api.Fail):
                    self._fail_exchange(action.id)

    def _execute(self, action: api.Action) -> None:  # noqa: C901  one case for each type of action
        match action:
            case api.Send():
                self._send(action)
            case api.Cancel(id=exchange_id, attempt=number):
                attempt = self._in_flight.get((exchange_id, number))
                if attempt is not None:
                    self.upstream.cancel(attempt)
            case api.Reject(id=exchange_id, advice=advice):
                self._finish(
                    exchange_id, lambda exchange: exchange.answer.on_rejected(advice or DEFAULT_RETRY_AFTER_MS)
                )
            case api.Fail(id=exchange_id):
                self._finish(exchange_id, lambda exchange: exchange.answer.on_failed())
            case api.Count(name=name, units=units, lifetime=lifetime):
                self.counter.add(name, units, lifetime)
            case api.SetTimer(after=after, token=token):
                self.deadlines.call_after(after, lambda: self._on_timer(token))
            case api.Log(text=text):
                log.info("module", actor=self.name, text=text)
            case api.Probe(server=server):
                self.post(api.ProbeEnded(server, "void", 0.0))  # no transport of this program probes servers
            case api.WatchList() | api.FetchList():
                COUNTS["list_asked"] += 1  # the route table always watches discovery

    def _on_timer(self, token: int) -> None:
        self.post(api.TimerFired(token))

    def _send(self, action: api.Send) -> None:
        exchange, now = self.open_exchanges.get(action.id), self.clock()
        if exchange is None:  # answered or abandoned in this batch; the module learns of it in the next one
            COUNTS["void_send"] += 1
            self.post(api.AttemptEnded(action.id, 0, action.server, "void", 0.0, True))
            return
        number = exchange.attempts
        ends_at = min(exchange.ends_at, now + action.limit) if action.limit else exchange.ends_at
        attempt = Attempt(action.id, number, action.server, now, ends_at, exchange.payload)
        exchange.attempts += 1
        is_only_attempt = not any((exchange.id, earlier) in self._in_flight for earlier in range(number))
        invariant(is_only_attempt or self.gateway.config.can_hedge, "at most one attempt in flight")
        self._in_flight[exchange.id, number] = attempt
        if now >= ends_at or number >= self.gateway.config.attempts:
            self.on_attempt_ended(attempt, "void")
        else:
            self.upstream.start(attempt)

    # Closing of exchanges.

    def _close(self, exchange_id: int) -> Exchange | None:
        exchange = self.open_exchanges.pop(exchange_id, None)
        if exchange is not None:
            self.deadlines.cancel(exchange.fallback_deadline)
            for attempt in self._attempts_of(exchange):
                attempt.is_wanted = False
        return exchange

    def _finish(self, exchange_id: int, answer: Callable[[Exchange], None]) -> None:
        exchange = self._close(exchange_id)
        if exchange is None:
            COUNTS["late_answer"] += 1
        else:
            self._call_frontend(lambda: answer(exchange))

    def _call_frontend(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception as error:  # noqa: BLE001  a failing frontend must not affect the module
            self.record_failure(error)

    def _fail_exchange(self, exchange_id: int) -> None:
        exchange = self.open_exchanges.get(exchange_id)
        if exchange is not None:
            self._finish(exchange_id, lambda closed: closed.answer.on_failed())
            self.post(api.RequestGone(exchange_id))
            self._cancel_streaming(exchange)

    def _on_fallback_due(self, exchange_id: int) -> None:
        COUNTS["backup_answer"] += 1
        self._fail_exchange(exchange_id)
