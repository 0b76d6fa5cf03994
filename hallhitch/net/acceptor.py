"""Listening: connections within the budget of descriptors, and what every client's connection does."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import struct
from collections.abc import Callable

from hallhitch.core.actor import Actor
from hallhitch.core.deadlines import Deadline, Deadlines, Scheduler
from hallhitch.core.invariants import COUNTS
from hallhitch.net.flow import Broken, Flow
from hallhitch.net.sockets import Listening, alive, cut, tune

BUFFER = 8192
SLICE = 1024  # bytes parsed at once, but of a body: of dozens of requests in one read most wait unparsed
BULK = 32_768  # bytes read at once of a long body
WRITE_MOST = 10_000.0  # ms for a client to take an answer, or the next piece of a long one
LINGER = 500.0  # ms to go on reading after an answer that ends a connection, so that it arrives
RESET = struct.pack("ii", 1, 0)  # close with a reset
LINGER_LONG, LINGER_LONG_MOST = 2000.0, 1 << 26  # both, where a long request was still coming
LINGER_MOST = 65_536  # bytes read and dropped in that time; who sends more is not read any more
FIRST_MOST = 2500.0  # ms for a whole request: from connecting, from an error, or from its first byte
IDLE_LEAST = 2000.0  # ms for which an idle connection is spared while others may make room
FRESH = 20.0  # ms for who has connected to ask, while nobody else is taken where all places are held
GOING_ON = 1000.0  # ms more of silence for who has gone on with a request after a pause before
LOOK = 250.0  # ms between looks at the connections with nothing open
ACCEPT_AFTER_TERM = 500.0  # ms to go on accepting after SIGTERM
# ms after SIGTERM for which idle connections stay open where another process takes the new ones: nearly all end with
# an answer meanwhile, and no request crosses that.
SHARED_IDLE = 2000.0
# ms of a drain: before idle connections end (who sends clients here must hear the no first), over which they end, and
# between the looks at them.
DRAIN_NEW = 200.0  # ms for who has connected during a drain to ask
DRAIN_HEARD, DRAIN_SPREAD, DRAIN_LOOK = 500.0, 800.0, 40.0


class Sent:
    """A message to be written whose long body is still coming, in chunks where its head gives no length."""

    def __init__(self, head: bytes, flow: Flow, chunked: bool) -> None:
        self.head, self.flow, self.chunked = head, flow, chunked


class Peer(Actor[bytes | Sent]):
    """One client's connection; its mailbox holds what is to be written, in order."""

    def __init__(self, acceptor: Acceptor, sock: socket.socket, deadlines: Deadlines, scheduler: Scheduler) -> None:
        super().__init__("client", scheduler)
        self._acceptor, self._sock, self._deadlines = acceptor, sock, deadlines
        self.ending = False  # nothing more is read; the connection ends once nothing is owed
        self.ended = False
        self.accepted = False  # whether anything it asked for was accepted
        self.waits_since = 0.0  # since when it may have waited to be taken, until it is first read
        self.goes_on = False  # whether what is half read came in more than one piece
        self.heard = deadlines.clock()  # when something last came, or the connection
        self.begun = 0.0  # when what is half read began to come; 0 if nothing is
        self._limit: Deadline | None = None
        self._writer: asyncio.Task[None] | None = None
        self._posted = 0  # messages handed over and not yet written
        self._unsent: list[bytes | Sent] = []
        self.broke = False  # whether a long answer broke off under way, and the connection ends with a reset
        self._paused: asyncio.Future[None] | None = None

    @property
    def owes(self) -> bool:
        """Whether an answer is owed."""
        raise NotImplementedError

    @property
    def partial(self) -> bool:
        """Whether something is half read."""
        raise NotImplementedError

    @property
    def idle(self) -> bool:
        """Whether nothing is owed and nothing half read."""
        return not self.owes and not self.partial

    def late(self, now: float) -> bool:
        """Whether what is half read has taken too long."""
        return bool(self.begun) and now - self.begun > FIRST_MOST

    @property
    def unread(self) -> bool:
        """Whether the connection ends while a long request is still coming."""
        return False

    @property
    def bulky(self) -> bool:
        """Whether much is to be read at once."""
        return False

    def overdue(self) -> None:
        """What is half read has taken too long: say so, and end the connection."""
        raise NotImplementedError

    def take(self, data: memoryview) -> None:
        """Act on what was read."""
        raise NotImplementedError

    def left(self) -> None:
        """The client has gone: nothing more is owed."""
        raise NotImplementedError

    def wrote(self, count: int) -> None:
        """So many messages of the mailbox have been written whole."""

    @property
    def full(self) -> bool:
        """Whether so much is owed that no more is read."""
        return False

    def proceed(self) -> None:
        """Go on reading, if there is room again."""
        if self._paused is not None and not self.full and not self._paused.done():
            self._paused.set_result(None)

    def post(self, message: bytes | Sent) -> bool:
        """Have a message written."""
        taken = super().post(message)
        self._posted += taken
        return taken

    async def run(self) -> None:
        """Read until the client leaves or the connection is ended here."""
        loop, buffer = asyncio.get_running_loop(), bytearray(BUFFER)
        view = memoryview(buffer)
        try:
            dropped = 0
            while size := await loop.sock_recv_into(self._sock, buffer):
                if self.bulky and len(buffer) < BULK:
                    first = bytes(view[:size])
                    buffer = bytearray(BULK)
                    buffer[:size] = first
                    view = memoryview(buffer)
                self.heard = self._deadlines.clock()
                self.goes_on = bool(self.begun) and self.partial
                taken = 0
                while taken < size and not self.ending:
                    end = size if self.unread else min(size, taken + SLICE)
                    self.take(view[taken:end])
                    taken = end
                    while taken < size and self.full:
                        await self._pause(loop)
                if not self.ending:
                    self.begun = (self.begun or self.heard) if self.partial else 0.0
                dropped += size - taken  # lingering
                while self.full or dropped > LINGER_MOST and (not self.unread or dropped > LINGER_LONG_MOST):
                    await self._pause(loop)
        except (OSError, asyncio.CancelledError):
            pass
        except Exception as error:
            self.record_failure(error)
        finally:
            self.ended = True
            self._deadlines.cancel(self._limit)
            if self._writer is not None:
                self._writer.cancel()
            self.left()
            for one in self._unsent:
                if isinstance(one, Sent):
                    one.flow.abandon()
            if not self.broke:
                cut(self._sock)
            self._sock.close()
            self._acceptor.left(self)

    async def _pause(self, loop: asyncio.AbstractEventLoop) -> None:
        self._paused = loop.create_future()
        await self._paused

    def now(self, message: bytes) -> None:
        """Write a few bytes ahead of any answer, where none is owed; lost if the connection takes them not at once."""
        if self._writer is None and not self._posted:
            with contextlib.suppress(OSError):
                self._sock.send(message)

    def handle(self, message: bytes | Sent) -> None:
        """Write a message, behind those that wait."""
        if self.ended:
            if isinstance(message, Sent):
                message.flow.abandon()
            return
        self._unsent.append(message)
        if self._writer is None and isinstance(message, bytes):
            # Most answers go at once; a task and a deadline are for a client that does not take its own.
            try:
                sent = self._sock.send(message)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self.end()
            if sent == len(message):
                self._unsent.clear()
                self._posted -= 1
                self.wrote(1)
                return self._written()
            self._unsent = [message[sent:]]
        if self._writer is None:
            self._writer = asyncio.get_running_loop().create_task(self._write())

    async def _write(self) -> None:
        try:
            while self._unsent:
                messages = self._unsent
                plain = next((n for n, one in enumerate(messages) if isinstance(one, Sent)), len(messages))
                self._unsent = messages[plain or 1 :]
                if plain:
                    await self._all(b"".join(one for one in messages[:plain] if isinstance(one, bytes)))
                elif isinstance(sent := messages[0], Sent):
                    await self._pass(sent)
                self._posted -= plain or 1
                self.wrote(plain or 1)
        except OSError:
            return self.end()
        except Broken:
            return self._break()
        self._writer = None
        self._written()

    async def _pass(self, sent: Sent) -> None:
        try:
            async for data in sent.flow.written(sent.head, sent.chunked):
                await self._all(data)
        finally:
            sent.flow.abandon()

    async def _all(self, data: bytes) -> None:
        """Write all of it, as long as the client goes on taking some."""
        self._limit = self._deadlines.call_after(WRITE_MOST, self.end)
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, data)
        finally:
            self._deadlines.cancel(self._limit)

    def _written(self) -> None:
        """All that was to be written has left."""
        if self.ending and not self._posted and not self.owes:
            self._limit = self._deadlines.call_after(LINGER_LONG if self.unread else LINGER, self.end)
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.end()

    @property
    def quiet(self) -> bool:
        """Whether nothing has come that was not read yet, not even the end."""
        return alive(self._sock)

    def part(self) -> None:
        """End an idle connection, unless something has come on it that was not read yet."""
        if self.quiet:
            self.end()

    def _break(self) -> None:
        """End the connection with a reset: an end in order might be taken for the answer's."""
        self.broke = True
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self._acceptor.drop(self)

    def end(self) -> None:
        """End the connection; the reader then cleans up."""
        cut(self._sock)
        if self._paused is not None:
            self._paused.cancel()


class Acceptor:
    """Accepts clients; at the limit who never asked for anything acceptable makes room, then the idle."""

    idle_most = 10_000.0  # ms that a connection may stand idle

    def __init__(
        self,
        deadlines: Deadlines,
        scheduler: asyncio.AbstractEventLoop,
        most: int,
        spare: int,
        shared: bool = False,
    ) -> None:
        """Take `most` clients, and `spare` ones past that, only to turn them away in words.

        `shared` says that other processes take connections off the same listener.
        """
        self._spare = spare
        self._half = self._leaves = False  # whether another process lives; whether it takes clients too
        self.deadlines, self.scheduler, self._most = deadlines, scheduler, most
        self._shared = shared
        self._listening = Listening(self.admit, deadlines, scheduler)
        self._peers: dict[Peer, asyncio.Task[None]] = {}
        self._parting: set[Peer] = set()  # those that have made room and are not gone yet
        # Connections with nothing open and since when, longest first: those that never had anything
        # accepted, and the others.
        self._new: dict[Peer, float] = {}
        self._idle: dict[Peer, float] = {}
        self.passing: set[Peer] = set()  # those whose long request is coming while it is sent on
        self.ask: Callable[[], None] = lambda: None  # asks anew for another process, and `share` is told
        self.closing = False  # for good, to end the process
        self.draining = False  # clients are sent elsewhere, and the process runs on
        self._closed = asyncio.Event()
        self._looks: Deadline | None = None  # the next look at the idle connections of a drain

    @property
    def leaving(self) -> bool:
        """Whether connections end with their next answer."""
        return self.closing or self.draining

    def peer(self, sock: socket.socket, spare: bool) -> Peer:
        """A new connection's actor; a spare one is past the budget and only turned away."""
        raise NotImplementedError

    def open(self, listener: socket.socket) -> None:
        """Accept clients from now on."""
        self._listening.open(listener)
        self.deadlines.call_after(LOOK, self._look)

    def admit(self, sock: socket.socket) -> None:
        """Take in a connection."""
        if self._half and not self._leaves and self._held >= self.most:
            self.ask()
        # One that came before it was known that another process takes clients too is one more, at nobody's cost.
        if self._held >= self.most + self._leaves and (gives := self._gives()) is not None:
            if not gives.quiet or gives in self._new and self.deadlines.clock() - gives.heard < FRESH:
                self._listening.pause(FRESH)  # what has come, or is about to, is read first; the newcomer is one more
            else:
                COUNTS["new_shed" if gives in self._new else "idle_shed"] += 1
                self.used(gives)
                self._parting.add(gives)
                gives.end()
        if len(self._peers) >= self.most + self._spare:
            COUNTS["clients_full"] += 1
            sock.close()
            return
        peer = self.peer(tune(sock), self._held > self.most)
        peer.waits_since = self._listening.opened
        self._peers[peer] = asyncio.get_running_loop().create_task(peer.run())
        self._new[peer] = self.deadlines.clock()
        self._leave()

    @property
    def _held(self) -> int:
        """The clients held, but for those that are just being let go."""
        return len(self._peers) - len(self._parting)

    def _gives(self) -> Peer | None:
        """Whose connection makes room: who is owed least, and of these who has stood for longest."""
        # Idle for a while after an answer: ends as it may. Then who has said nothing for longest, in the middle of a
        # request or before it: a slow client goes on. Last who had an answer only now and will ask again.
        now, longest = self.deadlines.clock(), next(iter(self._idle), None)
        if longest is not None and now - self._idle[longest] > IDLE_LEAST:
            return longest
        mute = min(self._new, key=lambda peer: peer.heard + (GOING_ON if peer.goes_on else 0.0), default=None)
        return longest if mute is None else mute

    def share(self, lives: bool, serves: bool) -> None:
        """Another process of this gateway lives, and serves clients, or not: both keep to half while it does."""
        self._half, self._leaves = lives, serves
        self._leave()

    def _leave(self) -> None:
        # Past its half a process turns nobody away, but leaves them to the other. Where not even a word can be said
        # to one more, those that come wait in the listener's line until somebody has gone: a close would tell nothing.
        self._listening.rest(len(self._peers) >= self.most + (0 if self._leaves else self._spare))

    @property
    def most(self) -> int:
        """The clients to hold."""
        return self._most // 2 if self._half else self._most

    def used(self, peer: Peer) -> None:
        """A connection has something open."""
        self._new.pop(peer, None)
        self._idle.pop(peer, None)

    def rests(self, peer: Peer) -> None:
        """A connection has nothing open any more."""
        if peer in self._peers:
            (self._idle if peer.accepted else self._new)[peer] = self.deadlines.clock()

    def _look(self) -> None:
        """End what is silent or half said for too long; nobody holds a descriptor for nothing."""
        now = self.deadlines.clock()
        for peer, since in list(self._idle.items()):
            if peer.late(now):
                self._overdue(peer)
            elif now - since > self.idle_most:
                self.used(peer)
                peer.end()
        for peer, since in list(self._new.items()):
            if now - since <= FIRST_MOST:
                break
            if not peer.partial or peer.late(now):
                self._overdue(peer)
        for peer in [one for one in self.passing if one.late(now)]:
            self._overdue(peer)
        self.deadlines.call_after(LOOK, self._look)

    def _overdue(self, peer: Peer) -> None:
        self.used(peer)
        COUNTS["request_overdue"] += 1
        if peer.partial:
            peer.overdue()
        else:
            peer.end()

    def drop(self, peer: Peer) -> None:
        """End a connection without a word."""
        if peer in self._peers:
            self._peers[peer].cancel()

    def left(self, peer: Peer) -> None:
        """A connection has ended."""
        self._peers.pop(peer, None)
        self._parting.discard(peer)
        self.passing.discard(peer)
        self._leave()
        self.used(peer)
        if self.closing and not self._listening.listens:
            self._check()

    def drain(self) -> None:
        """Send clients elsewhere: each connection ends with its next answer, or once it was idle for long enough."""
        if not self.draining:
            self.draining = True
            self.deadlines.cancel(self._looks)
            self._looks = self.deadlines.call_after(DRAIN_HEARD, lambda: self._part(DRAIN_SPREAD / DRAIN_LOOK))

    def rejoin(self) -> None:
        """Keep clients again."""
        self.draining = False
        self.deadlines.cancel(self._looks)

    def _part(self, looks: float) -> None:
        """End a part of the idle connections, all that are left once `looks` looks have passed."""
        since = self.deadlines.clock() - DRAIN_NEW
        idle = [p for p in self._peers if p.idle and p.heard < since]
        for peer in idle[: math.ceil(len(idle) / max(1.0, looks))]:
            peer.part()
        self._looks = self.deadlines.call_after(DRAIN_LOOK, lambda: self._part(looks - 1))

    def close(self) -> None:
        """Begin to end: go on accepting for a while, then finish what is open."""
        if self.closing:
            return
        self.closing = True
        if self._shared:  # what nobody has taken yet is the other process's
            self._listening.close()
            self._check()
            self.deadlines.call_after(SHARED_IDLE, self._end_idle)
        else:
            self.deadlines.call_after(ACCEPT_AFTER_TERM, self._stop)

    def _stop(self) -> None:
        self._listening.close(rest=True)  # what the machine accepted meanwhile has been taken too
        self._check()
        self._end_idle()

    def _check(self) -> None:
        if not self._peers:
            self._closed.set()

    def _end_idle(self) -> None:
        for peer in [p for p in self._peers if p.idle]:
            peer.part()
        if self._peers:
            self.deadlines.call_after(50.0, self._end_idle)

    async def closed(self) -> None:
        """Wait until the last client has its answer."""
        await self._closed.wait()
