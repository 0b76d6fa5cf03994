"""Commands of the limit server: parsing and validation, without I/O.

    TAKE customer class plan units deadline-ms

takes units of a customer's quota. PING, ECHO, HELLO, CLIENT and QUIT are as in other RESP servers.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

from hallhitch import __version__
from hallhitch.decision import api
from hallhitch.resp import codec

MAX_UNITS: Final = 1e9  # the most that one call of a counter may add
MAX_DEADLINE_MS: Final = 600_000
MAX_DEADLINE_DIGITS: Final = 6  # of MAX_DEADLINE_MS
CUSTOMER_PATTERN: Final = re.compile(r"[\w.:/@-]{1,64}", re.ASCII)
CLIENT_NAME_PATTERN: Final = re.compile(rb"[!-~]{0,64}")
PROTOCOL_VERSION: Final = 2


class CommandError(Exception):
    """A command cannot be executed; the text is sent to the client."""


@dataclass(frozen=True, slots=True)
class TakeCommand:
    """A validated TAKE."""

    customer: str
    class_index: int
    plan_index: int
    units: float
    deadline_ms: float


def parse_words(command: list[object]) -> list[bytes]:
    """Return the words of a command.

    Raises:
        CommandError: An element is no bulk string.
    """
    words = [word for word in command if isinstance(word, bytes)]
    if len(words) < len(command):
        raise CommandError("an argument is no bulk string")
    return words


def check_argument_count(arguments: list[bytes], least: int, most: int, command: str) -> None:
    """Check how many arguments a command has.

    Raises:
        CommandError: There are fewer or more.
    """
    if not least <= len(arguments) <= most:
        raise CommandError(f"wrong number of arguments for '{command}' command")


def parse_take(arguments: list[bytes], settings: api.Settings) -> TakeCommand:
    """Validate the arguments of TAKE by the gateway's settings.

    Raises:
        CommandError: An argument is malformed or out of range, or names no class or plan.
    """
    check_argument_count(arguments, 5, 5, "take")
    customer, class_name, plan_name, units, deadline = (a.decode(errors="replace") for a in arguments)
    if not CUSTOMER_PATTERN.fullmatch(customer):
        raise CommandError("customer is not 1 to 64 letters, digits or any of . _ : / @ -")
    class_names = [request_class.name for request_class in settings.classes]
    plan_names = [plan.name for plan in settings.plans]
    if class_name not in class_names:
        raise CommandError("unknown class")
    if plan_name not in plan_names:
        raise CommandError("unknown plan")
    return TakeCommand(
        customer,
        class_names.index(class_name),
        plan_names.index(plan_name),
        _parse_units(units),
        _parse_deadline_ms(deadline),
    )


def parse_client_name(name: bytes) -> bytes:
    """Validate a connection's name.

    Raises:
        CommandError: It is too long, or not printable.
    """
    if not CLIENT_NAME_PATTERN.fullmatch(name):
        raise CommandError("client names are at most 64 printable characters without spaces")
    return name


def encode_hello(connection_id: int) -> bytes:
    """Encode the reply to HELLO."""
    fields = {
        b"server": codec.encode_bulk_string(b"hallhitch"),
        b"version": codec.encode_bulk_string(__version__.encode()),
        b"proto": codec.encode_integer(PROTOCOL_VERSION),
        b"id": codec.encode_integer(connection_id),
        b"mode": codec.encode_bulk_string(b"standalone"),
        b"role": codec.encode_bulk_string(b"master"),
        b"modules": codec.encode_array([]),
    }
    return codec.encode_array(
        [item for name, value in fields.items() for item in (codec.encode_bulk_string(name), value)]
    )


def _parse_units(text: str) -> float:
    try:
        units = float(text)
    except ValueError:
        raise CommandError("units is not a number") from None
    if not 0 < units <= MAX_UNITS:
        raise CommandError("units is out of range")
    return units


def _parse_deadline_ms(text: str) -> float:
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        raise CommandError("deadline is not a whole number of milliseconds")
    if not 0 < int(text) <= MAX_DEADLINE_MS:
        raise CommandError("deadline is out of range")
    return float(text)
