"""The ingress: HTTP client connections, from the first byte of a request to the last byte of its response.

Invariants:
- A connection has at most one open exchange; up to MAX_QUEUED_REQUESTS further requests wait in order.
- A request that is not acceptable is not counted or forwarded, and the core learns nothing from it.
"""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Final

from hallhitch.core.deadlines import Deadlines
from hallhitch.core.invariants import COUNTS, invariant
from hallhitch.core.module import Core
from hallhitch.decision import api
from hallhitch.net.acceptor import Acceptor
from hallhitch.net.client_connection import BUFFER_BYTES, REQUEST_TIMEOUT_MS, ClientConnection, StreamedMessage
from hallhitch.net.flow import Flow
from hallhitch.net.http import Malformed, Message, RequestReader, encode_response, encode_response_head, path_of
from hallhitch.net.request_limits import (
    CUSTOMER,
    CUSTOMER_END,
    IDEMPOTENCY_KEY,
    MAX_DEADLINE_MS,
    REQUEST_ID,
    SINGLE_HEADERS,
    RequestLimits,
    UnacceptableRequest,
    parse_metering,
    parse_whole_number,
)

MAX_QUEUED_REQUESTS: Final = 8  # requests read ahead on one connection; more are left unread
REJECTED_STATUSES: Final = (429, 503)
# After SIGTERM the platform waits for the longest deadline (MIN_KILL_DEADLINE_MS at least) and 700 ms more, and then
# kills the process. 300 ms of these are reserved for the process itself.
MIN_KILL_DEADLINE_MS: Final = 3000.0
KILL_GRACE_MS: Final = 700.0 - 300.0
MIN_BODY_BYTES_PER_MS: Final = 16.0  # minimum average rate of a buffered body, apart from REQUEST_TIMEOUT_MS
MAX_BUFFERED_BODY_BYTES: Final = 1 << 20  # of one long body, while the memory for all lasts
SPARE_RETRY_AFTER_MS: Final = 1000.0
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
# Delay before more is read after an unacceptable request, so that a flood of them costs little. It doubles with each
# further one, MAX_ERROR_DELAY_DOUBLINGS times at most.
ERROR_DELAY_MS: Final = 100.0
MAX_ERROR_DELAY_DOUBLINGS: Final = 4


def always_healthy() -> bool:
    """Report a healthy gateway."""
    return True


def ignore_request_ended(class_name: str, outcome: str) -> None:
    """Do nothing."""


class HttpClientConnection(ClientConnection):
    """One HTTP client connection; it also receives the outcome of the exchange that is open on it."""

    def __init__(self, ingress: Ingress, sock: socket.socket, spare: bool) -> None:
        super().__init__(ingress, sock, ingress.deadlines, ingress.scheduler)
        self._ingress = ingress
        self._is_spare = spare
        self._reader = RequestReader(can_stream=True, reserve_buffer=self._reserve_buffer)
        self._held_bytes = 0  # reserved from the ingress's limit for buffered long bodies
        self._queued_requests: deque[tuple[Message, RequestLimits]] = deque()
        self._current_request: Message | None = None  # the request that is being answered
        self._class_name = ""  # of the current request, "" if it names no known class
        self._outcome = ""  # of the current request, once its response is being written
        self._exchange_id = 0  # of the current request; 0 if no exchange is open
        self._request_id = b""
        self._receiving_request: Message | None = None  # the request whose body is being received
        self._body_began_at = 0.0
        self._forwarded_body: Flow | None = None  # of the current request, while it is forwarded as it is received
        self._progressed_at = 0.0  # when a byte was last received, or the client was last not allowed to send
        self.waited_ms = 0.0  # how long the latest bytes had waited in the socket or backlog before they were read
        self._is_pipelining = False  # the client has sent a request before it got the response to the previous one
        self._error_count = 0
        self._is_throttled = False  # not read for a while, as a request was not acceptable
        self._final_status = 0  # status of the error response that ends the connection; 0 if there is none

    @property
    def owes_response(self) -> bool:
        """Whether the client is owed a response."""
        return self._current_request is not None or bool(self._queued_requests)

    @property
    def is_partial(self) -> bool:
        """Whether a request is partly received."""
        return self._reader.partial

    @property
    def is_full(self) -> bool:
        """Whether reading has to wait: too much is pending, or the client is throttled after errors."""
        if self.is_ending:
            return False
        body = self._receiving_request.flow if self._receiving_request is not None else None
        is_server_slow = body is not None and body.has_pieces
        if len(self._queued_requests) >= MAX_QUEUED_REQUESTS or self._is_throttled or is_server_slow:
            return True
        # While connections are being ended, a pipelining client is not read until it has its responses: a connection
        # ends only when no request is queued, so that one that never stops sending would never end.
        return (
            self._is_pipelining and self.owes_response and self._receiving_request is None and self._ingress.is_leaving
        )

    @property
    def is_receiving_body(self) -> bool:
        """Whether a long body is being received."""
        return self._receiving_request is not None and self._reader.received_body_bytes > BUFFER_BYTES

    @property
    def has_unread_upload(self) -> bool:
        """Whether the connection ends while a long body is still being received."""
        return self._receiving_request is not None and not self._final_status

    def is_late(self, now: float) -> bool:
        """Return whether the partial request is late: a head by its total time, a body by its progress and rate."""
        if self.is_full:
            self._progressed_at = now  # the client cannot send, so its time does not run
        if self._receiving_request is None:
            return super().is_late(now)
        if now - self._progressed_at > REQUEST_TIMEOUT_MS:
            return True
        if self._forwarded_body is not None:
            return False
        return now - self._body_began_at > REQUEST_TIMEOUT_MS + self._reader.received_body_bytes / MIN_BODY_BYTES_PER_MS

    def _reserve_buffer(self, size: int) -> bool:
        """Reserve memory for `size` more bytes of a body to buffer; return False if it has to be forwarded instead."""
        exceeds_total = self._ingress.held_bytes + size > self._ingress.max_held_bytes
        if self._reader.received_body_bytes > MAX_BUFFERED_BODY_BYTES or exceeds_total:
            return False
        self._held_bytes += size
        self._ingress.held_bytes += size
        return True

    def _release_buffer(self) -> None:
        self._ingress.held_bytes -= self._held_bytes
        self._held_bytes = 0

    def on_overdue(self) -> None:
        """Answer that the request timed out, and end the connection."""
        if not self._final_status:
            self._final_status = 408
            self._reader.fail()
            # The body that is late is the one that the current request forwards, so that it will never be complete.
            if self._forwarded_body is not None and self._exchange_id:
                self._ingress.core.on_client_gone(self._exchange_id)
                return self._respond(408, close=True)
            self._start_next()
            return None
        return None

    def on_data(self, data: memoryview) -> None:
        """Parse requests; malformed bytes are answered with an error status, which ends the connection."""
        if self._final_status:
            return
        limits, self._progressed_at = self._ingress.limits, self.received_at
        self.waited_ms = self._progressed_at - self.waiting_since if self.waiting_since else self._ingress.loop_lag_ms()
        self.waiting_since = 0.0
        try:
            self._queued_requests.extend((request, limits) for request in self._reader.feed(data))
        except Malformed as error:
            COUNTS["malformed"] += 1
            self._final_status = error.status  # sent after the responses to the complete requests before it
            self._queued_requests.extend((request, limits) for request in self._reader.take_completed())
        previous, self._receiving_request = self._receiving_request, self._reader.message_in_progress
        if self._receiving_request is not None and self._receiving_request is not previous:
            self._body_began_at = self._progressed_at
        if self._forwarded_body is not None and self._forwarded_body.ended:
            self._on_body_complete()
        if self._reader.expects_continue and not self.owes_response and not self._final_status:
            self._reader.expects_continue = False
            self.write_now(CONTINUE)
        self._start_next()
        self._is_pipelining = self._is_pipelining or (self._current_request is not None and bool(self._queued_requests))

    def _on_body_complete(self) -> None:
        """Start the deadline of the current request, which was forwarded while it was received and is now complete."""
        self._forwarded_body = None
        self._ingress.uploading.discard(self)
        if self._exchange_id:
            self._ingress.core.on_request_complete(self._exchange_id)

    def on_closed(self) -> None:
        """Close the open exchange, as the client has disconnected."""
        self._ingress.open_ids.discard(self._request_id)
        self._reader.close()
        self._release_buffer()
        if self.is_broken_off:
            self._outcome = "failed"
        if self._exchange_id:
            self._ingress.core.on_client_gone(self._exchange_id)
        self._end_request()

    def _start_next(self) -> None:  # noqa: PLR0911  one return for each case
        """Start the next request, if none is in progress."""
        if self._current_request is not None or self._is_throttled:
            return None
        if not self._queued_requests:
            if self._final_status:
                self.is_ending = True
                self.post(encode_response(self._final_status, close=True))
            return None
        request, limits = self._queued_requests.popleft()
        self._current_request = request
        self._ingress.on_active(self)
        path = path_of(request.target)
        if path == b"/_health":
            is_healthy = self._ingress.is_healthy()
            return self._respond(200 if is_healthy else 503, b"ok" if is_healthy else b"draining")
        named_class = limits.class_of(path)
        if named_class is not None:
            self._class_name = named_class[1].name
            self._ingress.in_flight += 1
        if self._is_spare:
            return self.on_rejected(SPARE_RETRY_AFTER_MS, status=503)
        try:
            self._exchange_id = self._ingress.begin(request, path, self, limits, named_class)
        except UnacceptableRequest as error:
            self._throttle()
            return self._respond(error.status, error.text.encode())
        self.had_accepted_request = True
        self._request_id = request.headers[b"req-id"]
        if request.flow is not None:
            request.flow.on_taken = self.resume_reading
            if request.flow.ended:
                self._ingress.core.on_request_complete(self._exchange_id)
                return None
            self._forwarded_body = request.flow
            self._ingress.uploading.add(self)
            return None
        return None

    def _throttle(self) -> None:
        """Stop reading from the client for a while, as its request was not acceptable."""
        COUNTS["unacceptable"] += 1
        self._is_throttled = True
        doublings = min(self._error_count, MAX_ERROR_DELAY_DOUBLINGS)
        self._ingress.deadlines.call_after(ERROR_DELAY_MS * 2**doublings, self._end_throttling)
        self._error_count += 1

    def _end_throttling(self) -> None:
        self._is_throttled = False
        if not self.is_ended:
            self._start_next()
            self.resume_reading()

    # The final response, one for each request.

    def on_served(self, payload: object) -> None:
        """Answer with a server's response; a long body is streamed."""
        assert isinstance(payload, Message)
        content_type = payload.headers.get(b"content-type")
        headers = b"Content-Type: %s\r\n" % content_type if content_type else b""
        self._respond(200, payload.body, headers, streamed=payload)

    def on_rejected(self, advice: float, status: int = 429) -> None:
        """Reject the request and advise the client to retry after `advice` ms."""
        self._respond(status, headers=b"Retry-After: %.3f\r\n" % max(0.001, advice / 1000))

    def on_failed(self) -> None:
        """Answer with 502, as no result is known."""
        self._respond(502)

    def _respond(
        self,
        status: int,
        body: bytes = b"",
        headers: bytes = b"",
        close: bool = False,
        streamed: Message | None = None,
    ) -> None:
        """Write the response to the current request; the body of a `streamed` message is written as it is received."""
        request, flow = self._current_request, streamed.flow if streamed is not None else None
        if self.is_ended or not invariant(request is not None, "an answer for an open request") or request is None:
            if flow is not None:
                flow.abandon()
            return
        is_incomplete = request.flow is not None and not request.flow.ended  # the gateway does not wait for the rest
        close = close or self.is_ending or self._is_spare or not request.keep_alive or is_incomplete
        if request.flow is not None:
            request.flow.abandon()
        if self._forwarded_body is not None:
            self._forwarded_body = None
            self._ingress.uploading.discard(self)
        self._release_buffer()
        close = close or (self._ingress.is_leaving and not self._queued_requests and not self._final_status)
        self.is_ending, self._exchange_id = close, 0
        self._outcome = "served" if status == 200 else "refused" if status in REJECTED_STATUSES else "failed"
        self._ingress.open_ids.discard(self._request_id)
        self._request_id = b""
        if flow is None or streamed is None:
            response_head = encode_response_head(
                status, len(body), headers=headers, close=close, version=request.version
            )
            self.post(response_head if request.method == b"HEAD" else response_head + body)
            return
        is_chunked = streamed.length is None and request.version != "1.0"
        # The end of the connection marks the end of a body that has no length and is not chunked.
        self.is_ending = close = close or (streamed.length is None and not is_chunked)
        response_head = encode_response_head(
            status, streamed.length, headers=headers, close=close, version=request.version
        )
        if not self.post(StreamedMessage(response_head, flow, is_chunked)):
            flow.abandon()
            self.close()

    def _end_request(self) -> None:
        """Report the end of the current request, unless its client disconnected before it was answered."""
        if self._class_name:
            self._ingress.in_flight -= 1
            if self._outcome:
                self._ingress.on_request_ended(self._class_name, self._outcome)
        self._class_name = self._outcome = ""

    def on_written(self, count: int) -> None:
        """Finish the current request, as its response was written, and start the next one."""
        self._end_request()
        self._current_request = None
        if self.is_ending:
            self._queued_requests.clear()
        else:
            self._ingress.on_idle(self)
            self._start_next()
            self.resume_reading()


class Ingress(Acceptor):
    """Accepts HTTP clients and opens an exchange of the core for each acceptable request."""

    def __init__(  # noqa: PLR0913  the parts that a gateway wires together
        self,
        core: Core,
        settings: api.Settings,
        deadlines: Deadlines,
        scheduler: asyncio.AbstractEventLoop,
        max_clients: int,
        spare: int,
        is_shared: bool = False,
        max_held_bytes: int = 0,
        is_healthy: Callable[[], bool] = always_healthy,
        on_request_ended: Callable[[str, str], None] = ignore_request_ended,
    ) -> None:
        """`is_healthy` decides health checks; `on_request_ended` gets the class and the outcome of each request."""
        super().__init__(deadlines, scheduler, max_clients, spare, is_shared)
        self.core = core
        self.limits = RequestLimits(settings)
        self.is_healthy = is_healthy
        self.on_request_ended = on_request_ended
        self._last_response_at = math.inf  # latest time for a response, before the platform kills the process
        self.held_bytes = 0  # memory reserved for buffered long bodies
        self.max_held_bytes = max_held_bytes
        self.in_flight = 0  # requests of known classes whose response is not written yet
        self.open_ids: set[bytes] = set()  # Req-Id values of the open exchanges

    def apply_settings(self, settings: api.Settings) -> None:
        """Use new settings for the requests that are read from now on."""
        self.limits = RequestLimits(settings)

    def make_connection(self, sock: socket.socket, spare: bool) -> ClientConnection:
        """Return the actor of a new connection."""
        return HttpClientConnection(self, sock, spare)

    def stop(self) -> None:
        """Begin to stop; no new request gets a deadline after the time at which the platform kills the process."""
        longest_ms = max(kind.deadline for kind in self.limits.settings.classes)
        kill_at = self.deadlines.clock() + max(MIN_KILL_DEADLINE_MS, longest_ms) + KILL_GRACE_MS
        self._last_response_at = min(self._last_response_at, kill_at)
        super().stop()

    def loop_lag_ms(self) -> float:
        """Return the time since this iteration of the event loop began; what is read in it had arrived by then."""
        return max(0.0, (time.monotonic() - self.scheduler.time()) * 1000)

    def _remaining_ms(self) -> float:
        """Return the time that remains for any request before the platform kills a stopping process."""
        return max(1.0, self._last_response_at - self.deadlines.clock())

    def begin(  # noqa: C901  a sequence of checks
        self,
        request: Message,
        path: bytes,
        connection: HttpClientConnection,
        limits: RequestLimits,
        named_class: tuple[int, api.RequestClass] | None,
    ) -> int:
        """Open an exchange for a request and return its id.

        Raises:
            UnacceptableRequest: the request is not acceptable.
        """
        headers = request.headers
        if not SINGLE_HEADERS.isdisjoint(request.repeated_names):
            raise UnacceptableRequest(400, "a header came twice")
        if headers.get(b"expect", b"100-continue").lower() != b"100-continue":
            raise UnacceptableRequest(417, "the expectation is not supported")
        parts = path.split(b"/")
        if len(parts) < 3 or parts[0]:
            raise UnacceptableRequest(404, "the path is no /class/customer")
        if named_class is None:
            raise UnacceptableRequest(404, "the path names no known class")
        if not CUSTOMER.fullmatch(parts[-1]) or int(parts[-1], 16) >= CUSTOMER_END:
            raise UnacceptableRequest(404, "the path names no customer")
        class_index, kind = named_class
        if request.method != (b"GET" if kind.effect == api.SAFE else b"POST"):
            raise UnacceptableRequest(405, "the class has another method")
        if (request.body or request.flow) and kind.effect == api.SAFE:
            raise UnacceptableRequest(400, "the class has no body")
        if kind.effect == api.KEYED and not IDEMPOTENCY_KEY.fullmatch(headers.get(b"idempotency-key", b"")):
            raise UnacceptableRequest(400, "Idempotency-Key is missing or malformed")
        plan_index = limits.plans.get(headers.get(b"x-contract", b""))
        if plan_index is None:
            raise UnacceptableRequest(400, "X-Contract names no known plan")
        request_id = headers.get(b"req-id", b"")
        if not REQUEST_ID.fullmatch(request_id):
            raise UnacceptableRequest(400, "Req-Id is missing or malformed")
        if request_id in self.open_ids:
            raise UnacceptableRequest(409, "Req-Id is that of an open request")
        deadline_ms = parse_whole_number(headers.get(b"req-deadline-ms"), "Req-Deadline-Ms")
        if not 1 <= deadline_ms <= MAX_DEADLINE_MS:
            raise UnacceptableRequest(400, "Req-Deadline-Ms is out of range")
        units, spread = parse_metering(
            headers.get(b"x-metering", b""), limits.settings.max_units, limits.settings.gateways
        )
        self.open_ids.add(request_id)
        # The client's deadline is capped by the deadline of its class and by the time until the process is killed.
        return self.core.open_exchange(
            parts[-1].decode(),
            plan_index,
            class_index,
            min(float(deadline_ms), kind.deadline, self._remaining_ms()),
            connection,
            request,
            units=units,
            spread=spread,
            is_write=kind.effect != api.SAFE,
            is_retry=headers.get(b"req-retry") == b"1",
            request_class=kind,
            is_incomplete=request.flow is not None,
            waited_ms=connection.waited_ms,
        )
