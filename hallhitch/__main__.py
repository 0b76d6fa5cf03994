"""One real gateway: `python -m hallhitch`."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys

import structlog
import uvloop

from hallhitch.core.deadlines import Clock, Deadlines
from hallhitch.core.invariants import COUNTS
from hallhitch.core.module import Core
from hallhitch.net import config
from hallhitch.net.counter import CounterClient, HttpCounterCodec
from hallhitch.net.hops import Hops
from hallhitch.net.ingress import Ingress
from hallhitch.net.routes import RouteTable
from hallhitch.net.sockets import listen
from hallhitch.policy import Gateway
from hallhitch.settings import WireError

log = structlog.get_logger()


async def serve(told: config.Config) -> None:
    """Wire the parts together and run until SIGTERM."""
    loop = asyncio.get_running_loop()
    deadlines = Deadlines(Clock(), loop)
    settings = told.settings
    core = Core(Gateway(settings, told.seed), deadlines, loop)
    routes = RouteTable(loop, deadlines, told.zones, core.post)
    third = (told.sockets - 32) // 3
    core.hop = Hops(routes, core, deadlines, loop, settings.connect_timeout, settings.keepalive, third)
    if told.counter is not None:
        host, _ = address = told.counter
        core.counter = CounterClient(
            address, lambda: HttpCounterCodec(host), core.counted, deadlines, loop, settings.counter_timeout)
    if told.known is not None:
        routes.post(told.known)
    ingress = Ingress(listen(told.listen), core, settings, deadlines, loop, 2 * third - 64)
    loop.add_signal_handler(signal.SIGTERM, ingress.close)
    loop.add_signal_handler(signal.SIGINT, ingress.close)
    tasks = [loop.create_task(routes.watch(told.discovery)), loop.create_task(ingress.accept())]
    log.info("serving", gateway=told.name, listen=f"{told.listen[0]}:{told.listen[1]}")
    gc.collect()
    gc.freeze()
    await ingress.closed()
    for task in tasks:
        task.cancel()
    log.info("ended", counts=dict(COUNTS))


def main() -> int:
    """Start; a bad configuration is one line and exit code 2."""
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso"),
                    structlog.processors.format_exc_info, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    try:
        told = config.read()
    except WireError as error:
        print(f"hallhitch: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(told))
    except OSError as error:
        print(f"hallhitch: field 'listen': {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
