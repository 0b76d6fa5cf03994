"""The actor of the decision module and the table of open exchanges: the core that every front drives.

Invariants:
- An exchange gets exactly one final answer, at BACKUP_DELAY_MS after its end at the latest.
- The module sees each attempt end exactly once; only the first good end is the answer.

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

# Kept back of a deadline: the client's clock began at its send, the answer has still to arrive, and a processor that
# gateways share may stand still for a while.
DEADLINE_MARGIN_MS: Final = 20.0
MAX_DEADLINE_MARGIN_RATIO: Final = 0.1
MAX_RECEIVE_MS: Final = 600_000.0  # for a request that is forwarded while it is received; its front checks its progress
BACKUP_DELAY_MS: Final = 3.0  # past the end of an exchange: then the core answers in the module's place
DEFAULT_RETRY_AFTER_MS: Final = 100.0  # where the module rejects for lack of capacity and gives no time
FULL_MAILBOX_RETRY_AFTER_MS: Final = 1000.0
MAILBOX_RETRY_MS: Final = 1.0
MAX_CORE_MESSAGES: Final = 65_536
HEX_CUSTOMER: Final = re.compile("[0-9a-fA-F]{16}")  # how the platform writes customers
log = structlog.get_logger()


def canonical_customer(customer: str) -> str:
    """Return the spelling that all gateways and fronts use: the names of quota windows are hashed from it."""
    return customer.lower() if HEX_CUSTOMER.fullmatch(customer) else customer


@dataclass(slots=True, eq=False)
class Exchange:
    """A request that has not got its final answer."""

    id: int
    ends_at: float
    answer: AnswerPort
    payload: object
    timeout_ms: float  # from when the request is complete
    backup: Deadline | None = None
    attempts: int = 0


class Core(Actor[api.Event]):
    """Hands the events of each turn to the module in one call and carries out its actions."""

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
        """`batch_size` bounds the events of one call of the module; 0 means no bound."""
        super().__init__(name, scheduler, MAX_CORE_MESSAGES)
        self.gateway = gateway
        self.deadlines = deadlines
        self.clock = deadlines.clock
        self.open_exchanges: dict[int, Exchange] = {}
        self._batch_size = batch_size
        self._in_flight: dict[tuple[int, int], Attempt] = {}  # by exchange and number
        self._last_exchange_id = 0

    # Called by fronts and transports.

    def begin(  # noqa: PLR0913  fields of one record
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
        write: bool = False,
        repeat: bool = False,
        kind: api.RequestClass | None = None,
        coming: bool = False,
        waited: float = 0.0,
    ) -> int:
        """Open an exchange and return its id; its final answer goes to `answer` before the client's deadline.

        `kind` is its class itself, where the index may mean another one meanwhile. A request that is `coming` is
        forwarded while it is received: its time begins with `on_request_complete`. `waited` are the ms for which a
        request was not read, while its client's clock ran.
        """
        self._last_exchange_id += 1
        margin_ms = min(DEADLINE_MARGIN_MS, MAX_DEADLINE_MARGIN_RATIO * deadline_ms)
        own_timeout_ms = max(1.0, deadline_ms - waited - margin_ms)
        timeout_ms = MAX_RECEIVE_MS if coming else own_timeout_ms
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
            write,
            repeat,
            kind,
        )
        if not self.post(request):
            answer.on_rejected(FULL_MAILBOX_RETRY_AFTER_MS)
            return exchange_id
        self.open_exchanges[exchange_id] = exchange
        exchange.backup = self.deadlines.call_at(
            exchange.ends_at + BACKUP_DELAY_MS, lambda: self._on_overdue(exchange_id)
        )
        return exchange_id

    def on_request_complete(self, exchange_id: int) -> None:
        """Start the time of an exchange whose request was forwarded while it was received."""
        exchange = self.open_exchanges.get(exchange_id)
        if exchange is not None:
            exchange.ends_at = self.clock() + exchange.timeout_ms
            self.deadlines.cancel(exchange.backup)
            exchange.backup = self.deadlines.call_at(
                exchange.ends_at + BACKUP_DELAY_MS, lambda: self._on_overdue(exchange_id)
            )

    def on_streaming_started(self, attempt: Attempt) -> None:
        """Note that parts of an attempt's request were dropped: the module neither cancels nor retries it."""
        attempt.is_streaming = True
        self.post(api.StreamStarted(attempt.exchange_id, attempt.number, attempt.server))

    def on_client_gone(self, exchange_id: int) -> None:
        """Close an exchange without an answer."""
        exchange = self._close(exchange_id)
        if exchange is not None:
            self.post(api.RequestGone(exchange_id))
            self._cancel_streaming(exchange)

    def _cancel_streaming(self, exchange: Exchange) -> None:
        # The module cancels none of these: it regards them as the client's.
        for attempt in self._attempts_of(exchange):
            if attempt.is_streaming:
                self.upstream.cancel(attempt)

    def _attempts_of(self, exchange: Exchange) -> list[Attempt]:
        """Return the attempts of an exchange that are in flight."""
        return [
            attempt for number in range(exchange.attempts) if (attempt := self._in_flight.get((exchange.id, number)))
        ]

    def on_attempt_ended(
        self, attempt: Attempt, outcome: str, payload: object = None, lag: float | None = None
    ) -> bool:
        """Report an attempt's end, `lag` ms or the time since its send after it; the first good one is the answer.

        Return whether the payload was handed to the front.
        """
        if self._in_flight.pop((attempt.exchange_id, attempt.number), None) is None:
            COUNTS["late_outcome"] += 1
            return False
        exchange = self._close(attempt.exchange_id) if outcome == "ok" else None
        is_done = exchange is not None or attempt.exchange_id not in self.open_exchanges
        lag = self.clock() - attempt.sent_at if lag is None else lag
        self.post(api.AttemptEnded(attempt.exchange_id, attempt.number, attempt.server, outcome, lag, is_done))
        if exchange is not None:
            self._call_front(lambda: exchange.answer.on_served(payload))
        return exchange is not None

    def on_counter_reply(self, name: int, outcome: str, total: float, lag: float) -> None:
        """Report the reply to one call of the counter."""
        self.post(api.CounterAnswer(name, outcome, total, lag))

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply settings to requests that come from now on; if the mailbox is full, retry with the latest ones."""
        self._latest_settings = settings
        if not self.post(api.NewSettings(settings)):
            self.deadlines.call_after(MAILBOX_RETRY_MS, lambda: self.apply_settings(self._latest_settings))

    # One turn.

    def handle_batch(self, messages: list[api.Event]) -> None:
        """Call the module once for all events that have come, or for `batch_size` of them at a time."""
        self.deadlines.run_due()
        if not self._batch_size:
            self._decide(messages)
            return
        while messages:
            self._decide(messages[: self._batch_size])
            del messages[: self._batch_size]
            # The events that a decision causes at once come before the next decision.
            messages, self._mailbox = self._mailbox + messages, []

    def _decide(self, events: list[api.Event]) -> None:
        try:
            actions = self.gateway.handle(self.clock(), events)
        except Exception as error:  # noqa: BLE001  an outer edge: logged, and the process goes on
            self.record_failure(error)
            for event in events:  # actions that were decided before the failure come with the next call
                if isinstance(event, api.Request | api.AttemptEnded):
                    self._give_up(event.id)
            return
        for action in actions:
            try:
                self._act(action)
            except Exception as error:  # noqa: BLE001  an outer edge: logged, and the process goes on
                self.record_failure(error)
                if isinstance(action, api.Send | api.Refuse | api.Fail):
                    self._give_up(action.id)

    def _act(self, action: api.Action) -> None:  # noqa: C901  one case after the other
        match action:
            case api.Send():
                self._send(action)
            case api.Cancel(id=exchange_id, attempt=number):
                attempt = self._in_flight.get((exchange_id, number))
                if attempt is not None:
                    self.upstream.cancel(attempt)
            case api.Refuse(id=exchange_id, advice=advice):
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
                self.post(api.ProbeEnded(server, "void", 0.0))  # no transport here probes
            case api.WatchList() | api.FetchList():
                COUNTS["list_asked"] += 1  # the route table watches all the time by itself

    def _on_timer(self, token: int) -> None:
        self.post(api.TimerFired(token))

    def _send(self, action: api.Send) -> None:
        exchange, now = self.open_exchanges.get(action.id), self.clock()
        if exchange is None:  # answered or abandoned in the same turn: the module learns of it in the next one
            COUNTS["void_send"] += 1
            self.post(api.AttemptEnded(action.id, 0, action.server, "void", 0.0, True))
            return
        number = exchange.attempts
        ends_at = min(exchange.ends_at, now + action.limit) if action.limit else exchange.ends_at
        attempt = Attempt(action.id, number, action.server, now, ends_at, exchange.payload)
        exchange.attempts += 1
        is_only_one = not any((exchange.id, earlier) in self._in_flight for earlier in range(number))
        invariant(is_only_one or self.gateway.config.second_copies, "one attempt out at a time")
        self._in_flight[exchange.id, number] = attempt
        if now >= ends_at or number >= self.gateway.config.attempts:
            self.on_attempt_ended(attempt, "void")
        else:
            self.upstream.start(attempt)

    # Final answers.

    def _close(self, exchange_id: int) -> Exchange | None:
        exchange = self.open_exchanges.pop(exchange_id, None)
        if exchange is not None:
            self.deadlines.cancel(exchange.backup)
            for attempt in self._attempts_of(exchange):
                attempt.is_wanted = False
        return exchange

    def _finish(self, exchange_id: int, answer: Callable[[Exchange], None]) -> None:
        exchange = self._close(exchange_id)
        if exchange is None:
            COUNTS["late_answer"] += 1
        else:
            self._call_front(lambda: answer(exchange))

    def _call_front(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception as error:  # noqa: BLE001  the failure of a front must not reach the module
            self.record_failure(error)

    def _give_up(self, exchange_id: int) -> None:
        exchange = self.open_exchanges.get(exchange_id)
        if exchange is not None:
            self._finish(exchange_id, lambda closed: closed.answer.on_failed())
            self.post(api.RequestGone(exchange_id))
            self._cancel_streaming(exchange)

    def _on_overdue(self, exchange_id: int) -> None:
        COUNTS["backup_answer"] += 1
        self._give_up(exchange_id)
