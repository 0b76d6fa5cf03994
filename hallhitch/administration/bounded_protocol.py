"""HTTP/1.1 connections of the administration API, with limits on their number and on the time to send a request."""

from __future__ import annotations

import asyncio

from uvicorn.protocols.http.h11_impl import H11Protocol

from hallhitch.administration.settings import ApiSettings
from hallhitch.core.invariants import COUNTS
from hallhitch.tls.certificate_files import certificate_fingerprint


class BoundedProtocol(H11Protocol):
    """Connection that is subject to the limits of the API's settings.

    A connection beyond `limits.connections` is aborted at once. One whose caller takes longer than
    `limits.request_seconds` to send a whole request is aborted, too.
    """

    limits: ApiSettings  # set on the subclass that `serve` creates
    _request_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Set up a new connection, or abort it if there are too many."""
        if len(self.connections) >= self.limits.connections:
            COUNTS["api_connections_refused"] += 1
            self.transport = transport
            transport.abort()
            return
        super().connection_made(transport)
        ssl_object = transport.get_extra_info("ssl_object")
        certificate = ssl_object.getpeercert(True) if ssl_object is not None else None
        if certificate:
            self.app_state = {**self.app_state, "certificate": certificate_fingerprint(certificate)}
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what belongs to a closed connection."""
        self._stop_timer()
        if self.flow is not None:  # a refused connection was never passed to the base class
            super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the base class, and stop the timer once a request is complete."""
        if self.transport.is_closing():
            return
        if self._request_timer is None and (self.cycle is None or self.cycle.response_complete):
            self._start_timer()
        super().data_received(data)
        if self.cycle is not None and not self.cycle.more_body:
            self._stop_timer()

    def _start_timer(self) -> None:
        self._stop_timer()
        self._request_timer = self.loop.call_later(self.limits.request_seconds, self._on_request_timeout)

    def _stop_timer(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def _on_request_timeout(self) -> None:
        COUNTS["api_slow_requests"] += 1
        self._request_timer = None
        if not self.transport.is_closing():
            self.transport.abort()
