"""Parses and formats the addresses in settings: `host:port`, with an IPv6 host in brackets."""

from __future__ import annotations

from typing import Final

MAX_PORT: Final = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port of a `host:port` address.

    Raises:
        ValueError: The text is not an address.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"'{text}' is not a host:port address")
    return host.strip("[]"), int(port)


def format_address(address: tuple[str, int]) -> str:
    """Return an address as `host:port`."""
    host, port = address[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
