"""Client connections that linger after their last reply."""

from __future__ import annotations

import asyncio
from typing import Any

from hallhitch.node.clock import now
from hallhitch.planes.data.client_connection import ClientConnection
from hallhitch.planes.data.http_listener import LINGER_TIMEOUT_MS
from tests.system.data.data_plane_harness import DataPlaneHarness, with_data_plane
from tests.system.data.scripted_peers import ScriptedBackend, encode_request, respond_with


class BlockedTransport(asyncio.Transport):
    """A transport that sends nothing: written bytes stay in its buffer."""

    def __init__(self) -> None:
        super().__init__()
        self.buffer = b""
        self.is_aborted = False
        self.eof_written = asyncio.Event()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def is_closing(self) -> bool:
        return self.is_aborted

    def write(self, data: Any) -> None:
        self.buffer += bytes(data)

    def get_write_buffer_size(self) -> int:
        return len(self.buffer)

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.eof_written.set()

    def abort(self) -> None:
        self.is_aborted, self.buffer = True, b""


@with_data_plane()
async def test_linger_timeout_starts_after_the_last_reply_was_sent(harness: DataPlaneHarness) -> None:
    """A reply in the transport's buffer is not truncated, however long sending it takes."""
    await harness.start_backend("b-1", ScriptedBackend(respond_with(b"whole")))
    listener, transport = harness.plane.listener, BlockedTransport()
    client = ClientConnection(listener)
    client.connection_made(transport)
    client.data_received(encode_request(field_lines="Connection: close\r\n"))
    await transport.eof_written.wait()
    current_ms = now()
    for _ in range(5):
        current_ms += LINGER_TIMEOUT_MS + 1
        listener.enforce_timeouts(current_ms)
        assert not transport.is_aborted and transport.buffer.endswith(b"whole")
    transport.buffer = b""
    listener.enforce_timeouts(current_ms + LINGER_TIMEOUT_MS - 1)
    assert not transport.is_aborted
    listener.enforce_timeouts(current_ms + LINGER_TIMEOUT_MS)
    assert transport.is_aborted
    client.connection_lost(None)
