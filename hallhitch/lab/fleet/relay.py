"""Datagram relays: each gateway advertises the address of its relay, and the other gateways send to that address.

A relay is one socket. It passes each datagram, with the source address that identifies the sender, to a callback; the
callback forwards it from the sender's relay.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final, cast

RELAY_BUFFER_BYTES: Final = 1 << 20  # receive buffer; bursts of a large fleet must not overflow it


def gateway_host(number: int) -> str:
    """The loopback address of a gateway."""
    return f"127.1.{number >> 8}.{1 + (number & 255)}" if number & 255 != 255 else f"127.1.{number >> 8}.0"


def relay_host(number: int) -> str:
    """The loopback address of a gateway's relay."""
    return gateway_host(number).replace("127.1.", "127.2.", 1)


class Relay(asyncio.DatagramProtocol):
    """Receives the datagrams for a gateway at the address that it advertises."""

    def __init__(self, number: int, on_datagram: Callable[[str, int, bytes], None]) -> None:
        """`on_datagram` gets the sender's host, the number of the receiving gateway and the datagram."""
        self.number = number
        self._on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport

    async def open(self, port: int) -> None:
        """Bind the relay's socket."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RELAY_BUFFER_BYTES)
        sock.bind((relay_host(self.number), port))
        sock.setblocking(False)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the socket's transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram for this gateway to the callback."""
        self._on_datagram(addr[0], self.number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors from gateways that do not listen: the datagram is lost, as on any network."""
