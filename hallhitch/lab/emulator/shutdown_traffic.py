"""Requests on open connections to a gateway that shuts down, at drawn times until its process is gone.

Half of the connections have served a request before, the others are opened at any time and used later. The requests
work for seconds, so that a gateway which takes one too late has to cut it. Times are in seconds.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from hallhitch.lab.emulator.backend import BackendSpec
from hallhitch.lab.emulator.client import Client
from hallhitch.lab.emulator.client_request import ClientRequest
from hallhitch.lab.emulator.emulator import Emulator
from hallhitch.lab.emulator.node_file import Machine
from hallhitch.lab.emulator.ports import FRONTEND_OFFSET
from hallhitch.lab.emulator.spec import EmulatorSpec, RequestKind
from hallhitch.lab.streams import Stream

LONG_WORK_MS: Final = 2000.0  # mean; it is drawn up to 1.4 times as long
LONG_DEADLINE_MS: Final = 4000.0
LONG_BACKENDS: Final = (BackendSpec("ledger", slots=12, work_ms=LONG_WORK_MS), 6)
LONG_KINDS: Final = (
    RequestKind("commit", "non_idempotent", (("ledger", 1),), 3.0, LONG_DEADLINE_MS, LONG_DEADLINE_MS, 0),
    RequestKind("export", "idempotent", (("ledger", 1),), 3.0, LONG_DEADLINE_MS, LONG_DEADLINE_MS, 1),
)
CONNECTIONS: Final = 16  # to each gateway that shuts down
CONNECT_S: Final = 0.3  # before SIGTERM, in which the connections are opened and serve their first requests
FIRST_REQUEST_NUMBER: Final = 40_000  # start of a range of request numbers that nothing else uses


def with_long_requests(spec: EmulatorSpec) -> EmulatorSpec:
    """Return the spec with a service whose requests work for seconds."""
    return replace(spec, backends=(*spec.backends, LONG_BACKENDS), request_kinds=(*spec.request_kinds, *LONG_KINDS))


@dataclass(frozen=True, slots=True)
class PlannedUse:
    """One connection: when it is opened, whether it then serves a request, and when a long request is sent on it."""

    opened_at_s: float  # since CONNECT_S before SIGTERM
    is_kept: bool
    pause_s: float  # before the long request
    kind: RequestKind


class ShutdownTraffic:
    """Draws and sends the requests. It does nothing in an emulator without long requests."""

    def __init__(self, emulator: Emulator, stream: Stream) -> None:
        self._emulator = emulator
        self._stream = stream
        self._long_kinds = [kind for kind in emulator.spec.request_kinds if kind in LONG_KINDS]
        self._numbers = itertools.count(FIRST_REQUEST_NUMBER)

    def draw(self) -> list[PlannedUse]:
        """Draw the use of one gateway's connections until the end of its grace period."""
        return [self._draw_use() for _ in range(CONNECTIONS)] if self._long_kinds else []

    def _draw_use(self) -> PlannedUse:
        ends_at_s = CONNECT_S + self._emulator.spec.grace_period_ms / 1000
        is_kept = self._stream.chance(0.5)
        opened_at_s = 0.0 if is_kept else self._stream.uniform(0.0, ends_at_s / 2)
        pause_s = self._stream.uniform(0.0, ends_at_s - opened_at_s)
        kind = self._long_kinds[self._stream.index(len(self._long_kinds))]
        return PlannedUse(opened_at_s, is_kept, pause_s, kind)

    async def run(self, gateway: Machine, uses: Sequence[PlannedUse]) -> None:
        """Use the connections; SIGTERM is expected `CONNECT_S` after the call."""
        await asyncio.gather(*(self._use(gateway, use) for use in uses))

    async def _use(self, gateway: Machine, use: PlannedUse) -> None:
        emulator, spec = self._emulator, self._emulator.spec
        address = f"{gateway.host}:{emulator.base_port + FRONTEND_OFFSET}"
        planned = [(use.pause_s, self._request(use.kind))]
        if use.is_kept:
            planned.insert(0, (0.0, self._request(spec.request_kinds[0])))
        client = Client(
            emulator.client_environment,
            gateway.region,
            gateway.zone,
            emulator.region_number(gateway.region),
            self._stream,
            stays_connected=True,
        )
        await asyncio.sleep(use.opened_at_s)
        await client.use_one_connection(address, planned)

    def _request(self, kind: RequestKind) -> ClientRequest:
        spec, number = self._emulator.spec, next(self._numbers)
        tenant = spec.tenants[number % len(spec.tenants)]
        return kind.make_request(number, spec.api_keys(tenant)[0])
