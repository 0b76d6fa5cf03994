"""Addresses as settings write them: `host:port`, an IPv6 host in brackets."""

from __future__ import annotations

from typing import Final

MAX_PORT: Final = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of `host:port`.

    Raises:
        ValueError: the text is no address.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"'{text}' is no host:port")
    return host.strip("[]"), int(port)


def format_address(address: tuple[str, int]) -> str:
    """Return an address as `host:port`."""
    host, port = address[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
