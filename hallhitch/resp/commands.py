"""Parsing and validation of the limit server's commands, without I/O.

    TAKE customer class plan units deadline-ms

takes units from a customer's quota. PING, ECHO, HELLO, CLIENT and QUIT work as in other RESP servers.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

from hallhitch import __version__
from hallhitch.decision import api
from hallhitch.resp import codec

MAX_UNITS: Final = 1e9  # the maximum that one call may add to a counter
MAX_DEADLINE_MS: Final = 600_000
MAX_DEADLINE_DIGITS: Final = 6  # the number of digits of MAX_DEADLINE_MS
CUSTOMER_PATTERN: Final = re.compile(r"[\w.:/@-]{1,64}", re.ASCII)
CLIENT_NAME_PATTERN: Final = re.compile(rb"[!-~]{0,64}")
PROTOCOL_VERSION: Final = 2


class CommandError(Exception):
    """A command cannot be executed; the message is sent to the client."""


@dataclass(frozen=True, slots=True)
class TakeCommand:
    """The validated arguments of TAKE."""

    customer: str
    class_index: int
    plan_index: int
    units: float
    deadline_ms: float


def parse_elements(command: list[object]) -> list[bytes]:
    """Return the name and the arguments of a command.

    Raises:
        CommandError: An element is not a bulk string.
    """
    elements = [element for element in command if isinstance(element, bytes)]
    if len(elements) < len(command):
        raise CommandError("an argument is no bulk string")
    return elements


def check_argument_count(arguments: list[bytes], minimum: int, maximum: int, command: str) -> None:
    """Check the number of a command's arguments.

    Raises:
        CommandError: The number is less than `minimum` or greater than `maximum`.
    """
    if not minimum <= len(arguments) <= maximum:
        raise CommandError(f"wrong number of arguments for '{command}' command")


def parse_take(arguments: list[bytes], settings: api.Settings) -> TakeCommand:
    """Validate the arguments of TAKE against the settings of the gateway.

    Raises:
        CommandError: An argument is malformed, is out of range, or names an unknown class or plan.
    """
    check_argument_count(arguments, 5, 5, "take")
    customer, class_name, plan_name, units, deadline = (argument.decode(errors="replace") for argument in arguments)
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
    """Validate the name that a client gives its connection.

    Raises:
        CommandError: The name is too long or contains a character that is not allowed.
    """
    if not CLIENT_NAME_PATTERN.fullmatch(name):
        raise CommandError("client names are at most 64 printable characters without spaces")
    return name


def encode_hello(connection_id: int) -> bytes:
    """Encode the reply to HELLO for the connection with this id."""
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
