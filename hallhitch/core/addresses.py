"""Addresses as settings write them."""

from __future__ import annotations


def address_of(text: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"'{text}' is no host:port")
    return host.strip("[]"), int(port)


def written(address: tuple[str, int]) -> str:
    """The same as one text."""
    host, port = address[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
