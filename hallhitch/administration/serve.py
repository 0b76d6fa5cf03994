"""The process of the administration service: store, writer, API over TLS, signals and periodic tasks.

At a shutdown, the service stops accepting connections, answers the calls in progress, makes the queued changes durable
and then closes the store.
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
from dataclasses import dataclass
from typing import Any, Final

import structlog
import uvicorn

from hallhitch.administration.api.app import create_application
from hallhitch.administration.bounded_protocol import BoundedProtocol
from hallhitch.administration.clock import WallClock
from hallhitch.administration.feed_publisher import FeedPublisher
from hallhitch.administration.secrets import SecretChecker, ServiceKeys
from hallhitch.administration.settings import AdministrationSettings
from hallhitch.administration.store import SqliteStore
from hallhitch.administration.store_folder import open_store
from hallhitch.administration.store_recovery import LoadResult
from hallhitch.administration.writer import Writer
from hallhitch.core.addresses import parse_address
from hallhitch.core.invariants import COUNTS
from hallhitch.net.sockets import open_listener
from hallhitch.tls.certificate_store import CertificateStore

TLS_HANDSHAKE_TIMEOUT_S: Final = 5.0
TLS_SHUTDOWN_TIMEOUT_S: Final = 0.3  # short, because an idle caller may never answer the close_notify
DRAIN_TIMEOUT_S: Final = 8.0  # for the calls in progress at a shutdown
CLEANUP_INTERVAL_S: Final = 3_600.0  # between two deletions of expired responses
log = structlog.get_logger()


class AdministrationServer(uvicorn.Server):
    """uvicorn server on a given listener, with a time-out for TLS handshakes and without signal handlers."""

    def __init__(self, config: uvicorn.Config, listener: socket.socket, context: ssl.SSLContext) -> None:
        super().__init__(config)
        self._listener = listener
        self._context = context

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections on the listener."""
        await self.lifespan.startup()

        def create_protocol() -> asyncio.Protocol:
            protocol: asyncio.Protocol = self.config.http_protocol_class(  # type: ignore[call-arg]
                config=self.config, server_state=self.server_state, app_state=self.lifespan.state
            )
            return protocol

        self.servers = [
            await asyncio.get_running_loop().create_server(
                create_protocol,
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
        """Install no signal handlers; `serve` installs its own."""
        yield


@dataclass(frozen=True, slots=True)
class _Service:
    """Components of a service whose store is open and whose writer has not been started yet."""

    store: SqliteStore
    keys: ServiceKeys
    recovered: LoadResult
    clock: WallClock
    writer: Writer
    certificates: CertificateStore
    listener: socket.socket


def _open_service(settings: AdministrationSettings, settings_file: str) -> _Service:
    """Open the store, the certificates and the listener; if one of them fails, the store is closed again."""
    opened = open_store(settings, settings_file)
    store = opened.store
    try:
        recovered = store.load()
        clock = WallClock(recovered.latest_at_ms)
        writer = Writer(
            store,
            recovered.catalog,
            recovered.history,
            clock,
            opened.keys,
            settings.store.snapshot_each,
            settings.store.keep,
        )
        client_ca = settings.tls.client_ca
        certificates = CertificateStore(
            settings.path(settings.tls.folder, settings_file),
            settings.path(client_ca, settings_file) if client_ca else None,
        )
        listener = open_listener(parse_address(settings.api.listen))
    except BaseException:
        store.close()
        raise
    return _Service(store, opened.keys, recovered, clock, writer, certificates, listener)


async def serve(settings: AdministrationSettings, settings_file: str) -> None:
    """Run the service until SIGTERM or SIGINT; SIGHUP reloads the certificates.

    Raises:
        StoreError: The store cannot be opened.
        CertificateError: The certificates cannot be read.
        OSError: The service cannot listen on the address.
    """
    started_at_s = time.monotonic()
    service = _open_service(settings, settings_file)
    writer = service.writer
    checker = SecretChecker(service.keys)
    writer.start(service.recovered.replayed_changes)
    publisher = FeedPublisher(writer)
    app = create_application(writer, checker, service.store, service.clock, settings.api, publisher)
    server = _create_server(settings, app, service.listener, service.certificates)
    loop = asyncio.get_running_loop()

    def begin_shutdown() -> None:
        publisher.close()  # otherwise gateways' pending requests would delay the shutdown
        server.should_exit = True

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, begin_shutdown)
    loop.add_signal_handler(signal.SIGHUP, service.certificates.reload)
    periodic_tasks = [
        loop.create_task(_reload_certificates(service.certificates, settings.tls.look_seconds)),
        loop.create_task(_delete_expired_responses(writer)),
    ]
    _log_start(settings, service, started_at_s)
    await server.serve()
    for task in periodic_tasks:
        task.cancel()
    await writer.close()
    checker.close()
    service.store.close()
    log.info("stopped", counts=dict(COUNTS), version=writer.catalog.version, batches=writer.batch_count)


def _log_start(settings: AdministrationSettings, service: _Service, started_at_s: float) -> None:
    catalog = service.recovered.catalog
    log.info(
        "serving",
        listen=settings.api.listen,
        epoch=catalog.epoch,
        version=catalog.version,
        tenants=len(catalog.tenants),
        replayed=service.recovered.replayed_changes,
        names=service.certificates.names,
        start_ms=round((time.monotonic() - started_at_s) * 1000),
    )


def _create_server(
    settings: AdministrationSettings, app: Any, listener: socket.socket, certificates: CertificateStore
) -> AdministrationServer:
    """Create the uvicorn server with the limits from the settings and without its log."""
    api = settings.api
    uvicorn_log = logging.getLogger("uvicorn")
    uvicorn_log.propagate = False
    uvicorn_log.addHandler(logging.NullHandler())  # COUNTS counts what uvicorn would log
    protocol_class = type("BoundedProtocol", (BoundedProtocol,), {"limits": api})
    config = uvicorn.Config(
        app,
        http=protocol_class,
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


async def _reload_certificates(certificates: CertificateStore, interval_s: float) -> None:
    """Check periodically for replaced certificates, so that a reload needs no signal."""
    while True:
        await asyncio.sleep(interval_s)
        certificates.reload()


async def _delete_expired_responses(writer: Writer) -> None:
    """Delete expired responses at the start, and then every CLEANUP_INTERVAL_S."""
    while True:
        await writer.delete_expired_responses()
        await asyncio.sleep(CLEANUP_INTERVAL_S)
