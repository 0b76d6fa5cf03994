"""The clients of a virtual run: each sends its request when it is due, and may retry or leave. Times in ms."""

from __future__ import annotations

from typing import Protocol

from hallhitch.decision import api
from hallhitch.lab.client_request import ClientRequest, ClientTry
from hallhitch.lab.front_router import FrontRouter
from hallhitch.lab.journal import Journal
from hallhitch.lab.model_gateway import ModelGateway
from hallhitch.lab.traffic import PlannedRequest
from hallhitch.lab.virtual import EPOCH, VirtualTime


class Gateways(Protocol):
    """The gateways that clients send to, and what a run records of the tries."""

    journal: Journal
    router: FrontRouter
    settings: api.Settings
    time: VirtualTime
    gateways: dict[int, ModelGateway | None]


class VirtualClients:
    """Sends the drawn requests of a run through the front, in the order of their times."""

    def __init__(self, run: Gateways, planned_requests: list[PlannedRequest]) -> None:
        self._run = run
        self._planned_requests = planned_requests
        self._last_id = 0

    def start(self) -> None:
        """Schedule the first request; each schedules the next one."""
        self._schedule(0)

    def _schedule(self, index: int) -> None:
        if index < len(self._planned_requests):
            self._run.time.at(EPOCH + self._planned_requests[index].due_at, self._on_due, index)

    def _on_due(self, index: int) -> None:
        self._schedule(index + 1)
        self._send(ClientTry(self._planned_requests[index]))

    def _send(self, client_try: ClientTry) -> None:
        """Send a try to the gateway that the front picks; a dead one gives no answer."""
        run, planned_request = self._run, client_try.planned_request
        preferred = client_try.preferred_gateway
        routed = run.router.route(preferred, planned_request.customer.gateway_count, run.time.now)
        number = preferred if routed is None else routed
        gateway = run.gateways.get(number)
        if gateway is None:
            return self._retry(client_try, 0.0)
        self._last_id += 1
        client_try.journal(run.journal, run.settings, self._last_id, number, run.time.now)
        exchange = _ClientExchange(self, client_try, self._last_id, gateway)
        gateway.run(exchange.begin)
        if not client_try.is_retry and planned_request.leave_ratio < 1:
            run.time.after(client_try.deadline_ms * planned_request.leave_ratio, self._leave, exchange, number)
            return None
        return None

    def _leave(self, exchange: _ClientExchange, number: int) -> None:
        """The client closes its connection, unless it has its answer or the gateway has died."""
        if not exchange.is_answered and exchange.gateway is self._run.gateways.get(number):
            self._run.journal.add(self._run.time.now, "leave", exchange.id)
            exchange.gateway.run(exchange.on_client_gone)

    def on_answer(self, client_try: ClientTry, status: str, advice_ms: float) -> None:
        """Receive the final answer of a try."""
        if status != "served":
            self._retry(client_try, advice_ms)

    def make_request(self, exchange: _ClientExchange) -> ClientRequest:
        """Make the request of an exchange."""
        planned_request = exchange.client_try.planned_request
        return ClientRequest(exchange.id, planned_request, exchange.on_answer, self._run.journal, self._run.time)

    def _retry(self, client_try: ClientTry, advice_ms: float) -> None:
        if client_try.is_retried:
            retry = ClientTry(client_try.planned_request, is_retry=True)
            self._run.time.after(client_try.retry_delay_ms(advice_ms), self._send, retry)


class _ClientExchange:
    """A try under way in a gateway."""

    def __init__(self, clients: VirtualClients, client_try: ClientTry, id: int, gateway: ModelGateway) -> None:
        self.client_try = client_try
        self.id = id
        self.gateway = gateway
        self.is_answered = False
        self._clients = clients
        self._exchange_id = 0  # the core's number of it, once it has begun

    def begin(self) -> None:
        """Begin the exchange in the gateway's core."""
        request = self._clients.make_request(self)
        is_retry, deadline_ms = self.client_try.is_retry, self.client_try.deadline_ms
        self._exchange_id = self.gateway.begin(request, deadline_ms, is_retry)

    def on_answer(self, status: str, advice_ms: float) -> None:
        """Receive the final answer."""
        self.is_answered = True
        self._clients.on_answer(self.client_try, status, advice_ms)

    def on_client_gone(self) -> None:
        """Report the client's departure to the gateway's core."""
        self.gateway.core.on_client_gone(self._exchange_id)
