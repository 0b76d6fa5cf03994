"""The clients of a run on sockets: they send HTTP requests through the front router at the drawn times."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from hallhitch.decision import api
from hallhitch.lab.client_request import ClientTry
from hallhitch.lab.front_router import FrontRouter
from hallhitch.lab.http_messages import Reader, Writer, read_message
from hallhitch.lab.sockets.environment import SocketEnvironment
from hallhitch.lab.sockets.listener import TaskOwner
from hallhitch.lab.traffic import PlannedRequest

OnSecond = Callable[[int, dict[str, int]], None]
MAX_SLEEP_S: Final = 1.0  # between requests, so that the counts of each second are reported in time
RESPONSE_GRACE_S: Final = 1.0  # after a client's deadline, so that late answers are still received and journalled
REJECTED_CODES: Final = (429, 503)
Connection = tuple[Reader, Writer]


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """The outcome of a try: its status, and the delay of the gateway's Retry-After header."""

    status: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class _SentTry:
    id: int
    gateway: int
    client_try: ClientTry
    began_at: float


class HttpClients:
    """Sends the drawn requests; `on_second` is called every second with the counts of statuses so far.

    Connections to a gateway are pooled; each carries one request at a time.
    """

    def __init__(
        self,
        environment: SocketEnvironment,
        router: FrontRouter,
        tasks: TaskOwner,
        addresses: dict[int, tuple[str, int]],
        is_running: Callable[[int], bool],
        on_second: OnSecond | None = None,
    ) -> None:
        self._environment = environment
        self._settings = environment.settings
        self._router = router
        self._tasks = tasks
        self._addresses = addresses
        self._is_running = is_running
        self._on_second = on_second
        self._idle: dict[int, list[Connection]] = {}
        self._last_id = 0
        self.statuses: dict[str, int] = {}
        self.send_delays_ms: list[float] = []  # delays past the due times, caused by the test rig itself

    def drop_connections(self, gateway: int) -> None:
        """Drop the pooled connections to a gateway whose process has been replaced."""
        self._idle[gateway] = []

    async def send_all(self, planned_requests: list[PlannedRequest], begin_s: float) -> None:
        """Send all requests at their times after `begin_s` on the monotonic clock."""
        second = 0
        for planned_request in planned_requests:
            due_s = begin_s + planned_request.due_at / 1000
            while (remaining_s := due_s - time.monotonic()) > 0:  # noqa: ASYNC110  polls another process
                await asyncio.sleep(min(remaining_s, MAX_SLEEP_S))
            while self._on_second is not None and second <= planned_request.due_at / 1000:
                self._on_second(second, dict(self.statuses))
                second += 1
            self.send_delays_ms.append((time.monotonic() - due_s) * 1000)
            self._tasks.spawn(self._send(ClientTry(planned_request)))

    async def _send(self, client_try: ClientTry) -> None:
        """Send a try and, if it is not served, the client's retry."""
        preferred, spread = client_try.preferred_gateway, client_try.planned_request.customer.gateway_count
        number = self._router.route(preferred, spread, self._environment.time.now)
        answer = ClientAnswer("nobody there")
        if number is not None and self._is_running(number):
            self._last_id += 1
            requests = self._environment.requests
            requests.planned_requests[self._last_id] = client_try.planned_request
            requests.gateways[self._last_id] = number
            answer = await self._exchange(_SentTry(self._last_id, number, client_try, self._environment.time.now))
        self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
        if answer.status != "served" and client_try.is_retried:
            await asyncio.sleep(client_try.retry_delay_ms(answer.retry_after_ms) / 1000)
            await self._send(ClientTry(client_try.planned_request, is_retry=True))

    async def _exchange(self, sent: _SentTry) -> ClientAnswer:
        """Send a try on a pooled or new connection that carries no other request meanwhile.

        If the gateway closed a pooled connection while it was idle, the try is sent once more on a new connection: the
        gateway has not read the request.
        """
        is_journalled = False
        deadline_ms = sent.client_try.deadline_ms
        try:
            for may_reuse in (True, False):
                is_reused = may_reuse and bool(self._idle[sent.gateway])
                reader, writer = await self._connect(sent.gateway, is_reused)
                if not is_journalled:
                    is_journalled = True
                    sent.client_try.journal(
                        self._environment.journal, self._settings, sent.id, sent.gateway, sent.began_at
                    )
                writer.write(self._request_bytes(sent, deadline_ms - (self._environment.time.now - sent.began_at)))
                try:
                    async with asyncio.timeout(deadline_ms / 1000 + RESPONSE_GRACE_S):
                        status_line, headers, body = await read_message(reader)
                except (asyncio.IncompleteReadError, ConnectionError) as error:
                    writer.close()
                    if is_reused and not getattr(error, "partial", b""):
                        continue
                    raise
                answer = self._on_response(sent.id, status_line, headers, body)
                if headers.get("connection") == "close":
                    writer.close()
                else:
                    self._idle[sent.gateway].append((reader, writer))
                return answer
        except (OSError, EOFError, TimeoutError):
            pass
        return ClientAnswer("broken")

    async def _connect(self, gateway: int, is_reused: bool) -> Connection:
        if is_reused:
            return self._idle[gateway].pop()
        return await asyncio.open_connection(*self._addresses[gateway])

    def _request_bytes(self, sent: _SentTry, remaining_ms: float) -> bytes:
        planned = sent.client_try.planned_request
        request_class = self._settings.classes[planned.class_index]
        is_safe = request_class.effect == api.SAFE
        lines = [
            f"{'GET' if is_safe else 'POST'} /{request_class.name}/{planned.customer.name} HTTP/1.1",
            "Host: service.internal",
            f"Req-Id: {sent.id:016x}",
            f"X-Contract: {self._settings.plans[planned.customer.plan_index].name}",
            f"Req-Deadline-Ms: {max(1, round(remaining_ms))}",
            f"X-Metering: units=1,spread={planned.customer.gateway_count},first={planned.customer.first_gateway}",
        ]
        body = b"" if is_safe else b"part"
        if not is_safe:
            lines += [f"Idempotency-Key: {planned.key}", f"Content-Length: {len(body)}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def _on_response(self, id: int, status_line: str, headers: dict[str, str], body: bytes) -> ClientAnswer:
        code = int(status_line.split()[1])
        status = "served" if code == 200 else "refused" if code in REJECTED_CODES else "failed"
        echo = int(body) if code == 200 and body.isdigit() else 0
        self._environment.journal.add(self._environment.time.now, "answer", id, status, echo)
        return ClientAnswer(status, 1000 * float(headers.get("retry-after", 0)))
