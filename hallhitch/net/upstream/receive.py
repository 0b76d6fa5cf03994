"""Receiving of answers: complete ones, long ones that are passed on while they come, and what they mean."""

from __future__ import annotations

import asyncio
from typing import Final

from hallhitch.net.flow import Flow
from hallhitch.net.http import AnswerReader, Malformed, Message
from hallhitch.net.sockets import shut_down
from hallhitch.net.upstream.context import UpstreamAttempt, UpstreamConnection, UpstreamContext

BUFFER_BYTES: Final = 16_384
STREAM_BUFFER_BYTES: Final = 32_768  # read at once of a long answer
STREAM_AFTER_MS: Final = 100.0  # after which a body of unknown length is passed on while it comes
STREAM_STALL_TIMEOUT_MS: Final = 10_000.0  # without a byte, after which a long answer is given up

Result = tuple[str, Message | None]  # outcome and answer


async def receive_answer(context: UpstreamContext, running: UpstreamAttempt, connection: UpstreamConnection) -> Result:
    """Return the outcome with the answer, or with its head if its long body was passed on while it came.

    Raises:
        OSError: the connection broke.
        Malformed: the answer cannot be read.
    """
    loop, buffer, reader = asyncio.get_running_loop(), bytearray(BUFFER_BYTES), connection.reader
    view = memoryview(buffer)
    stall_deadline, body_began_at = None, 0.0
    try:
        while True:
            size = await loop.sock_recv_into(connection.sock, buffer)
            if not size:
                return _result_at_end(running, reader)
            answer = read_answer(reader, view[:size])
            if answer is None and reader.begun is not None and reader.size and reader.begun.length is None:
                # Its length shows at its end alone: a body that takes its time is not held back.
                body_began_at = body_began_at or context.deadlines.clock()
                if context.deadlines.clock() - body_began_at > STREAM_AFTER_MS:
                    reader.pass_on()
                    answer = read_answer(reader, view[:0])
            if answer is not None and answer.flow is not None:
                if outcome_of(answer) != "ok":
                    return outcome_of(answer), None  # no client gets an error's body: the rest is not read
                if answer.flow.broken:
                    raise Malformed(400)
                context.deadlines.cancel(stall_deadline)
                await _stream_answer(context, running, connection, answer, answer.flow)
                return "ok", answer
            if answer is not None:
                return outcome_of(answer), answer
            # An answer that has begun goes on coming or never ends; a slow network alone is no reason to give up yet.
            context.deadlines.cancel(stall_deadline)
            stall_deadline = context.deadlines.call_after(context.connect_timeout_ms, lambda: _on_stalled(running))
    finally:
        context.deadlines.cancel(stall_deadline)


def _result_at_end(running: UpstreamAttempt, reader: AnswerReader) -> Result:
    """Return the result of an attempt whose connection was closed by the server."""
    if running.is_stalled:
        raise Malformed(400)
    answer = next((message for message in reader.end() if message.status >= 200), None)
    if answer is not None:
        return outcome_of(answer), answer
    return "reset" if running.is_written else "unreachable", None


def _on_stalled(running: UpstreamAttempt) -> None:
    running.is_stalled = True
    if running.connection is not None:
        shut_down(running.connection.sock)


async def _stream_answer(
    context: UpstreamContext,
    running: UpstreamAttempt,
    connection: UpstreamConnection,
    answer: Message,
    flow: Flow,
) -> None:
    """Pass a long answer on: the attempt has ended well, the rest comes as fast as the client takes it."""
    loop, buffer, taken = asyncio.get_running_loop(), bytearray(STREAM_BUFFER_BYTES), asyncio.Event()
    view = memoryview(buffer)

    def on_taken() -> None:
        taken.set()
        if flow.abandoned and not flow.ended:
            shut_down(connection.sock)

    flow.taken = on_taken
    running.is_streamed = True
    context.streaming += 1
    try:
        if not context.end(running, "ok", answer):
            flow.abandon()
        while not flow.ended and not flow.broken and not flow.abandoned:
            while flow.waits:
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
                answer.keep = False  # there is more than belongs to the answer
    except (OSError, Malformed):
        answer.keep = False
    finally:
        context.streaming -= 1
        flow.fail()
        answer.keep = answer.keep and flow.ended and not flow.abandoned


def read_answer(reader: AnswerReader, data: memoryview) -> Message | None:
    """Return the final answer once it is complete; bytes behind it only end the connection.

    Raises:
        Malformed: there is no final answer before what cannot be read.
    """
    has_excess = False
    try:
        answers = reader.feed(data)
    except Malformed:
        answers, has_excess = reader.completed(), True
        if all(answer.status < 200 for answer in answers):
            raise
    final = [answer for answer in answers if answer.status >= 200]
    if not final:
        return None
    final[0].keep = final[0].keep and len(final) == 1 and not has_excess and not reader.partial
    return final[0]


def outcome_of(answer: Message) -> str:
    """Return the outcome that an answer's status stands for."""
    if answer.status == 200:
        return "ok"
    is_declined = answer.headers.get(b"srv-declined") == b"1" and b"srv-declined" not in answer.twice
    if answer.status in (503, 504) and is_declined:
        return "full"
    return "error"
