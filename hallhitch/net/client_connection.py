"""One client connection, independent of its protocol: bounded reading, ordered writing, and closing.

Invariants:
- Nothing is read while `is_full` holds.
- Messages are written in the order in which they were posted.
- If a streamed response breaks off, the connection ends with a TCP reset, so that the client does not take the end of
  the connection for the end of the response.
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
# Bytes parsed at a time, except within a body. When one read brings dozens of requests, most of them stay unparsed
# until the requests before them have been handled.
PARSE_SLICE_BYTES: Final = 1024
BODY_BUFFER_BYTES: Final = 32_768  # size of one read of a long body
REQUEST_TIMEOUT_MS: Final = 2500.0  # for a whole request: from the connect, from an error, or from its first byte
WRITE_TIMEOUT_MS: Final = 10_000.0  # for a client to read a response, or the next piece of a streamed one
LINGER_MS: Final = 500.0  # to continue reading after the last response: an early close could destroy it
MAX_LINGER_BYTES: Final = 65_536  # read and dropped in that time; after that reading stops
# The same two limits, for a connection that was still receiving a long request.
UPLOAD_LINGER_MS: Final = 2000.0
MAX_UPLOAD_LINGER_BYTES: Final = 1 << 26
CLOSE_WITH_RESET: Final = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0


class StreamedMessage:
    """A message to write whose body is still being received; `is_chunked` if its head declares no length."""

    def __init__(self, head: bytes, flow: Flow, is_chunked: bool) -> None:
        self.head = head
        self.flow = flow
        self.is_chunked = is_chunked


class ConnectionOwner(Protocol):
    """The owner of the connections and of their tasks."""

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""

    def cancel(self, connection: ClientConnection) -> None:
        """Cancel a connection's task."""


class ClientConnection(Actor[bytes | StreamedMessage]):
    """One client connection; its mailbox holds the messages to write, in order."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, deadlines: Deadlines, scheduler: Scheduler) -> None:
        super().__init__("client", scheduler)
        self._owner = owner
        self._sock = sock
        self._deadlines = deadlines
        self.is_ending = False  # received bytes are dropped; the connection ends once no response is owed
        self.is_ended = False
        self.is_broken_off = False  # a streamed response broke off; the connection ends with a reset
        self.had_accepted_request = False
        self.waiting_since = 0.0  # from when it may have waited in the listen backlog; 0 after the first read
        self.received_at = deadlines.clock()  # when a byte was last received, initially the time of the connect
        self.partial_since = 0.0  # when the first byte of the partial request was received; 0 if there is none
        self.is_resumed = False  # the partial request was received in more than one read
        self._deadline: Deadline | None = None
        self._writer_task: asyncio.Task[None] | None = None
        self._unwritten_count = 0  # messages that were posted and are not yet written
        self._unsent_messages: list[bytes | StreamedMessage] = []
        self._resume_future: asyncio.Future[None] | None = None

    # Hooks for subclasses.

    @property
    def owes_response(self) -> bool:
        """Whether the client is owed a response."""
        raise NotImplementedError

    @property
    def is_partial(self) -> bool:
        """Whether a request is partly received."""
        raise NotImplementedError

    @property
    def is_full(self) -> bool:
        """Whether reading has to wait, as too much is pending."""
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
        """Return whether the partial request has exceeded its time-out."""
        return bool(self.partial_since) and now - self.partial_since > REQUEST_TIMEOUT_MS

    def on_overdue(self) -> None:
        """Answer that the partial request timed out, and end the connection."""
        raise NotImplementedError

    def on_data(self, data: memoryview) -> None:
        """Handle received bytes."""
        raise NotImplementedError

    def on_written(self, count: int) -> None:
        """Handle that `count` messages were written completely."""

    def on_closed(self) -> None:
        """Handle that the client disconnected: no response is owed any more."""
        raise NotImplementedError

    # State.

    @property
    def is_idle(self) -> bool:
        """Whether no response is owed and no request is partly received."""
        return not self.owes_response and not self.is_partial

    @property
    def is_silent(self) -> bool:
        """Whether the socket is open and has nothing to read, not even its end."""
        return is_open_and_silent(self._sock)

    # Reading.

    async def run(self) -> None:
        """Read until the client disconnects or this side closes the connection."""
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
                    end = size if self.has_unread_upload else min(size, handled + PARSE_SLICE_BYTES)
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
        except Exception as error:  # noqa: BLE001  top level of the task: logged, and the process continues
            self.record_failure(error)
        finally:
            self._clean_up()

    def _exceeds_upload_linger(self, dropped: int) -> bool:
        return not self.has_unread_upload or dropped > MAX_UPLOAD_LINGER_BYTES

    async def _pause_reading(self, loop: asyncio.AbstractEventLoop) -> None:
        self._resume_future = loop.create_future()
        await self._resume_future

    def resume_reading(self) -> None:
        """Continue reading, unless `is_full` still holds."""
        if self._resume_future is not None and not self.is_full and not self._resume_future.done():
            self._resume_future.set_result(None)

    # Writing.

    def post(self, message: bytes | StreamedMessage) -> bool:
        """Queue a message to be written; return whether the mailbox accepted it."""
        is_taken = super().post(message)
        self._unwritten_count += is_taken
        return is_taken

    def write_now(self, message: bytes) -> None:
        """Write a few bytes at once if no message is pending; they are lost if the send buffer is full."""
        if self._writer_task is None and not self._unwritten_count:
            with contextlib.suppress(OSError):
                self._sock.send(message)

    def handle(self, message: bytes | StreamedMessage) -> None:
        """Write a message after those that are still unsent."""
        if self.is_ended:
            if isinstance(message, StreamedMessage):
                message.flow.abandon()
            return None
        self._unsent_messages.append(message)
        if self._writer_task is None and isinstance(message, bytes):
            # Most responses fit into the send buffer; only a client that reads too slowly needs a task and a deadline.
            try:
                sent = self._sock.send(message)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self.close()
            if sent == len(message):
                self._unsent_messages.clear()
                self._unwritten_count -= 1
                self.on_written(1)
                return self._end_if_done()
            self._unsent_messages = [message[sent:]]
        if self._writer_task is None:
            self._writer_task = asyncio.get_running_loop().create_task(self._write())
            return None
        return None

    async def _write(self) -> None:
        try:
            while self._unsent_messages:
                messages = self._unsent_messages
                streamed = (index for index, message in enumerate(messages) if isinstance(message, StreamedMessage))
                plain = next(streamed, len(messages))
                self._unsent_messages = messages[plain or 1 :]
                if plain:
                    await self._send_all(b"".join(part for part in messages[:plain] if isinstance(part, bytes)))
                elif isinstance(message := messages[0], StreamedMessage):
                    await self._stream(message)
                self._unwritten_count -= plain or 1
                self.on_written(plain or 1)
        except OSError:
            return self.close()
        except Broken:
            return self._reset()
        self._writer_task = None
        self._end_if_done()
        return None

    async def _stream(self, message: StreamedMessage) -> None:
        try:
            async for data in message.flow.encode_message(message.head, message.is_chunked):
                await self._send_all(data)
        finally:
            message.flow.abandon()

    async def _send_all(self, data: bytes) -> None:
        """Write all of `data` within WRITE_TIMEOUT_MS, or close the connection."""
        self._deadline = self._deadlines.call_after(WRITE_TIMEOUT_MS, self.close)
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, data)
        finally:
            self._deadlines.cancel(self._deadline)

    # Ending.

    def close(self) -> None:
        """Shut the connection down; `run` then cleans up."""
        shut_down(self._sock)
        if self._resume_future is not None:
            self._resume_future.cancel()

    def close_if_silent(self) -> None:
        """Close an idle connection, unless there is something to read on it."""
        if self.is_silent:
            self.close()

    def _end_if_done(self) -> None:
        """Shut down the write side of a connection that is ending, once everything is written."""
        if self.is_ending and not self._unwritten_count and not self.owes_response:
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
        if self._writer_task is not None:
            self._writer_task.cancel()
        self.on_closed()
        for message in self._unsent_messages:
            if isinstance(message, StreamedMessage):
                message.flow.abandon()
        if not self.is_broken_off:
            shut_down(self._sock)
        self._sock.close()
        self._owner.on_connection_closed(self)
