"""The client of the quota counter: pipelined calls over a few connections, each with a time-out.

Invariants:
- The calls of one name use one connection, and their replies are reported in the order of the calls.
- Each call is reported exactly once: with its reply, or without one as `timeout` if it was written and as
  `unreachable` if not.
- After a move to another address, no call is written to the new address before all calls that were written to the old
  one have been reported.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from hallhitch.core.actor import Actor
from hallhitch.core.deadlines import Deadline, Deadlines, Scheduler
from hallhitch.core.invariants import COUNTS
from hallhitch.net.counter_codec import CounterCodec
from hallhitch.net.http import Malformed
from hallhitch.net.sockets import connect, shut_down

CONNECTION_COUNT: Final = 2
MAX_IDLE_MS: Final = 3000.0  # for a connection to be reused; the counter closes idle ones after 10 s or less
# Silence while calls wait for replies, after which the connection is replaced. Not Final, because a test sets it.
UNRESPONSIVE_TIMEOUT_MS = 300.0
UNRESPONSIVE_BESIDE_ACTIVE_RATIO: Final = (
    0.8  # the same as a ratio of the call time-out, while another connection gets replies
)
PARTIAL_REPLY_TIMEOUT_MS: Final = 25.0  # for the rest of a reply that has begun: the counter writes each whole
MAX_PIPELINED_CALLS: Final = 256  # calls without a reply on one connection, those that timed out included
READ_BUFFER_BYTES: Final = 8192

ReplyCallback = Callable[[int, str, float, float], None]  # name, outcome, total, duration in ms


@dataclass(slots=True, eq=False)
class CounterCall:
    """One call; `is_reported` is set once the core has its outcome."""

    name: int
    units: float
    lifetime: float
    began_at: float
    connection: CounterConnection
    is_written: bool = False
    is_reported: bool = False
    deadline: Deadline | None = None


class CounterConnection(Actor[CounterCall]):
    """One connection to the counter, with its calls in the order in which they were written."""

    def __init__(self, client: CounterClient, number: int, scheduler: Scheduler) -> None:
        super().__init__(f"counter {number}", scheduler)
        self._client = client
        self._deadlines = client.deadlines
        self._address = client.address
        self._codec = client.make_codec()
        self._calls: deque[CounterCall] = deque()  # calls without a reply, including those reported as timed out
        self._sock: socket.socket | None = None
        self._active_at = 0.0  # when a byte was last received, or a call was written with no other call open
        self.replied_at = 0.0  # when a reply was last received
        self._partial_deadline: Deadline | None = None  # set while a reply is partly received
        self._task: asyncio.Task[None] | None = None
        self._predecessor: CounterConnection | None = (
            None  # the connection to the old address, whose written calls have to end first
        )
        self._successor: CounterConnection | None = (
            None  # the connection to the new address, which gets all further calls
        )

    def submit(self, call: CounterCall) -> None:
        """Submit a call; it is reported within the time-out in any case."""
        call.deadline = self._deadlines.call_after(self._client.timeout_ms, lambda: call.connection._on_timeout(call))
        if not self.post(call):
            self._report(call, "unreachable")

    def hand_over(self, successor: CounterConnection) -> None:
        """Move the calls that are not written yet to a connection to another address."""
        successor._predecessor, self._predecessor, self._successor = self._predecessor, None, successor
        calls, self._calls = self._calls, deque(call for call in self._calls if call.is_written)
        if successor._predecessor is not None:
            successor._predecessor._successor = (
                successor  # this connection still waits for its own predecessor and has written nothing
            )
        elif any(not call.is_reported for call in self._calls):
            successor._predecessor = self
        if successor._predecessor is not self:
            self._disconnect()
        for call in calls:
            if not call.is_written:
                successor.handle(call)

    def handle(self, message: CounterCall) -> None:
        """Write a call, or connect first; after a move, hand it to the successor."""
        if self._successor is not None:
            return self._successor.handle(message)
        if message.is_reported:
            return None
        message.connection = self
        now = self._deadlines.clock()
        if self._sock is not None and not self._calls and now - self._active_at > MAX_IDLE_MS:
            self._disconnect()
        if len(self._calls) >= MAX_PIPELINED_CALLS:
            self._on_connection_lost()  # a new connection, which keeps replies in the order of the calls
        if not self._calls:
            self._active_at = now
        self._calls.append(message)
        if self._sock is not None:
            self._write([message])
            return None
        self._start()
        return None

    def on_message_failed(self, message: CounterCall) -> None:
        """Close the connection: a call whose handling failed has not reached the counter."""
        self._on_connection_lost()

    def _start(self) -> None:
        """Connect if there are calls and the predecessor, if any, has no open calls."""
        if self._task is None and self._calls and self._predecessor is None:
            self._task = asyncio.get_running_loop().create_task(self._run_connection())

    def _write(self, calls: list[CounterCall]) -> None:
        assert self._sock is not None
        data = b"".join(self._codec.call(call.name, call.units, call.lifetime) for call in calls)
        try:
            sent = self._sock.send(data)
        except OSError:
            sent = 0
        for call in calls:
            call.is_written = sent == len(data) or (len(calls) > 1 and sent > 0)
        if sent != len(data):  # a full send buffer means that the counter has stopped reading
            self._on_connection_lost()

    async def _run_connection(self) -> None:  # noqa: C901, PLR0912  a sequence of cases
        """Connect, write the waiting calls, and read replies until the connection ends or is replaced."""
        loop, buffer = asyncio.get_running_loop(), bytearray(READ_BUFFER_BYTES)
        view, task = memoryview(buffer), asyncio.current_task()
        try:
            sock = await connect(self._address, self._deadlines, self._client.timeout_ms)
            self._sock, self._codec, self._active_at = sock, self._client.make_codec(), self._deadlines.clock()
            try:
                self._calls = deque(call for call in self._calls if not call.is_reported)
                if self._calls:
                    self._write(list(self._calls))
                while self._task is task:
                    size = await loop.sock_recv_into(sock, buffer)
                    if not size:
                        break
                    self._active_at = self._deadlines.clock()
                    for outcome, total in self._codec.feed(view[:size]):
                        if not self._calls:
                            raise Malformed(400)  # a reply without a call
                        self.replied_at = self._active_at
                        self._report(self._calls.popleft(), outcome, total)
                    if self._task is not task:
                        break
                    if not self._codec.partial:
                        self._deadlines.cancel(self._partial_deadline)
                        self._partial_deadline = None
                    elif self._partial_deadline is None:
                        self._partial_deadline = self._deadlines.call_after(
                            PARTIAL_REPLY_TIMEOUT_MS, self._on_partial_reply
                        )
            finally:
                shut_down(sock)
                sock.close()
        except asyncio.CancelledError:
            pass
        except Malformed:
            COUNTS["counter_spoilt"] += 1
        except Exception as error:  # noqa: BLE001  top level of the task: logged, and the process continues
            if not isinstance(error, OSError):
                self.record_failure(error)
        if self._task is task:
            self._on_connection_lost()

    def _disconnect(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._sock is not None:
            shut_down(self._sock)
        self._deadlines.cancel(self._partial_deadline)
        task, self._task, self._sock, self._partial_deadline = self._task, None, None, None
        if task is not None:
            task.cancel()

    def _on_connection_lost(self) -> None:
        """Close the connection and report all its calls as ended, in order."""
        self._disconnect()
        calls, self._calls = self._calls, deque()
        for call in calls:
            self._report(call, "timeout" if call.is_written else "unreachable")

    def _on_partial_reply(self) -> None:
        """Close the connection: until a partial reply is complete, all replies after it are blocked."""
        COUNTS["counter_spoilt"] += 1
        self._on_connection_lost()

    def _on_timeout(self, call: CounterCall) -> None:
        if call.is_reported:
            return
        self._report(call, "timeout" if call.is_written else "unreachable")
        # If another connection got replies meanwhile, this one is dead. If none did, the counter may just be slow.
        silent_ms = self._deadlines.clock() - self._active_at
        silent_since = max(call.began_at, self._active_at)
        is_only_silent_one = self._client.last_reply_at() > silent_since
        limit_ms = (
            self._client.timeout_ms * UNRESPONSIVE_BESIDE_ACTIVE_RATIO
            if is_only_silent_one
            else UNRESPONSIVE_TIMEOUT_MS
        )
        if self._sock is not None and silent_ms > limit_ms:
            COUNTS["counter_replaced"] += 1
            self._on_connection_lost()

    def _report(self, call: CounterCall, outcome: str, total: float = 0.0) -> None:
        if call.is_reported:
            COUNTS["counter_late"] += 1
            return
        call.is_reported = True
        self._deadlines.cancel(call.deadline)
        self._client.on_reply(call.name, outcome, total, self._deadlines.clock() - call.began_at)
        successor = self._successor
        if successor is None or successor._predecessor is not self:
            return
        if all(earlier.is_reported for earlier in self._calls):
            successor._predecessor = None
            successor._start()
            self._disconnect()


class CounterClient:
    """The port through which the core calls the counter."""

    def __init__(
        self,
        address: tuple[str, int],
        make_codec: Callable[[], CounterCodec],
        on_reply: ReplyCallback,
        deadlines: Deadlines,
        scheduler: Scheduler,
        timeout_ms: float,
    ) -> None:
        self.address = address
        self.make_codec = make_codec
        self.on_reply = on_reply
        self.deadlines = deadlines
        self.timeout_ms = timeout_ms
        self._scheduler = scheduler
        self._connections = self._make_connections()

    def add(self, name: int, units: float, lifetime: float) -> None:
        """Add units to the total of a name; `on_reply` is called with the new total."""
        connection = self._connections[name % CONNECTION_COUNT]
        connection.submit(CounterCall(name, units, lifetime, self.deadlines.clock(), connection))

    def last_reply_at(self) -> float:
        """Return the time of the latest reply on any connection."""
        return max(connection.replied_at for connection in self._connections)

    def set_timeout(self, timeout_ms: float) -> None:
        """Change the time-out of future calls."""
        self.timeout_ms = timeout_ms

    def move(self, address: tuple[str, int], make_codec: Callable[[], CounterCodec]) -> None:
        """Send further calls to another address; calls that are already written still end at the old one."""
        self.address, self.make_codec = address, make_codec
        previous, self._connections = self._connections, self._make_connections()
        for old, new in zip(previous, self._connections, strict=True):
            old.hand_over(new)

    def _make_connections(self) -> list[CounterConnection]:
        return [CounterConnection(self, number, self._scheduler) for number in range(CONNECTION_COUNT)]
