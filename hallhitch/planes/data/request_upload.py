"""The upload of a streamed request to a backend, as fast as the client sends it and the backend reads it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hallhitch.net.flow import Broken, Flow


class RequestUpload:
    """Forwards the body of one request while it arrives; it owns the task that does so."""

    def __init__(
        self, transport: asyncio.Transport, head: bytes, body: Flow, is_chunked: bool, on_truncated: Callable[[], None]
    ) -> None:
        """Start the upload; `on_truncated` is called if the body ends early."""
        self._transport = transport
        self._on_truncated = on_truncated
        self._write_resumed: asyncio.Future[None] | None = None  # set while the transport's buffer is full
        self._task = asyncio.get_running_loop().create_task(self._run(head, body, is_chunked))

    @property
    def is_done(self) -> bool:
        """Whether the whole request was written, or the upload was cancelled."""
        return self._task.done()

    def cancel(self) -> None:
        """Stop the upload."""
        self._task.cancel()

    def pause(self) -> None:
        """Wait before the next write: the transport's buffer is full."""
        self._write_resumed = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        """Write on: the transport's buffer has room again."""
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        self._write_resumed = None

    async def _run(self, head: bytes, body: Flow, is_chunked: bool) -> None:
        try:
            async for data in body.encode_message(head, chunked=is_chunked):
                self._transport.write(data)
                while self._write_resumed is not None:
                    await self._write_resumed
        except Broken:
            self._on_truncated()
