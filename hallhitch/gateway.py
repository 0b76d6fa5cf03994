"""The process of one gateway: `python -m hallhitch`.

The RESP frontend and membership are imported only if they are enabled: reading their settings files requires packages
that the platform does not install.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import random
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import fields, replace
from functools import partial
from typing import TYPE_CHECKING, Final

import structlog
import uvloop

from hallhitch import __version__, logs
from hallhitch.core.addresses import parse_address
from hallhitch.core.deadlines import Clock, Deadlines
from hallhitch.core.grants import LOCAL_SERVER_LIST, LocalUpstream
from hallhitch.core.invariants import COUNTS
from hallhitch.core.module import Core
from hallhitch.decision import api
from hallhitch.decision.policy import Gateway
from hallhitch.decision.settings import WireError
from hallhitch.net.config import GatewayConfig, read_config
from hallhitch.net.counter import CounterClient
from hallhitch.net.counter_codec import CounterCodec, HttpCounterCodec
from hallhitch.net.descriptor_budget import divide_descriptors
from hallhitch.net.ingress import Ingress
from hallhitch.net.routes import RouteTable
from hallhitch.net.sockets import inherit_listener, open_listener
from hallhitch.net.upstream.client import UpstreamClient
from hallhitch.net.watch_backoff import WatchBackoff
from hallhitch.ops.hot_restart.sibling_monitor import SiblingMonitor
from hallhitch.ops.lifecycle import Command, Lifecycle
from hallhitch.ops.metrics import CONTENT_TYPE, GatewayMetrics
from hallhitch.ops.operator_server import OperatorReply, OperatorServer

if TYPE_CHECKING:
    from hallhitch.membership.damped_view import GatewayCounts
    from hallhitch.membership.service import MembershipService
    from hallhitch.resp.server import LimitServer
    from hallhitch.resp.settings import RespSettings

# Configuration fields that a reload applies, or that are only used at start.
RELOADABLE_FIELDS: Final = frozenset(("discovery", "counter", "settings", "zones", "file", "known", "seed"))
# Configuration fields that keep their values until the next start.
FIXED_FIELDS: Final = frozenset(("name", "listen", "sockets", "memory", "ops", "inherited"))
# The wait for discovery's first update at start: the saved server list may be outdated. Not Final, as tests set it.
FIRST_UPDATE_TIMEOUT_MS = 500.0
UPLOAD_BUFFER_DIVISOR: Final = 16  # buffered long requests may take the memory limit divided by this
# Few collections are needed: nearly all objects of a request are freed with it, as they form no reference cycles.
GC_THRESHOLDS: Final = (20_000, 20, 20)
log = structlog.get_logger()

CounterEndpoint = tuple[tuple[str, int], Callable[[], CounterCodec]]


class GatewayProcess:
    """Creates the components of one gateway and starts, reloads and stops them in the right order."""

    def __init__(self, config: GatewayConfig, resp_file: str | None, peers_file: str | None) -> None:
        """Create the components; only the operators' address is listened on before `run`."""
        resp = read_resp_settings(resp_file)
        self._config = config
        self._resp_file = resp_file
        self._peers_file = peers_file
        self._loop = asyncio.get_running_loop()
        self._deadlines = Deadlines(Clock(), self._loop)
        self._serving_processes = 1  # of this gateway: 2 while a hot restart replaces this process
        self._is_serving = False
        self._cores: list[Core] = []
        self._counters: dict[Core, CounterClient] = {}
        self._counter_endpoint = find_counter_endpoint(config, resp)
        shared_folder = os.environ.get("TMPDIR") if config.inherited is not None else None
        settings = config.settings

        self._core = self._make_core("module", config.seed)
        self._membership = self._make_membership(shared_folder)
        backoff = WatchBackoff(settings.gateways, not settings.push_list, config.seed)
        self._metrics = GatewayMetrics(request_class.name for request_class in settings.classes)
        self._lifecycle = Lifecycle()
        self._routes = RouteTable(self._loop, self._deadlines, config.zones, self._core.post, backoff)
        self._descriptor_budget = divide_descriptors(config.sockets, config.ops is not None)
        self._upstream = UpstreamClient(
            self._routes,
            self._core,
            self._deadlines,
            self._loop,
            settings,
            self._descriptor_budget.upstream,
            self._metrics.record_attempt,
        )
        self._core.upstream = self._upstream
        if config.known is not None:
            self._routes.post(config.known)
        # Each frontend with the function that opens its listener.
        self._frontends: dict[Ingress | LimitServer, Callable[[], socket.socket]] = {}
        max_clients = self._descriptor_budget.clients
        if resp is not None:
            max_clients -= self._add_limit_server(resp)
        self._ingress = self._add_ingress(max_clients)
        self._metrics.gauges = {
            "in_flight": lambda: self._ingress.in_flight,
            "backends_known": lambda: len(self._routes.entries),
            "backends_excluded": self._core.gateway.unavailable_count,
        }
        self._operator_server = self._make_operator_server()
        # Without a shared folder the platform never starts a second process of this gateway.
        self._siblings = SiblingMonitor(shared_folder, self._deadlines, self._core.gateway, self._upstream.idle_times)
        self._siblings.restore_state()
        self._ingress.check_sibling = self._siblings.check

    async def run(self) -> None:
        """Serve until SIGTERM, then answer all open requests and return; SIGHUP reloads the configuration."""
        self._loop.add_signal_handler(signal.SIGTERM, self._stop)
        self._loop.add_signal_handler(signal.SIGINT, self._stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._start_membership()
        self._routes.watch(self._config.discovery)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        if self._config.settings.push_list:  # otherwise the first update may take long, as all gateways poll
            await self._routes.wait_until_updated(FIRST_UPDATE_TIMEOUT_MS)
        # Listen only once all is ready: a client in the backlog is already connected, and its timeout runs.
        for frontend, open_frontend_listener in self._frontends.items() if not self._lifecycle.is_stopping else ():
            frontend.open(open_frontend_listener())
            self._is_serving = True
        listeners = [frontend.on_sibling_changed for frontend in self._frontends]
        self._siblings.start_serving([*listeners, self._upstream.on_sibling_changed, self._on_sibling_changed])
        host, port = self._config.listen
        log.info("serving", gateway=self._config.name, listen=f"{host}:{port}")
        for frontend in self._frontends:
            await frontend.wait_closed()
        self._close()

    # Creation of components.

    def _make_core(self, name: str, seed: int, batch_size: int = 0) -> Core:
        core = Core(Gateway(self._config.settings, seed), self._deadlines, self._loop, name, batch_size)
        self._cores.append(core)
        self._connect_counter(core)
        return core

    def _connect_counter(self, core: Core) -> None:
        if self._counter_endpoint is None:  # without a counter the settings keep the module from calling one
            return
        address, make_codec = self._counter_endpoint
        core.counter = self._counters[core] = CounterClient(
            address,
            make_codec,
            core.on_counter_reply,
            self._deadlines,
            self._loop,
            self._config.settings.counter_timeout,
        )

    def _make_membership(self, shared_folder: str | None) -> MembershipService | None:
        if self._peers_file is None:
            return None
        return make_membership(
            self._peers_file, self._config, shared_folder, self._deadlines, self._loop, self._on_gateways_counted
        )

    def _add_limit_server(self, resp: RespSettings) -> int:
        """Add the RESP frontend; return how many client connections are reserved for it."""
        from hallhitch.resp.server import LimitServer

        core = self._make_core("limits", self._config.seed + 1, batch_size=1)
        core.upstream = LocalUpstream(core)
        core.post(LOCAL_SERVER_LIST)
        spare = self._descriptor_budget.spare
        max_clients = min(resp.connections, self._descriptor_budget.clients // 2)
        server = LimitServer(core, self._config.settings, self._deadlines, self._loop, max_clients, spare)
        self._frontends[server] = partial(open_or_inherit, "listen (RESP)", parse_address(resp.listen))
        return max_clients + spare

    def _add_ingress(self, max_clients: int) -> Ingress:
        config = self._config
        ingress = Ingress(
            self._core,
            config.settings,
            self._deadlines,
            self._loop,
            max_clients,
            self._descriptor_budget.spare,
            config.inherited is not None,
            config.memory // UPLOAD_BUFFER_DIVISOR,
            lambda: self._lifecycle.is_healthy,
            self._metrics.record_request,
        )
        if config.inherited is None:
            self._frontends[ingress] = partial(open_or_inherit, "listen", config.listen)
        else:
            self._frontends[ingress] = partial(open_or_inherit, "EDGE_FD", config.inherited)
        return ingress

    def _make_operator_server(self) -> OperatorServer | None:
        handlers: dict[tuple[str, str], Callable[[], OperatorReply]] = {
            ("GET", "/api/ready"): self._readiness,
            ("GET", "/api/telemetry"): lambda: OperatorReply(200, self._metrics.render(), CONTENT_TYPE),
            ("PUT", "/api/evacuate"): lambda: self._apply(Command.EVACUATE),
            ("PUT", "/api/rejoin"): lambda: self._apply(Command.REJOIN),
        }
        membership = self._membership
        if membership is not None:
            self._metrics.render_extra = membership.metrics_text
            handlers["GET", "/api/members"] = lambda: OperatorReply(200, membership.view_json(), "application/json")
        if self._config.ops is None:
            return None
        server = OperatorServer(handlers, self._deadlines, self._loop, self._descriptor_budget.operators)
        server.open(open_or_inherit("ops", self._config.ops))
        return server

    def _start_membership(self) -> None:
        if self._membership is None:
            return
        try:
            self._membership.start()
        except OSError as error:
            raise WireError(f"{self._peers_file}: field 'listen': {error}") from error

    # Operator calls.

    def _apply(self, command: Command) -> OperatorReply:
        """Start or stop draining the gateway, and return its state."""
        if self._lifecycle.apply(command):
            log.info("lifecycle changed", command=command.value, state=self._lifecycle.state.value)
        for frontend in self._frontends:
            if self._lifecycle.is_healthy:
                frontend.stop_draining()
            else:
                frontend.start_draining()
        if self._membership is not None:
            if self._lifecycle.is_healthy:
                self._membership.rejoin()
            else:
                self._membership.leave()
        return OperatorReply(200, self._lifecycle.state.value + "\n")

    def _readiness(self) -> OperatorReply:
        is_ready = self._is_serving and not self._lifecycle.is_stopping
        return OperatorReply(200 if is_ready else 503, ("ready" if is_ready else "not ready") + "\n")

    # Changes while serving.

    def _on_gateways_counted(self, counts: GatewayCounts) -> None:
        for core in self._cores:
            core.post(api.Peers(counts.placement_count, counts.budget_count, counts.rank))

    def _on_sibling_changed(self, is_running: bool, is_serving: bool) -> None:
        self._serving_processes = 1 + is_serving
        self._apply_settings()

    def _apply_settings(self) -> None:
        for core in self._cores:
            core.apply_settings(replace(self._config.settings, processes=self._serving_processes))
        if self._membership is not None:  # the number of live members overrides the number of gateways in the settings
            self._membership.republish()

    def _reload(self) -> None:
        """Reload the configuration file; an invalid file changes nothing."""
        try:
            new_config = read_config(previous=self._config)
            counter_endpoint = find_counter_endpoint(new_config, read_resp_settings(self._resp_file))
        except Exception as error:  # noqa: BLE001  an invalid file must not stop the gateway
            self._metrics.reloads_failed += 1
            log.error("configuration reload failed", error=f"{type(error).__name__}: {error}")  # noqa: TRY400
            return
        self._metrics.reloads_ok += 1
        previous = self._config
        fixed = {field.name: getattr(previous, field.name) for field in fields(previous) if field.name in FIXED_FIELDS}
        self._config = replace(new_config, **fixed)
        if new_config.settings != previous.settings:
            self._metrics.add_classes(request_class.name for request_class in new_config.settings.classes)
            self._apply_settings()
            for frontend in self._frontends:
                frontend.apply_settings(new_config.settings)
            self._upstream.apply_settings(new_config.settings)
        if new_config.discovery != previous.discovery or new_config.zones != previous.zones:
            # Request the full list: sequence numbers differ between discovery services, and zones are list indexes.
            self._routes.set_zones(new_config.zones)
            self._routes.watch(new_config.discovery)
        self._update_counters(counter_endpoint)
        log.info(
            "configuration reloaded",
            discovery=new_config.discovery,
            counter=counter_endpoint and counter_endpoint[0],
            classes=[request_class.name for request_class in new_config.settings.classes],
            kept_until_restart=fields_requiring_restart(previous, new_config),
        )

    def _update_counters(self, endpoint: CounterEndpoint | None) -> None:
        previous, self._counter_endpoint = self._counter_endpoint, endpoint
        for core in self._cores:
            if core not in self._counters:
                self._connect_counter(core)
            elif endpoint is not None:
                self._counters[core].set_timeout(self._config.settings.counter_timeout)
                if previous is None or previous[0] != endpoint[0]:
                    self._counters[core].move(*endpoint)

    def _stop(self) -> None:
        """Start the graceful shutdown, on SIGTERM or SIGINT."""
        if self._lifecycle.apply(Command.TERMINATE):
            log.info("ending")
            self._siblings.stop_writing()
            if self._membership is not None:
                self._membership.leave()
        for frontend in self._frontends:
            frontend.stop()

    def _close(self) -> None:
        if self._membership is not None:
            self._membership.close()
        self._routes.close()
        if self._operator_server is not None:
            self._operator_server.close()
        self._siblings.close()
        log.info("ended", counts=dict(COUNTS))


async def serve(config: GatewayConfig, resp_file: str | None, peers_file: str | None = None) -> None:
    """Run a gateway until SIGTERM.

    Raises:
        WireError: A part of the configuration is invalid.
    """
    await GatewayProcess(config, resp_file, peers_file).run()


def find_counter_endpoint(config: GatewayConfig, resp: RespSettings | None) -> CounterEndpoint | None:
    """Return the counter's address and the factory of its codec, None if no counter is configured."""
    if resp is not None and resp.counter is not None:
        from hallhitch.resp.counter_codec import RespCounterCodec

        return parse_address(resp.counter), RespCounterCodec
    if config.counter is not None:
        return config.counter, partial(HttpCounterCodec, config.counter[0])
    return None


def read_resp_settings(path: str | None) -> RespSettings | None:
    """Return the settings of the RESP frontend, None if it is not enabled."""
    if path is None:
        return None
    from hallhitch.resp.settings import read_settings

    return read_settings(path)


def fields_requiring_restart(previous: GatewayConfig, new_config: GatewayConfig) -> list[str]:
    """Return the names of changed fields that a reload does not apply."""
    return [
        field.name
        for field in fields(previous)
        if field.name not in RELOADABLE_FIELDS and getattr(previous, field.name) != getattr(new_config, field.name)
    ]


def make_membership(
    path: str,
    config: GatewayConfig,
    shared_folder: str | None,
    deadlines: Deadlines,
    loop: asyncio.AbstractEventLoop,
    on_counted: Callable[[GatewayCounts], None],
) -> MembershipService:
    """Create the membership service; `shared_folder` is shared by all processes of this gateway.

    Raises:
        WireError: The gateway's name is not a valid member name.
    """
    from hallhitch.membership.errors import MemberNameError
    from hallhitch.membership.gateway_id import read_gateway_id
    from hallhitch.membership.service import GatewayIdentity, MembershipService
    from hallhitch.membership.settings import read_settings

    try:
        return MembershipService(
            read_settings(path),
            GatewayIdentity(config.name, __version__, read_gateway_id(shared_folder)),
            config.settings.gateways,
            deadlines,
            loop,
            random.Random(),
            on_counted,
        )
    except MemberNameError as error:
        raise WireError(f"field 'name': {error}") from error


def open_or_inherit(field: str, address_or_fd: tuple[str, int] | int) -> socket.socket:
    """Open a listener on an address, or inherit the listener with the given file descriptor.

    Raises:
        WireError: The listener cannot be opened or inherited; the message names the field.
    """
    try:
        return inherit_listener(address_or_fd) if isinstance(address_or_fd, int) else open_listener(address_or_fd)
    except OSError as error:
        raise WireError(f"field '{field}': {error}") from error


def main() -> int:
    """Run a gateway and return the exit code: 2, with one line on stderr, if the configuration is invalid."""
    parser = argparse.ArgumentParser(
        prog="hallhitch", description="Run one gateway, configured by the file that EDGE_CONFIG names."
    )
    parser.add_argument("--resp", metavar="FILE", help="also answer RESP limit commands, configured by FILE")
    parser.add_argument("--peers", metavar="FILE", help="join the membership of gateways, configured by FILE")
    arguments = parser.parse_args()
    logs.configure()
    try:
        uvloop.run(serve(read_config(), arguments.resp, arguments.peers))
    except WireError as error:
        print(f"hallhitch: {error}", file=sys.stderr)
        return 2
    return 0
