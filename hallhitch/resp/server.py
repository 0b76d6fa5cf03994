"""The limit server: RESP2 commands for limits, decided by the same core as HTTP traffic.

    TAKE customer class plan units deadline-ms

takes units of a customer's quota. The reply is an array of two integers: 1 and 0 when they are granted,
0 and the milliseconds after which to ask again when they are refused. `-FAILED` says that nothing was
decided within the deadline, `-ERR` that the command is wrong; either way the connection goes on.

PING, ECHO, HELLO, CLIENT and QUIT are as elsewhere. Commands may be pipelined: they run at once, and their
replies keep their order. Broken framing is answered with an error, and the connection ends.
"""

from __future__ import annotations

import asyncio
import math
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from hallhitch import __version__
from hallhitch.core.deadlines import Deadlines
from hallhitch.core.invariants import COUNTS
from hallhitch.core.module import Core
from hallhitch.decision import api
from hallhitch.net.acceptor import Acceptor, Peer
from hallhitch.resp import codec

DEPTH = 128  # commands of one connection read and not yet answered; more are left unread
UNITS_MOST = 1e9  # the most that one call of a counter may add
DEADLINE_MOST = 600_000
CUSTOMER = re.compile(r"[\w.:/@-]{1,64}", re.ASCII)
NUMBERS = count(1)


class Wrong(Exception):
    """A command that cannot be carried out; the text is the error."""


@dataclass(slots=True, eq=False)
class Slot:
    """The place of one command's reply among those of its connection; the answer port of its exchange."""

    session: Session
    reply: bytes | None = None
    exchange: int = 0

    def fill(self, reply: bytes) -> None:
        """Put the reply in its place."""
        self.reply, self.exchange = reply, 0
        self.session.flush()

    def on_served(self, payload: object) -> None:
        """Granted."""
        self.fill(codec.array([codec.integer(1), codec.integer(0)]))

    def on_rejected(self, advice: float) -> None:
        """Refused, with the time after which to ask again."""
        self.fill(codec.array([codec.integer(0), codec.integer(max(1, math.ceil(advice)))]))

    def on_failed(self) -> None:
        """Nothing was decided in time."""
        self.fill(codec.error("FAILED no decision within the deadline"))


class Session(Peer):
    """One client's connection."""

    def __init__(self, server: LimitServer, sock: socket.socket, spare: bool) -> None:
        super().__init__(server, sock, server.deadlines, server.scheduler)
        self._server, self._spare = server, spare
        self._reader = codec.CommandReader()
        self._slots: deque[Slot] = deque()  # replies owed, in order
        self._unrun: deque[object] = deque()  # commands read, for which there was no room yet
        self._writing = 0  # replies handed over to be written
        self._id, self._name = next(NUMBERS), b""
        self._commands: dict[bytes, Callable[[list[bytes], Slot], bytes | None]] = {
            b"TAKE": self._take,
            b"PING": self._ping,
            b"ECHO": self._echo,
            b"HELLO": self._hello,
            b"CLIENT": self._client,
            b"QUIT": self._quit,
        }

    @property
    def owes(self) -> bool:
        """Whether a reply is owed."""
        return bool(self._slots) or self._writing > 0

    @property
    def partial(self) -> bool:
        """Whether a command is half read, or read and not run."""
        return bool(self._unrun) or self._reader.partial

    def overdue(self) -> None:
        """Say that the command took too long to come."""
        self._close("ERR a command must come whole within seconds")

    def take(self, data: memoryview) -> None:
        """Run the commands that were read."""
        self._unrun.extend(self._reader.feed(data))
        if self._reader.broken:
            COUNTS["resp_broken"] += 1
            self._unrun.append(None)  # told in its turn, behind the replies to what was still read
        self._advance()

    def _advance(self) -> None:
        """Run what was read, as far as the depth allows."""
        while self._unrun and not self.ending and not self.full:
            command = self._unrun.popleft()
            self._server.used(self)
            if self._spare:
                self._close("ERR max number of clients reached")
            elif not isinstance(command, list):
                self._close(f"ERR Protocol error: {self._reader.broken or 'a command is an array'}")
            elif command:
                self._carry_out(command)

    def _close(self, text: str) -> None:
        self.ending = True
        slot = Slot(self)
        self._slots.append(slot)
        slot.fill(codec.error(text))

    def _carry_out(self, command: list[object]) -> None:
        slot = Slot(self)
        self._slots.append(slot)
        try:
            words = [word for word in command if isinstance(word, bytes)]
            if len(words) < len(command):
                raise Wrong("an argument is no bulk string")
            handler = self._commands.get(words[0].upper())
            if handler is None:
                raise Wrong(f"unknown command '{words[0][:64].decode(errors='replace')}'")
            reply = handler(words[1:], slot)
            self.accepted = True
        except Wrong as error:
            reply = codec.error(f"ERR {error}")
        if reply is not None:
            slot.fill(reply)

    def flush(self) -> None:
        """Hand over the replies that are ready and whose turn it is."""
        while self._slots and (reply := self._slots[0].reply) is not None:
            self._slots.popleft()
            self._writing += 1
            self.post(reply)

    def wrote(self, count: int) -> None:
        """Replies have left."""
        self._writing -= count
        self._advance()
        if not self.owes:
            self._server.rests(self)
        self.proceed()

    @property
    def full(self) -> bool:
        """Whether so much is owed that no more is read."""
        return len(self._slots) + self._writing >= DEPTH and not self.ending

    def left(self) -> None:
        """The client has gone: nothing more is owed."""
        for slot in self._slots:
            if slot.exchange:
                self._server.core.on_client_gone(slot.exchange)
        self._slots.clear()

    # Commands.

    def _take(self, words: list[bytes], slot: Slot) -> bytes | None:
        arity(words, 5, 5, "take")
        customer, klass, plan, units, deadline = (w.decode(errors="replace") for w in words)
        if not CUSTOMER.fullmatch(customer):
            raise Wrong("customer is not 1 to 64 letters, digits or any of . _ : / @ -")
        core, settings = self._server.core, self._server.settings
        classes, plans = [c.name for c in settings.classes], [p.name for p in settings.plans]
        if klass not in classes:
            raise Wrong("unknown class")
        if plan not in plans:
            raise Wrong("unknown plan")
        try:
            amount = float(units)
        except ValueError:
            raise Wrong("units is not a number") from None
        if not 0 < amount <= UNITS_MOST:
            raise Wrong("units is out of range")
        if not deadline.isascii() or not deadline.isdigit() or len(deadline) > 6:
            raise Wrong("deadline is not a whole number of milliseconds")
        if not 0 < int(deadline) <= DEADLINE_MOST:
            raise Wrong("deadline is out of range")
        number = classes.index(klass)
        kind = settings.classes[number]
        slot.exchange = core.begin(
            customer,
            plans.index(plan),
            number,
            float(deadline),
            slot,
            kind,
            units=amount,
            spread=float(settings.gateways),
            write=kind.effect != api.SAFE,
            kind=kind,
        )
        return None

    def _ping(self, words: list[bytes], slot: Slot) -> bytes:
        arity(words, 0, 1, "ping")
        return codec.bulk(words[0]) if words else codec.simple("PONG")

    def _echo(self, words: list[bytes], slot: Slot) -> bytes:
        arity(words, 1, 1, "echo")
        return codec.bulk(words[0])

    def _hello(self, words: list[bytes], slot: Slot) -> bytes:
        if words and words[0] != b"2":
            return codec.error("NOPROTO unsupported protocol version")
        rest = words[1:]
        if rest and (len(rest) != 2 or rest[0].upper() != b"SETNAME"):
            raise Wrong("syntax error in HELLO: only SETNAME is known")
        if rest:
            self._name = client_name(rest[1])
        fields = [
            codec.bulk(b"server"),
            codec.bulk(b"hallhitch"),
            codec.bulk(b"version"),
            codec.bulk(__version__.encode()),
            codec.bulk(b"proto"),
            codec.integer(2),
            codec.bulk(b"id"),
            codec.integer(self._id),
            codec.bulk(b"mode"),
            codec.bulk(b"standalone"),
            codec.bulk(b"role"),
            codec.bulk(b"master"),
            codec.bulk(b"modules"),
            codec.array([]),
        ]
        return codec.array(fields)

    def _client(self, words: list[bytes], slot: Slot) -> bytes:
        arity(words, 1, 3, "client")
        kind, rest = words[0].upper(), words[1:]
        if kind == b"ID" and not rest:
            return codec.integer(self._id)
        if kind == b"GETNAME" and not rest:
            return codec.bulk(self._name or None)
        if kind == b"SETNAME" and len(rest) == 1:
            self._name = client_name(rest[0])
            return codec.simple("OK")
        if kind == b"SETINFO" and len(rest) == 2 and rest[0].upper() in (b"LIB-NAME", b"LIB-VER"):
            return codec.simple("OK")
        raise Wrong("unknown subcommand or wrong number of arguments for 'client'")

    def _quit(self, words: list[bytes], slot: Slot) -> bytes:
        self.ending = True
        return codec.simple("OK")


def arity(words: list[bytes], least: int, most: int, command: str) -> None:
    """Check how many arguments a command has."""
    if not least <= len(words) <= most:
        raise Wrong(f"wrong number of arguments for '{command}' command")


def client_name(name: bytes) -> bytes:
    """A connection's name: printable, without spaces."""
    if not re.fullmatch(rb"[!-~]{0,64}", name):
        raise Wrong("client names are at most 64 printable characters without spaces")
    return name


class LimitServer(Acceptor):
    """Listens for RESP clients; theirs keep idle connections, as long as there is room."""

    idle_most = math.inf

    def __init__(
        self,
        core: Core,
        settings: api.Settings,
        deadlines: Deadlines,
        scheduler: asyncio.AbstractEventLoop,
        most: int,
        spare: int,
    ) -> None:
        super().__init__(deadlines, scheduler, most, spare)
        self.core, self.settings = core, settings

    def retune(self, settings: api.Settings) -> None:
        """Take commands by other settings from now on."""
        self.settings = settings

    def peer(self, sock: socket.socket, spare: bool) -> Peer:
        """A new connection's actor."""
        return Session(self, sock, spare)
