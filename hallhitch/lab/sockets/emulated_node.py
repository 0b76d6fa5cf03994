"""A model node behind an HTTP listener.

One listener serves all gateways; the request id tells which gateway an attempt comes from. Network faults are applied
at the node, when an attempt arrives.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from hallhitch.decision import api
from hallhitch.lab.http_messages import Reader, Writer, encode_response, read_message
from hallhitch.lab.model_upstream import OUTCOME_AT_GATEWAY, REUSABLE_OUTCOMES
from hallhitch.lab.node import Node, NodeState, Work
from hallhitch.lab.sockets.environment import AttemptInProgress, SocketEnvironment
from hallhitch.lab.sockets.listener import Listener

DEFAULT_DEADLINE_MS: Final = "10000"  # for attempts without the deadline header; longer than any deadline in a scenario


@dataclass(frozen=True, slots=True)
class _ReceivedAttempt:
    """An attempt that has arrived at the node, and the connection it arrived on."""

    id: int
    number: int
    reader: Reader
    writer: Writer
    idle_ms: float  # how long the connection was idle before the attempt
    ends_at: float  # the deadline, in Unix ms


class EmulatedNode:
    """Serves the work of a modelled node over HTTP."""

    def __init__(self, model: Node, environment: SocketEnvironment) -> None:
        self.model = model
        self._environment = environment
        self._requests = environment.requests
        self._network = environment.network
        self._time = environment.time
        self._journal = environment.journal
        self.listener = Listener(self._serve)

    async def start(self) -> EmulatedNode:
        """Start listening."""
        await self.listener.start()
        return self

    def stop(self, state: NodeState) -> None:
        """Take the node down and abort its connections."""
        self.model.stop(state)
        self.listener.stop()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        """Serve the attempts of one connection, one after another."""
        world, model = self._environment.world, self.model
        if model.connections >= world.connections:
            return
        model.connections += 1
        model.charge(world.handshake_work)
        await asyncio.sleep(self._network.delay(0, 0) / 1000)
        idle_since: float | None = None
        try:
            while True:
                _, headers, _ = await read_message(reader)
                idle_ms = self._time.now - idle_since if idle_since is not None else 0.0
                if not await self._serve_request(headers, reader, writer, idle_ms):
                    return
                idle_since = self._time.now
        finally:
            model.connections -= 1

    async def _serve_request(self, headers: dict[str, str], reader: Reader, writer: Writer, idle_ms: float) -> bool:
        """Serve one attempt; returns whether its connection can be reused."""
        id = int(headers["req-id"], 16)
        in_progress = AttemptInProgress(reader)
        previous = self._requests.in_progress.get(id)
        if previous is not None:
            # The event loop reports connections in any order. If the connection of the previous attempt is closed, the
            # end of that attempt must be journalled before this one.
            await asyncio.sleep(0)
            if previous.reader.at_eof():
                await previous.is_journalled.wait()
        self._requests.in_progress[id] = in_progress
        try:
            return await self._serve_attempt(id, headers, reader, writer, idle_ms)
        finally:
            in_progress.is_journalled.set()
            if self._requests.in_progress.get(id) is in_progress:
                del self._requests.in_progress[id]

    async def _serve_attempt(
        self, id: int, headers: dict[str, str], reader: Reader, writer: Writer, idle_ms: float
    ) -> bool:
        gateway = self._requests.gateways[id]
        if not await self._environment.reaches(gateway, self.model.name):
            await reader.read(1)  # the attempt never arrived: the gateway gets no response until it gives up
            return False
        number = self._requests.next_attempt_number(id)
        self._journal.add(self._time.now, "send", id, number, gateway, self.model.name)
        ends_at = self._time.now + float(headers.get("req-deadline-ms", DEFAULT_DEADLINE_MS))
        attempt = _ReceivedAttempt(id, number, reader, writer, idle_ms, ends_at)
        if self._draw_reset(attempt):
            self._journal.add(self._time.now, "done", id, number, "reset")
            return False
        return await self._execute(attempt)

    def _draw_reset(self, attempt: _ReceivedAttempt) -> bool:
        """Return whether the connection is reset, either because it was idle for too long or by a draw.

        A drawn reset may come after the request has arrived; the node then does the work without a response.
        """
        is_stale = attempt.idle_ms > self._network.stale
        if not is_stale and not self._network.draw_reset():
            return False
        if not is_stale and not self._network.draw_lost_before_arrival():
            self.model.take(self._make_work(attempt, lambda outcome, echo: None))
        return True

    async def _execute(self, attempt: _ReceivedAttempt) -> bool:
        """Have the model do the work and write the response, unless the gateway closes the connection first."""
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[tuple[str, int]] = loop.create_future()

        def on_reply(outcome: str, echo: int) -> None:
            if not reply.done():
                reply.set_result((outcome, echo))

        self.model.take(self._make_work(attempt, on_reply))
        # Requests are not pipelined, so a read that completes now means that the connection was closed.
        connection_closed: asyncio.Future[bytes] = loop.create_task(attempt.reader.read(1))
        pending: set[asyncio.Future[Any]] = {connection_closed, reply}
        await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        if not reply.done():
            self._journal.add(self._time.now, "done", attempt.id, attempt.number, "cancelled")
            return False
        outcome, echo = reply.result()
        outcome_at_gateway = OUTCOME_AT_GATEWAY.get(outcome, outcome)
        self._journal.add(self._time.now, "done", attempt.id, attempt.number, outcome_at_gateway)
        attempt.writer.write(response_bytes(outcome, echo))
        connection_closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await connection_closed
        return outcome in REUSABLE_OUTCOMES

    def _make_work(self, attempt: _ReceivedAttempt, on_reply: Callable[[str, int], None]) -> Work:
        planned_request = self._requests.planned_requests[attempt.id]
        request_class = self._environment.settings.classes[planned_request.class_index]
        return Work(
            attempt.id,
            attempt.number,
            planned_request.service_ms,
            attempt.ends_at,
            planned_request.key,
            request_class.repeat_window,
            request_class.effect != api.SAFE,
            on_reply,
        )


def response_bytes(outcome: str, echo: int) -> bytes:
    """Encode the response to an outcome of the node's model; empty for a reset."""
    if outcome == "ok":
        return encode_response(200, b"%d" % echo)
    if outcome == "twice":
        return encode_response(200, b"%d" % echo) * 2
    if outcome == "error":
        return encode_response(500)
    if outcome == "full":
        return encode_response(503, extra="Srv-Declined: 1\r\n")
    if outcome == "spoilt":
        return b"HTTP/1.1 200 OK\r\nContent-Length: none\r\n\r\n"
    return b""
