"""One client's connection to the limit server: runs commands as they come, and sends replies in their order."""

from __future__ import annotations

import math
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Final

from hallhitch.core.invariants import COUNTS
from hallhitch.core.module import Core
from hallhitch.decision import api
from hallhitch.net.acceptor import Acceptor
from hallhitch.net.client_connection import ClientConnection
from hallhitch.resp import codec
from hallhitch.resp.commands import (
    PROTOCOL_VERSION,
    CommandError,
    check_argument_count,
    encode_hello,
    parse_client_name,
    parse_take,
    parse_words,
)

# Commands of one connection that were read and whose replies are not written yet; the next ones are left unread.
MAX_PIPELINE_DEPTH: Final = 128
_connection_ids = count(1)


@dataclass(slots=True)
class LimitDecider:
    """What decides on limits; `settings` change with a reload."""

    core: Core
    settings: api.Settings


@dataclass(slots=True, eq=False)
class ReplySlot:
    """The place of one command's reply among those of its connection; the answer port of its exchange."""

    session: Session
    reply: bytes | None = None  # None until it is decided
    exchange_id: int = 0

    def fill(self, reply: bytes) -> None:
        """Set the reply."""
        self.reply, self.exchange_id = reply, 0
        self.session.flush()

    def on_served(self, payload: object) -> None:
        """Reply that the units are granted."""
        self.fill(codec.encode_array([codec.encode_integer(1), codec.encode_integer(0)]))

    def on_rejected(self, advice: float) -> None:
        """Reply that the units are rejected, with the ms after which to retry."""
        retry_after_ms = max(1, math.ceil(advice))
        self.fill(codec.encode_array([codec.encode_integer(0), codec.encode_integer(retry_after_ms)]))

    def on_failed(self) -> None:
        """Reply that nothing was decided in time."""
        self.fill(codec.encode_error("FAILED no decision within the deadline"))


class Session(ClientConnection):
    """The actor of one connection."""

    def __init__(self, acceptor: Acceptor, connection: socket.socket, is_spare: bool, decider: LimitDecider) -> None:
        """`is_spare` marks a connection beyond the limit, which only gets an error."""
        super().__init__(acceptor, connection, acceptor.deadlines, acceptor.scheduler)
        self._acceptor = acceptor
        self._is_spare = is_spare
        self._decider = decider
        self._reader = codec.CommandReader()
        self._slots: deque[ReplySlot] = deque()  # replies owed, in order
        self._unexecuted: deque[object] = deque()  # commands read beyond the depth; None for lost framing
        self._writing = 0  # replies handed over and not written yet
        self._id = next(_connection_ids)
        self._name = b""
        self._immediate_commands: dict[bytes, Callable[[list[bytes]], bytes]] = {
            b"PING": self._ping,
            b"ECHO": self._echo,
            b"HELLO": self._hello,
            b"CLIENT": self._client,
            b"QUIT": self._quit,
        }

    # The connection, as its acceptor sees it.

    @property
    def owes_response(self) -> bool:
        """Whether a reply is owed."""
        return bool(self._slots) or self._writing > 0

    @property
    def is_partial(self) -> bool:
        """Whether a command is read in part, or read and not executed."""
        return bool(self._unexecuted) or self._reader.has_partial_command

    @property
    def is_full(self) -> bool:
        """Whether so many replies are owed that no more is read."""
        return len(self._slots) + self._writing >= MAX_PIPELINE_DEPTH and not self.is_ending

    def on_overdue(self) -> None:
        """Reply that the command took too long to arrive, and end the connection."""
        self._end_with_error("ERR a command must come whole within seconds")

    def on_data(self, data: memoryview) -> None:
        """Execute the commands that this data completes."""
        self._unexecuted.extend(self._reader.feed(data))
        if self._reader.framing_error:
            COUNTS["resp_broken"] += 1
            self._unexecuted.append(None)  # reported in its turn, behind the replies to earlier commands
        self._execute_pending()

    def on_written(self, count: int) -> None:
        """Account for replies that were written, and go on with what waited for them."""
        self._writing -= count
        self._execute_pending()
        if not self.owes_response:
            self._acceptor.on_idle(self)
        self.resume_reading()

    def on_closed(self) -> None:
        """Abandon the exchanges of a client that is gone."""
        for slot in self._slots:
            if slot.exchange_id:
                self._decider.core.on_client_gone(slot.exchange_id)
        self._slots.clear()

    def flush(self) -> None:
        """Hand over the replies that are decided and next in order."""
        while self._slots and (reply := self._slots[0].reply) is not None:
            self._slots.popleft()
            self._writing += 1
            self.post(reply)

    # Execution of commands.

    def _execute_pending(self) -> None:
        """Execute the commands that were read, as far as the depth allows."""
        while self._unexecuted and not self.is_ending and not self.is_full:
            command = self._unexecuted.popleft()
            self._acceptor.on_active(self)
            if self._is_spare:
                self._end_with_error("ERR max number of clients reached")
            elif not isinstance(command, list):
                self._end_with_error(f"ERR Protocol error: {self._reader.framing_error or 'a command is an array'}")
            elif command:
                self._execute(command)

    def _end_with_error(self, text: str) -> None:
        self.is_ending = True
        self._new_slot().fill(codec.encode_error(text))

    def _execute(self, command: list[object]) -> None:
        slot = self._new_slot()
        try:
            name, *arguments = parse_words(command)
            if name.upper() == b"TAKE":
                self._take(arguments, slot)
                self.had_accepted_request = True
                return
            execute = self._immediate_commands.get(name.upper())
            if execute is None:
                raise CommandError(f"unknown command '{name[:64].decode(errors='replace')}'")
            reply = execute(arguments)
            self.had_accepted_request = True
        except CommandError as error:
            reply = codec.encode_error(f"ERR {error}")
        slot.fill(reply)

    def _new_slot(self) -> ReplySlot:
        slot = ReplySlot(self)
        self._slots.append(slot)
        return slot

    def _take(self, arguments: list[bytes], slot: ReplySlot) -> None:
        settings = self._decider.settings
        command = parse_take(arguments, settings)
        request_class = settings.classes[command.class_index]
        slot.exchange_id = self._decider.core.open_exchange(
            command.customer,
            command.plan_index,
            command.class_index,
            command.deadline_ms,
            slot,
            request_class,
            units=command.units,
            spread=float(settings.gateways),
            is_write=request_class.effect != api.SAFE,
            request_class=request_class,
        )

    def _ping(self, arguments: list[bytes]) -> bytes:
        check_argument_count(arguments, 0, 1, "ping")
        return codec.encode_bulk_string(arguments[0]) if arguments else codec.encode_simple_string("PONG")

    def _echo(self, arguments: list[bytes]) -> bytes:
        check_argument_count(arguments, 1, 1, "echo")
        return codec.encode_bulk_string(arguments[0])

    def _hello(self, arguments: list[bytes]) -> bytes:
        if arguments and arguments[0] != str(PROTOCOL_VERSION).encode():
            return codec.encode_error("NOPROTO unsupported protocol version")
        options = arguments[1:]
        if options and (len(options) != 2 or options[0].upper() != b"SETNAME"):
            raise CommandError("syntax error in HELLO: only SETNAME is known")
        if options:
            self._name = parse_client_name(options[1])
        return encode_hello(self._id)

    def _client(self, arguments: list[bytes]) -> bytes:
        check_argument_count(arguments, 1, 3, "client")
        subcommand, options = arguments[0].upper(), arguments[1:]
        if subcommand == b"ID" and not options:
            return codec.encode_integer(self._id)
        if subcommand == b"GETNAME" and not options:
            return codec.encode_bulk_string(self._name or None)
        if subcommand == b"SETNAME" and len(options) == 1:
            self._name = parse_client_name(options[0])
            return codec.encode_simple_string("OK")
        if subcommand == b"SETINFO" and len(options) == 2 and options[0].upper() in (b"LIB-NAME", b"LIB-VER"):
            return codec.encode_simple_string("OK")
        raise CommandError("unknown subcommand or wrong number of arguments for 'client'")

    def _quit(self, arguments: list[bytes]) -> bytes:
        self.is_ending = True
        return codec.encode_simple_string("OK")
