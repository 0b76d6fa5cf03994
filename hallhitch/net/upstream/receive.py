"""Receiving responses of servers, buffered or streamed, and the outcomes that they stand for."""

from __future__ import annotations

import asyncio
from typing import Final

from hallhitch.net.flow import Flow
from hallhitch.net.http import Malformed, Message, ResponseReader
from hallhitch.net.sockets import shut_down
from hallhitch.net.upstream.context import UpstreamAttempt, UpstreamConnection, UpstreamContext

BUFFER_BYTES: Final = 16_384
STREAM_BUFFER_BYTES: Final = 32_768  # size of one read of a long response
STREAM_AFTER_MS: Final = 100.0  # after which a body of unknown length is streamed
STREAM_STALL_TIMEOUT_MS: Final = 10_000.0  # after the last byte, for a streamed response to be given up

Result = tuple[str, Message | None]  # outcome, and response if there is one


async def receive_response(
    context: UpstreamContext, running: UpstreamAttempt, connection: UpstreamConnection
) -> Result:
    """Return the outcome and the response; a long response has been streamed by then.

    Raises:
        OSError: the connection broke.
        Malformed: the response cannot be read.
    """
    loop, buffer, reader = asyncio.get_running_loop(), bytearray(BUFFER_BYTES), connection.reader
    view = memoryview(buffer)
    stall_deadline, body_began_at = None, 0.0
    try:
        while True:
            size = await loop.sock_recv_into(connection.sock, buffer)
            if not size:
                return _result_at_end_of_connection(running, reader)
            response = read_response(reader, view[:size])
            if (
                response is None
                and reader.message_in_progress is not None
                and reader.received_body_bytes
                and reader.message_in_progress.length is None
            ):
                # The length is unknown until the body ends, so that a slow body is streamed instead of held back.
                body_began_at = body_began_at or context.deadlines.clock()
                if context.deadlines.clock() - body_began_at > STREAM_AFTER_MS:
                    reader.start_streaming()
                    response = read_response(reader, view[:0])
            if response is not None and response.flow is not None:
                if outcome_of(response) != "ok":
                    return outcome_of(response), None  # no client gets the body of an error
                if response.flow.broken:
                    raise Malformed(400)
                context.deadlines.cancel(stall_deadline)
                await _stream_response(context, running, connection, response, response.flow)
                return "ok", response
            if response is not None:
                return outcome_of(response), response
            # A response that has begun may never be completed. Each read grants it another connect time-out, so that a
            # slow network alone does not fail the attempt.
            context.deadlines.cancel(stall_deadline)
            stall_deadline = context.deadlines.call_after(context.connect_timeout_ms, lambda: _on_stalled(running))
    finally:
        context.deadlines.cancel(stall_deadline)


def _result_at_end_of_connection(running: UpstreamAttempt, reader: ResponseReader) -> Result:
    """Return the result of an attempt whose connection has ended."""
    if running.is_stalled:
        raise Malformed(400)
    response = next((message for message in reader.end() if message.status >= 200), None)
    if response is not None:
        return outcome_of(response), response
    return "reset" if running.is_written else "unreachable", None


def _on_stalled(running: UpstreamAttempt) -> None:
    running.is_stalled = True
    if running.connection is not None:
        shut_down(running.connection.sock)


async def _stream_response(
    context: UpstreamContext,
    running: UpstreamAttempt,
    connection: UpstreamConnection,
    response: Message,
    flow: Flow,
) -> None:
    """Stream a long response: report the attempt as successful, then read as fast as the client takes the body."""
    loop, buffer, taken = asyncio.get_running_loop(), bytearray(STREAM_BUFFER_BYTES), asyncio.Event()
    view = memoryview(buffer)

    def on_pieces_taken() -> None:
        taken.set()
        if flow.abandoned and not flow.ended:
            shut_down(connection.sock)

    flow.on_taken = on_pieces_taken
    running.is_streamed = True
    context.streaming += 1
    try:
        if not context.end(running, "ok", response):
            flow.abandon()
        while not flow.ended and not flow.broken and not flow.abandoned:
            while flow.has_pieces:
                taken.clear()
                await taken.wait()
            deadline = context.deadlines.call_after(STREAM_STALL_TIMEOUT_MS, lambda: shut_down(connection.sock))
            try:
                size = await loop.sock_recv_into(connection.sock, buffer)
            finally:
                context.deadlines.cancel(deadline)
            if not size:
                connection.reader.end()
                break
            if connection.reader.feed(view[:size]) or (flow.ended and connection.reader.partial):
                response.keep_alive = False  # excess bytes came after the response
    except (OSError, Malformed):
        response.keep_alive = False
    finally:
        context.streaming -= 1
        flow.fail()
        response.keep_alive = response.keep_alive and flow.ended and not flow.abandoned


def read_response(reader: ResponseReader, data: memoryview) -> Message | None:
    """Return the final response once it is complete or streamed; after excess bytes its connection is not reused.

    Raises:
        Malformed: the bytes cannot be parsed, and no final response precedes them.
    """
    has_excess_bytes = False
    try:
        responses = reader.feed(data)
    except Malformed:
        responses, has_excess_bytes = reader.take_completed(), True
        if all(response.status < 200 for response in responses):
            raise
    final = [response for response in responses if response.status >= 200]
    if not final:
        return None
    final[0].keep_alive = final[0].keep_alive and len(final) == 1 and not has_excess_bytes and not reader.partial
    return final[0]


def outcome_of(response: Message) -> str:
    """Return the outcome that a response's status stands for."""
    if response.status == 200:
        return "ok"
    is_declined = response.headers.get(b"srv-declined") == b"1" and b"srv-declined" not in response.repeated_names
    if response.status in (503, 504) and is_declined:
        return "full"
    return "error"
