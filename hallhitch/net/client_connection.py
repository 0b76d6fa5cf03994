"""One client's connection, whatever it speaks: reading within bounds, writing in order, and how it ends.

Invariants:
- While so much is owed that `is_full` holds, nothing more is read.
- Messages are written in the order in which they were posted.
- A connection whose long answer broke off ends with a reset, so that nobody takes its end for the answer's.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Final, Protocol

from hallhitch.core.actor import Actor
from hallhitch.core.deadlines import Deadline, Deadlines, Scheduler
from hallhitch.net.flow import Broken, Flow
from hallhitch.net.sockets import is_open_and_silent, shut_down

BUFFER_BYTES: Final = 8192
# Parsed at once, but of a body: of dozens of requests in one read most stay unparsed until their turn.
SLICE_BYTES: Final = 1024
BODY_BUFFER_BYTES: Final = 32_768  # read at once of a long body
REQUEST_TIMEOUT_MS: Final = 2500.0  # for a whole request: from connecting, from an error, or from its first byte
WRITE_TIMEOUT_MS: Final = 10_000.0  # for a client to read an answer, or the next piece of a long one
LINGER_MS: Final = 500.0  # to read on after an answer that ends a connection, so that the answer arrives
MAX_LINGER_BYTES: Final = 65_536  # read and dropped in that time; then nothing more is read
# The same, where a long request was still being received.
UPLOAD_LINGER_MS: Final = 2000.0
MAX_UPLOAD_LINGER_BYTES: Final = 1 << 26
CLOSE_WITH_RESET: Final = struct.pack("ii", 1, 0)  # the value of SO_LINGER


class StreamedMessage:
    """A message whose long body is still being received; in chunks where its head gives no length."""

    def __init__(self, head: bytes, flow: Flow, is_chunked: bool) -> None:
        self.head = head
        self.flow = flow
        self.is_chunked = is_chunked


class ConnectionOwner(Protocol):
    """Whoever holds the connections and their tasks."""

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""

    def cancel(self, connection: ClientConnection) -> None:
        """Cancel a connection's task."""


class ClientConnection(Actor[bytes | StreamedMessage]):
    """One client's connection; its mailbox holds what is to be written, in order."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, deadlines: Deadlines, scheduler: Scheduler) -> None:
        super().__init__("client", scheduler)
        self._owner = owner
        self._sock = sock
        self._deadlines = deadlines
        self.is_ending = False  # nothing more is read; it ends once no answer is owed
        self.is_ended = False
        self.is_broken_off = False  # a long answer broke off, and the connection ends with a reset
        self.had_accepted_request = False
        self.waiting_since = 0.0  # since when it may have waited to be accepted, until it is first read
        self.received_at = deadlines.clock()  # when a byte last came, or the connection
        self.partial_since = 0.0  # when what is partly received began to come; 0 if nothing is
        self.is_resumed = False  # what is partly received came in more than one piece
        self._deadline: Deadline | None = None
        self._writer: asyncio.Task[None] | None = None
        self._posted = 0  # messages posted and not yet written
        self._unsent: list[bytes | StreamedMessage] = []
        self._reading_paused: asyncio.Future[None] | None = None

    # For subclasses.

    @property
    def owes_answer(self) -> bool:
        """Whether an answer is owed."""
        raise NotImplementedError

    @property
    def is_partial(self) -> bool:
        """Whether something is partly received."""
        raise NotImplementedError

    @property
    def is_full(self) -> bool:
        """Whether so much is owed that no more is read."""
        return False

    @property
    def is_receiving_body(self) -> bool:
        """Whether a long body is being received."""
        return False

    @property
    def has_unread_upload(self) -> bool:
        """Whether the connection ends while a long request is still being received."""
        return False

    def is_late(self, now: float) -> bool:
        """Return whether what is partly received has taken too long."""
        return bool(self.partial_since) and now - self.partial_since > REQUEST_TIMEOUT_MS

    def on_overdue(self) -> None:
        """Answer that what is partly received has taken too long, and end the connection."""
        raise NotImplementedError

    def on_data(self, data: memoryview) -> None:
        """Handle received bytes."""
        raise NotImplementedError

    def on_written(self, count: int) -> None:
        """Handle that so many messages were written completely."""

    def on_closed(self) -> None:
        """Handle that the client has gone and no answer is owed any more."""
        raise NotImplementedError

    # State.

    @property
    def is_idle(self) -> bool:
        """Whether no answer is owed and nothing is partly received."""
        return not self.owes_answer and not self.is_partial

    @property
    def is_silent(self) -> bool:
        """Whether nothing unread has come, not even the end."""
        return is_open_and_silent(self._sock)

    # Reading.

    async def run(self) -> None:
        """Read until the client leaves or the connection is ended here."""
        loop, buffer = asyncio.get_running_loop(), bytearray(BUFFER_BYTES)
        view = memoryview(buffer)
        dropped = 0
        try:
            while size := await loop.sock_recv_into(self._sock, buffer):
                if self.is_receiving_body and len(buffer) < BODY_BUFFER_BYTES:
                    received = bytes(view[:size])
                    buffer = bytearray(BODY_BUFFER_BYTES)
                    buffer[:size] = received
                    view = memoryview(buffer)
                self.received_at = self._deadlines.clock()
                self.is_resumed = bool(self.partial_since) and self.is_partial
                handled = 0
                while handled < size and not self.is_ending:
                    end = size if self.has_unread_upload else min(size, handled + SLICE_BYTES)
                    self.on_data(view[handled:end])
                    handled = end
                    while handled < size and self.is_full:
                        await self._pause_reading(loop)
                if not self.is_ending:
                    self.partial_since = (self.partial_since or self.received_at) if self.is_partial else 0.0
                dropped += size - handled
                while self.is_full or (dropped > MAX_LINGER_BYTES and self._exceeds_upload_linger(dropped)):
                    await self._pause_reading(loop)
        except (OSError, asyncio.CancelledError):
            pass
        except Exception as error:  # noqa: BLE001  an outer edge: logged, and the process goes on
            self.record_failure(error)
        finally:
            self._clean_up()

    def _exceeds_upload_linger(self, dropped: int) -> bool:
        return not self.has_unread_upload or dropped > MAX_UPLOAD_LINGER_BYTES

    async def _pause_reading(self, loop: asyncio.AbstractEventLoop) -> None:
        self._reading_paused = loop.create_future()
        await self._reading_paused

    def resume_reading(self) -> None:
        """Read on, if there is room again."""
        if self._reading_paused is not None and not self.is_full and not self._reading_paused.done():
            self._reading_paused.set_result(None)

    # Writing.

    def post(self, message: bytes | StreamedMessage) -> bool:
        """Append a message to those that are to be written."""
        is_taken = super().post(message)
        self._posted += is_taken
        return is_taken

    def write_now(self, message: bytes) -> None:
        """Write a few bytes ahead of any answer, where none is owed; they are lost if the socket's buffer is full."""
        if self._writer is None and not self._posted:
            with contextlib.suppress(OSError):
                self._sock.send(message)

    def handle(self, message: bytes | StreamedMessage) -> None:
        """Write a message, behind those that wait."""
        if self.is_ended:
            if isinstance(message, StreamedMessage):
                message.flow.abandon()
            return None
        self._unsent.append(message)
        if self._writer is None and isinstance(message, bytes):
            # Most answers are sent at once; a task and a deadline are for clients that don't read theirs.
            try:
                sent = self._sock.send(message)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self.close()
            if sent == len(message):
                self._unsent.clear()
                self._posted -= 1
                self.on_written(1)
                return self._end_if_done()
            self._unsent = [message[sent:]]
        if self._writer is None:
            self._writer = asyncio.get_running_loop().create_task(self._write())
            return None
        return None

    async def _write(self) -> None:
        try:
            while self._unsent:
                messages = self._unsent
                streamed = (index for index, message in enumerate(messages) if isinstance(message, StreamedMessage))
                plain = next(streamed, len(messages))
                self._unsent = messages[plain or 1 :]
                if plain:
                    await self._send_all(b"".join(part for part in messages[:plain] if isinstance(part, bytes)))
                elif isinstance(message := messages[0], StreamedMessage):
                    await self._stream(message)
                self._posted -= plain or 1
                self.on_written(plain or 1)
        except OSError:
            return self.close()
        except Broken:
            return self._reset()
        self._writer = None
        self._end_if_done()
        return None

    async def _stream(self, message: StreamedMessage) -> None:
        try:
            async for data in message.flow.written(message.head, message.is_chunked):
                await self._send_all(data)
        finally:
            message.flow.abandon()

    async def _send_all(self, data: bytes) -> None:
        """Write all of it, within the time-out."""
        self._deadline = self._deadlines.call_after(WRITE_TIMEOUT_MS, self.close)
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, data)
        finally:
            self._deadlines.cancel(self._deadline)

    # Ending.

    def close(self) -> None:
        """End the connection; the reader then cleans up."""
        shut_down(self._sock)
        if self._reading_paused is not None:
            self._reading_paused.cancel()

    def close_if_silent(self) -> None:
        """End an idle connection, unless something unread has come on it."""
        if self.is_silent:
            self.close()

    def _end_if_done(self) -> None:
        """End the writing side of a connection that is ending, once all is written."""
        if self.is_ending and not self._posted and not self.owes_answer:
            linger_ms = UPLOAD_LINGER_MS if self.has_unread_upload else LINGER_MS
            self._deadline = self._deadlines.call_after(linger_ms, self.close)
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()

    def _reset(self) -> None:
        self.is_broken_off = True
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
        self._owner.cancel(self)

    def _clean_up(self) -> None:
        self.is_ended = True
        self._deadlines.cancel(self._deadline)
        if self._writer is not None:
            self._writer.cancel()
        self.on_closed()
        for message in self._unsent:
            if isinstance(message, StreamedMessage):
                message.flow.abandon()
        if not self.is_broken_off:
            shut_down(self._sock)
        self._sock.close()
        self._owner.on_connection_closed(self)
