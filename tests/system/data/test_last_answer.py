"""The last answer of a connection arrives whole, however slowly its client takes it."""

from __future__ import annotations

import asyncio
from typing import Any

from hallhitch.node.clock import now
from hallhitch.planes.data.client_connection import ClientConnection
from hallhitch.planes.data.http_listener import LINGER_TIMEOUT_MS
from tests.system.data.front_rig import Asked, Rig, get, rigged, says


class FullLink(asyncio.Transport):
    """A client's connection that sends nothing: what is written waits."""

    def __init__(self) -> None:
        super().__init__()
        self.waiting, self.aborted, self.ended = b"", False, asyncio.Event()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def is_closing(self) -> bool:
        return self.aborted

    def write(self, data: Any) -> None:
        self.waiting += bytes(data)

    def get_write_buffer_size(self) -> int:
        return len(self.waiting)

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.ended.set()

    def abort(self) -> None:
        self.aborted, self.waiting = True, b""


@rigged()
async def test_a_last_answer_that_leaves_slowly_is_not_cut(rig: Rig) -> None:
    """All of it is written, part of it waits in this process, and seconds pass; its time begins when it has left."""
    await rig.backend("b-1", Asked(says(b"whole")))
    front, link = rig.plane.listener, FullLink()
    client = ClientConnection(front)
    client.connection_made(link)
    client.data_received(get(more="Connection: close\r\n"))
    await link.ended.wait()
    moment = now()
    for _ in range(5):
        moment += LINGER_TIMEOUT_MS + 1
        front.expire_idle(moment)
        assert not link.aborted and link.waiting.endswith(b"whole")
    link.waiting = b""
    front.expire_idle(moment + LINGER_TIMEOUT_MS - 1)
    assert not link.aborted
    front.expire_idle(moment + LINGER_TIMEOUT_MS)
    assert link.aborted
    client.connection_lost(None)
