"""A client that leaves before its reply: what becomes of the attempts that work for it."""

from __future__ import annotations

import asyncio

import pytest

from tests.system.data.data_plane_harness import DataPlaneHarness, with_data_plane
from tests.system.data.scripted_peers import Peer, encode_request


class WorkingBackend:
    """A backend that works on each request until its connection closes."""

    def __init__(self, first_bytes: bytes = b"") -> None:
        """`first_bytes`: what it answers at once."""
        self._first_bytes = first_bytes
        self.request_count = 0
        self.has_request = asyncio.Event()
        self.has_stopped = asyncio.Event()

    async def __call__(self, peer: Peer) -> None:
        """Serve one connection."""
        await peer.read_head()
        self.request_count += 1
        peer.write(self._first_bytes)
        self.has_request.set()
        try:
            await peer.reader.read()
        finally:
            self.has_stopped.set()


def leave(client: Peer, how: str) -> None:
    """Close a client's connection."""
    if how == "reset":
        client.reset()
    else:
        client.writer.close()


async def wait_until_gone(harness: DataPlaneHarness) -> None:
    """Wait until the gateway has noticed that its clients are gone."""
    while not all(connection.is_gone for connection in harness.plane.listener.connections):
        await asyncio.sleep(0)


@pytest.mark.parametrize("how", ["close", "reset"])
@with_data_plane()
async def test_backend_stops_working_once_the_client_of_a_repeatable_request_has_left(
    harness: DataPlaneHarness, how: str
) -> None:
    backend = WorkingBackend()
    await harness.start_backend("b-1", backend)
    client = await harness.connect_client()
    client.write(encode_request())
    await backend.has_request.wait()
    leave(client, how)
    await wait_until_gone(harness)
    async with asyncio.timeout(2):
        await backend.has_stopped.wait()
    assert backend.request_count == 1
