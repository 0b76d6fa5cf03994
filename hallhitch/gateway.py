"""One real gateway: `python -m hallhitch`.

The RESP front and membership are imported only where they are asked for: their settings files need what the platform
does not install.
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
from typing import TYPE_CHECKING

import structlog
import uvloop

from hallhitch import __version__, logs
from hallhitch.core.addresses import parse_address
from hallhitch.core.deadlines import Clock, Deadlines
from hallhitch.core.grants import LOCAL_SERVER_LIST, GrantHop
from hallhitch.core.invariants import COUNTS
from hallhitch.core.module import Core
from hallhitch.decision import api
from hallhitch.decision.policy import Gateway
from hallhitch.decision.settings import WireError
from hallhitch.net import config
from hallhitch.net.budget import budget
from hallhitch.net.counter import CounterClient, CounterCodec, HttpCounterCodec
from hallhitch.net.hops import Hops
from hallhitch.net.ingress import Ingress
from hallhitch.net.pacing import Pacing
from hallhitch.net.routes import RouteTable
from hallhitch.net.sockets import inherited, listen
from hallhitch.ops.hot_restart.sibling_monitor import SiblingMonitor
from hallhitch.ops.lifecycle import Command, Lifecycle
from hallhitch.ops.metrics import CONTENT_TYPE, GatewayMetrics
from hallhitch.ops.operator_server import OperatorReply, OperatorServer

if TYPE_CHECKING:
    from hallhitch.membership.damped_view import GatewayCounts
    from hallhitch.membership.service import MembershipService
    from hallhitch.resp.server import LimitServer
    from hallhitch.resp.settings import RespSettings

MOVES = {"discovery", "counter", "settings", "zones", "file", "known", "seed"}  # what SIGHUP changes, or a start alone
STAYS = {"name", "listen", "sockets", "memory", "ops", "inherited"}  # what holds until the next start
FIRST_LIST = 500.0  # ms to wait at a start for discovery's word: the list held so far may name servers long gone
HELD_SHARE = 16  # of the memory, as one part: bytes of long requests that are kept whole until they have come
log = structlog.get_logger()


def counter_of(
    told: config.Config, resp: RespSettings | None
) -> tuple[tuple[str, int], Callable[[], CounterCodec]] | None:
    """Where the counter is and what it speaks."""
    if resp is not None and resp.counter is not None:
        from hallhitch.resp.counter_codec import RespCounterCodec

        return parse_address(resp.counter), RespCounterCodec
    if told.counter is not None:
        return told.counter, partial(HttpCounterCodec, told.counter[0])
    return None


def read_resp(path: str | None) -> RespSettings | None:
    """The file of the RESP front, if there is one."""
    if path is None:
        return None
    from hallhitch.resp.settings import read_settings

    return read_settings(path)


async def serve(told: config.Config, resp_file: str | None, peers_file: str | None = None) -> None:
    """Wire the parts together and run until SIGTERM; SIGHUP has the files read again."""
    resp = read_resp(resp_file)
    processes, shared = 1, os.environ.get("TMPDIR") if told.inherited is not None else None
    loop = asyncio.get_running_loop()
    deadlines = Deadlines(Clock(), loop)
    settings = told.settings

    counters: dict[Core, CounterClient] = {}
    place = counter_of(told, resp)

    def core_for(name: str, seed: int, batch: int = 0) -> Core:
        core = Core(Gateway(settings, seed), deadlines, loop, name, batch)
        cores.append(core)
        meet(core)
        return core

    def meet(core: Core) -> None:
        if place is not None:  # without one, the settings keep the module from calling
            core.counter = counters[core] = CounterClient(
                *place, core.on_counter_reply, deadlines, loop, told.settings.counter_timeout
            )

    cores: list[Core] = []

    def counts(found: GatewayCounts) -> None:
        for one in cores:
            one.post(api.Peers(found.placement_count, found.budget_count, found.rank))

    core = core_for("module", told.seed)
    members = None if peers_file is None else members_of(peers_file, told, shared, deadlines, loop, counts)
    pacing = Pacing(settings.gateways, not settings.push_list, told.seed)
    metrics, lifecycle = GatewayMetrics(kind.name for kind in settings.classes), Lifecycle()
    routes = RouteTable(loop, deadlines, told.zones, core.post, pacing)
    shares = budget(told.sockets, told.ops is not None)
    clients, spare = shares.clients, shares.spare
    core.hop = hops = Hops(routes, core, deadlines, loop, settings, shares.hops, metrics.record_attempt)
    if told.known is not None:
        routes.post(told.known)
    fronts: dict[Ingress | LimitServer, Callable[[], socket.socket]] = {}  # and where each gets its listener
    if resp is not None:
        limits = core_for("limits", told.seed + 1, batch=1)
        limits.hop = GrantHop(limits)
        limits.post(LOCAL_SERVER_LIST)
        most = min(resp.connections, clients // 2)
        clients -= most + spare
        from hallhitch.resp.server import LimitServer

        fronts[LimitServer(limits, settings, deadlines, loop, most, spare)] = partial(
            bound, "listen (RESP)", parse_address(resp.listen)
        )
    ingress = Ingress(
        core,
        settings,
        deadlines,
        loop,
        clients,
        spare,
        told.inherited is not None,
        told.memory // HELD_SHARE,
        lambda: lifecycle.is_healthy,
        metrics.record_request,
    )
    fronts[ingress] = (
        partial(bound, "listen", told.listen) if told.inherited is None else partial(bound, "EDGE_FD", told.inherited)
    )
    metrics.gauges = {
        "in_flight": lambda: ingress.in_flight,
        "backends_known": lambda: len(routes.entries),
        "backends_excluded": core.gateway.unavailable_count,
    }
    serving = False

    def apply(command: Command) -> OperatorReply:
        if lifecycle.apply(command):
            log.info("lifecycle changed", command=command.value, state=lifecycle.state.value)
        for front in fronts:
            if lifecycle.is_healthy:
                front.rejoin()
            else:
                front.drain()
        if members is not None:
            if lifecycle.is_healthy:
                members.rejoin()
            else:
                members.leave()
        return OperatorReply(200, lifecycle.state.value + "\n")

    def ready() -> OperatorReply:
        is_ready = serving and not lifecycle.is_stopping
        return OperatorReply(200 if is_ready else 503, ("ready" if is_ready else "not ready") + "\n")

    calls = {
        ("GET", "/api/ready"): ready,
        ("GET", "/api/telemetry"): lambda: OperatorReply(200, metrics.render(), CONTENT_TYPE),
        ("PUT", "/api/evacuate"): lambda: apply(Command.EVACUATE),
        ("PUT", "/api/rejoin"): lambda: apply(Command.REJOIN),
    }
    if members is not None:
        metrics.render_extra = members.metrics_text
        calls["GET", "/api/members"] = lambda: OperatorReply(200, members.view_json(), "application/json")
    operator_server = None
    if told.ops is not None:
        operator_server = OperatorServer(calls, deadlines, loop, shares.ops)
        operator_server.open(bound("ops", told.ops))

    # Only where the platform may start a process beside this one.
    siblings = SiblingMonitor(shared, deadlines, core.gateway, hops.idleness)
    siblings.restore_state()
    ingress.ask = siblings.check

    def retune() -> None:
        for one in cores:
            one.apply_settings(replace(told.settings, processes=processes))
        if members is not None:  # who is there goes before how many the settings speak of
            members.republish()

    def share(lives: bool, serves: bool) -> None:
        nonlocal processes
        processes = 1 + serves
        retune()

    def close() -> None:
        if lifecycle.apply(Command.TERMINATE):
            log.info("ending")
            siblings.stop_writing()
            if members is not None:
                members.leave()
        for front in fronts:
            front.close()

    def reread() -> None:
        nonlocal told, place
        try:
            fresh = config.read(previous=told)
            found = counter_of(fresh, read_resp(resp_file))
        except Exception as error:  # whatever the files hold, what was read before goes on
            metrics.reloads_failed += 1
            log.error("configuration not taken", error=f"{type(error).__name__}: {error}")
            return
        metrics.reloads_ok += 1
        kept = [f.name for f in fields(told) if f.name not in MOVES and getattr(told, f.name) != getattr(fresh, f.name)]
        moved = fresh.discovery != told.discovery or fresh.zones != told.zones
        tuned = fresh.settings != told.settings
        told = replace(fresh, **{f.name: getattr(told, f.name) for f in fields(told) if f.name in STAYS})
        if tuned:
            metrics.add_classes(kind.name for kind in fresh.settings.classes)
            retune()
            for front in fronts:
                front.retune(fresh.settings)
            hops.retune(fresh.settings)
        if moved:  # the whole list is asked for: numbers are each discovery's own, and zones are places in it
            routes.retune(fresh.zones)
            routes.watch(fresh.discovery)
        before, place = place, found
        for one in cores:
            if one not in counters:
                meet(one)
            elif found is not None:
                counters[one].retune(fresh.settings.counter_timeout)
                if before is None or before[0] != found[0]:
                    counters[one].move(*found)
        log.info(
            "configuration taken",
            discovery=fresh.discovery,
            counter=found and found[0],
            classes=[kind.name for kind in fresh.settings.classes],
            kept_until_restart=kept,
        )

    loop.add_signal_handler(signal.SIGTERM, close)
    loop.add_signal_handler(signal.SIGINT, close)
    loop.add_signal_handler(signal.SIGHUP, reread)
    if members is not None:
        try:
            members.start()
        except OSError as error:
            raise WireError(f"{peers_file}: field 'listen': {error}") from error
    routes.watch(told.discovery)
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)  # what a request makes dies with it, and most of it in no cycle
    if settings.push_list:  # else the first answer may be long in coming, for all that ask
        await routes.heard(FIRST_LIST)
    # Nobody can connect before all is ready: what waits in a listener's line is taken, and its time runs.
    for front, listener in fronts.items() if not lifecycle.is_stopping else ():
        front.open(listener())
        serving = True
    siblings.start_serving([*(front.share for front in fronts), hops.share, share])
    log.info("serving", gateway=told.name, listen=f"{told.listen[0]}:{told.listen[1]}")
    for front in fronts:
        await front.closed()
    if members is not None:
        members.close()
    routes.close()
    if operator_server is not None:
        operator_server.close()
    siblings.close()
    log.info("ended", counts=dict(COUNTS))


def members_of(
    path: str,
    told: config.Config,
    shared: str | None,
    deadlines: Deadlines,
    loop: asyncio.AbstractEventLoop,
    counts: Callable[[GatewayCounts], None],
) -> MembershipService:
    """This gateway among the others, as the file says; `shared` is the folder of all processes of this gateway."""
    from hallhitch.membership.errors import MemberNameError
    from hallhitch.membership.gateway_id import read_gateway_id
    from hallhitch.membership.service import GatewayIdentity, MembershipService
    from hallhitch.membership.settings import read_settings

    try:
        return MembershipService(
            read_settings(path),
            GatewayIdentity(told.name, __version__, read_gateway_id(shared)),
            told.settings.gateways,
            deadlines,
            loop,
            random.Random(),
            counts,
        )
    except MemberNameError as error:
        raise WireError(f"field 'name': {error}") from error


def bound(field: str, place: tuple[str, int] | int) -> socket.socket:
    """A listener at an address or of a descriptor, or a word on why there is none."""
    try:
        return inherited(place) if isinstance(place, int) else listen(place)
    except OSError as error:
        raise WireError(f"field '{field}': {error}") from error


def main() -> int:
    """Start; a bad configuration is one line and exit code 2."""
    parser = argparse.ArgumentParser(prog="hallhitch", description="One gateway, configured by EDGE_CONFIG.")
    parser.add_argument("--resp", metavar="FILE", help="also answer RESP commands for limits, as FILE says")
    parser.add_argument("--peers", metavar="FILE", help="know the other gateways, as FILE says")
    arguments = parser.parse_args()
    logs.configure()
    try:
        told = config.read()
        uvloop.run(serve(told, arguments.resp, arguments.peers))
    except WireError as error:
        print(f"hallhitch: {error}", file=sys.stderr)
        return 2
    return 0
