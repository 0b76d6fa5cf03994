"""The control plane as a process: store, writer, API over TLS, signals, housekeeping.

Order at the end: no new connections, calls under way answered, what was taken made durable, the store closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import socket
import ssl
import time
from collections.abc import Iterator
from typing import Any

import structlog
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from hallhitch.administration.api.app import create_application
from hallhitch.administration.clock import WallClock
from hallhitch.administration.feed_publisher import FeedPublisher
from hallhitch.administration.secrets import SecretChecker
from hallhitch.administration.settings import ApiSettings, ControlSettings
from hallhitch.administration.store_folder import open_store
from hallhitch.administration.writer import Writer
from hallhitch.core.addresses import parse_address
from hallhitch.core.invariants import COUNTS
from hallhitch.net.sockets import open_listener
from hallhitch.tls.certificate_files import certificate_fingerprint
from hallhitch.tls.certificate_store import CertificateStore

TLS_HANDSHAKE_TIMEOUT_S = 5.0  # seconds for TLS
TLS_SHUTDOWN_TIMEOUT_S = 0.3  # seconds for the other side to end TLS too: an idle caller may never look
DRAIN_TIMEOUT_S = 8.0  # seconds for calls under way at the end
CLEANUP_INTERVAL_S = 3_600.0
log = structlog.get_logger()


class BoundedProtocol(H11Protocol):
    """A connection with bounds on how many there are and how long a whole request may take."""

    limits: ApiSettings  # set on the subclass that a server makes
    _request_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        if len(self.connections) >= self.limits.connections:
            COUNTS["api_connections_refused"] += 1
            self.transport = transport
            transport.abort()
            return
        super().connection_made(transport)
        shown = transport.get_extra_info("ssl_object")
        if shown is not None and (der := shown.getpeercert(True)):
            self.app_state = {**self.app_state, "certificate": certificate_fingerprint(der)}
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_timer()
        if self.flow is not None:  # one turned away was never made
            super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
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


class AdministrationServer(uvicorn.Server):
    """uvicorn's server on our listener, with a bound on handshakes; signals are the process's own."""

    def __init__(self, config: uvicorn.Config, listener: socket.socket, context: ssl.SSLContext) -> None:
        super().__init__(config)
        self._listener, self._context = listener, context

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen."""
        await self.lifespan.startup()

        def connection() -> asyncio.Protocol:
            made: asyncio.Protocol = self.config.http_protocol_class(  # type: ignore[call-arg]
                config=self.config, server_state=self.server_state, app_state=self.lifespan.state
            )
            return made

        self.servers = [
            await asyncio.get_running_loop().create_server(
                connection,
                sock=self._listener,
                ssl=self._context,
                ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S,
                ssl_shutdown_timeout=TLS_SHUTDOWN_TIMEOUT_S,
                backlog=1024,
            )
        ]
        self.started = True

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """None: the process has handlers of its own."""
        yield


async def serve(settings: ControlSettings, file: str) -> None:
    """Serve until SIGTERM; SIGHUP has the certificates looked at again."""
    began = time.monotonic()
    store, keys = open_store(settings, file)
    try:
        found = store.load()
        clock = WallClock(found.latest_at_ms)
        writer = Writer(
            store, found.catalog, found.history, clock, keys, settings.store.snapshot_each, settings.store.keep
        )
        ca = settings.tls.client_ca
        certificates = CertificateStore(
            settings.path(settings.tls.folder, file), settings.path(ca, file) if ca else None
        )
        listener = open_listener(parse_address(settings.api.listen))
    except BaseException:
        store.close()
        raise
    checker = SecretChecker(keys)
    writer.start(found.replayed_changes)
    publisher = FeedPublisher(writer)
    app = create_application(writer, checker, store, clock, settings.api, publisher)
    server = _create_server(settings, app, listener, certificates)
    loop = asyncio.get_running_loop()

    def end() -> None:
        publisher.close()  # gateways that wait for news are answered now
        server.should_exit = True

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end)
    loop.add_signal_handler(signal.SIGHUP, certificates.reload)
    chores = [
        loop.create_task(_reload_certificates(certificates, settings.tls.look_seconds)),
        loop.create_task(_delete_expired_responses(writer)),
    ]
    log.info(
        "serving",
        listen=settings.api.listen,
        epoch=found.catalog.epoch,
        version=found.catalog.version,
        tenants=len(found.catalog.tenants),
        replayed=found.replayed_changes,
        names=certificates.names,
        start_ms=round((time.monotonic() - began) * 1000),
    )
    await server.serve()
    for chore in chores:
        chore.cancel()
    await writer.close()
    checker.close()
    store.close()
    log.info("ended", counts=dict(COUNTS), version=writer.catalog.version, batches=writer.batches)


def _create_server(
    settings: ControlSettings, app: Any, listener: socket.socket, certificates: CertificateStore
) -> AdministrationServer:
    """uvicorn, told what it may not decide by itself."""
    api = settings.api
    quiet = logging.getLogger("uvicorn")
    quiet.propagate = False
    quiet.addHandler(logging.NullHandler())  # what it has to say is counted here
    protocol = type("BoundedProtocol", (BoundedProtocol,), {"limits": api})
    config = uvicorn.Config(
        app,
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        h11_max_incomplete_event_size=api.head_kib * 1024,
        timeout_keep_alive=api.idle_seconds,
        timeout_graceful_shutdown=int(DRAIN_TIMEOUT_S),
        proxy_headers=False,
    )
    return AdministrationServer(config, listener, certificates.context)


async def _reload_certificates(certificates: CertificateStore, seconds: float) -> None:
    """Take replaced certificates without being told."""
    while True:
        await asyncio.sleep(seconds)
        certificates.reload()


async def _delete_expired_responses(writer: Writer) -> None:
    """Forget answers that are a day old."""
    while True:
        await writer.delete_expired_responses()
        await asyncio.sleep(CLEANUP_INTERVAL_S)
