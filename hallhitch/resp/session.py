"""A client's connection to the limit server: executes commands concurrently and sends the replies in order."""

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
    parse_elements,
    parse_take,
)

# Commands of one connection that are in progress or whose replies are not written yet; no more are read beyond that.
MAX_PIPELINE_DEPTH: Final = 128
_connection_ids = count(1)


@dataclass(slots=True)
class SessionContext:
    """What sessions share: the core that decides on limits, and the settings, which a reload replaces."""

    core: Core
    settings: api.Settings


@dataclass(slots=True, eq=False)
class ReplySlot:
    """Holds the place of one command's reply in the order of replies; receives the result of the command's exchange."""

    session: Session
    reply: bytes | None = None  # None until the command has been decided
    exchange_id: int = 0

    def set_reply(self, reply: bytes) -> None:
        """Set the reply and send it as soon as it is next in order."""
        self.reply, self.exchange_id = reply, 0
        self.session.flush()

    def on_served(self, payload: object) -> None:
        """Reply that the units are granted."""
        self.set_reply(codec.encode_array([codec.encode_integer(1), codec.encode_integer(0)]))

    def on_rejected(self, advice: float) -> None:
        """Reply that the units are rejected, with the time in ms after which to retry."""
        retry_after_ms = max(1, math.ceil(advice))
        self.set_reply(codec.encode_array([codec.encode_integer(0), codec.encode_integer(retry_after_ms)]))

    def on_failed(self) -> None:
        """Reply that no decision was made within the deadline."""
        self.set_reply(codec.encode_error("FAILED no decision within the deadline"))


class Session(ClientConnection):
    """The actor that serves one connection."""

    def __init__(self, acceptor: Acceptor, connection: socket.socket, is_spare: bool, context: SessionContext) -> None:
        """`is_spare` marks a connection beyond the client limit: its first command is answered with an error."""
        super().__init__(acceptor, connection, acceptor.deadlines, acceptor.scheduler)
        self._acceptor = acceptor
        self._is_spare = is_spare
        self._context = context
        self._reader = codec.CommandReader()
        self._slots: deque[ReplySlot] = deque()  # of commands whose replies were not posted yet, in order
        # Commands that were read beyond the pipeline depth; None marks a framing error.
        self._pending_commands: deque[object] = deque()
        self._unwritten_replies = 0  # replies posted and not written yet
        self._connection_id = next(_connection_ids)
        self._client_name = b""
        self._immediate_commands: dict[bytes, Callable[[list[bytes]], bytes]] = {
            b"PING": self._ping,
            b"ECHO": self._echo,
            b"HELLO": self._hello,
            b"CLIENT": self._client,
            b"QUIT": self._quit,
        }

    # Interface to the acceptor.

    @property
    def owes_response(self) -> bool:
        """Whether a reply has not been written yet."""
        return bool(self._slots) or self._unwritten_replies > 0

    @property
    def is_partial(self) -> bool:
        """Whether a command has been received in part, or received and not executed."""
        return bool(self._pending_commands) or self._reader.has_partial_command

    @property
    def is_full(self) -> bool:
        """Whether the pipeline depth is reached, so that nothing more is read."""
        return len(self._slots) + self._unwritten_replies >= MAX_PIPELINE_DEPTH and not self.is_ending

    def on_overdue(self) -> None:
        """Reply that the command took too long to arrive, and close the connection."""
        self._end_with_error("ERR a command must come whole within seconds")

    def on_data(self, data: memoryview) -> None:
        """Execute the commands that this data completes."""
        self._pending_commands.extend(self._reader.feed(data))
        if self._reader.framing_error:
            COUNTS["resp_broken"] += 1
            self._pending_commands.append(None)  # reported after the replies to earlier commands
        self._execute_pending()

    def on_written(self, count: int) -> None:
        """Handle that so many replies were written: execute and read further commands."""
        self._unwritten_replies -= count
        self._execute_pending()
        if not self.owes_response:
            self._acceptor.on_idle(self)
        self.resume_reading()

    def on_closed(self) -> None:
        """Abandon the exchanges of a client that has disconnected."""
        for slot in self._slots:
            if slot.exchange_id:
                self._context.core.on_client_gone(slot.exchange_id)
        self._slots.clear()

    def flush(self) -> None:
        """Post the replies that are set and next in order."""
        while self._slots and (reply := self._slots[0].reply) is not None:
            self._slots.popleft()
            self._unwritten_replies += 1
            self.post(reply)

    # Execution of commands.

    def _execute_pending(self) -> None:
        """Execute received commands until the pipeline depth is reached."""
        while self._pending_commands and not self.is_ending and not self.is_full:
            command = self._pending_commands.popleft()
            self._acceptor.on_active(self)
            if self._is_spare:
                self._end_with_error("ERR max number of clients reached")
            elif not isinstance(command, list):
                self._end_with_error(f"ERR Protocol error: {self._reader.framing_error or 'a command is an array'}")
            elif command:
                self._execute(command)

    def _end_with_error(self, text: str) -> None:
        self.is_ending = True
        self._new_slot().set_reply(codec.encode_error(text))

    def _execute(self, command: list[object]) -> None:
        slot = self._new_slot()
        try:
            name, *arguments = parse_elements(command)
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
        slot.set_reply(reply)

    def _new_slot(self) -> ReplySlot:
        slot = ReplySlot(self)
        self._slots.append(slot)
        return slot

    def _take(self, arguments: list[bytes], slot: ReplySlot) -> None:
        settings = self._context.settings
        command = parse_take(arguments, settings)
        request_class = settings.classes[command.class_index]
        slot.exchange_id = self._context.core.open_exchange(
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
            self._client_name = parse_client_name(options[1])
        return encode_hello(self._connection_id)

    def _client(self, arguments: list[bytes]) -> bytes:
        check_argument_count(arguments, 1, 3, "client")
        subcommand, options = arguments[0].upper(), arguments[1:]
        if subcommand == b"ID" and not options:
            return codec.encode_integer(self._connection_id)
        if subcommand == b"GETNAME" and not options:
            return codec.encode_bulk_string(self._client_name or None)
        if subcommand == b"SETNAME" and len(options) == 1:
            self._client_name = parse_client_name(options[0])
            return codec.encode_simple_string("OK")
        if subcommand == b"SETINFO" and len(options) == 2 and options[0].upper() in (b"LIB-NAME", b"LIB-VER"):
            return codec.encode_simple_string("OK")
        raise CommandError("unknown subcommand or wrong number of arguments for 'client'")

    def _quit(self, arguments: list[bytes]) -> bytes:
        self.is_ending = True
        return codec.encode_simple_string("OK")
