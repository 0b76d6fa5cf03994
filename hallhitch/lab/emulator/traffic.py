"""The workload: requests are planned before a run, reproducibly for a seed, and sent open-loop at their times."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from hallhitch.lab.emulator.client_request import ClientRequest, RequestOutcome
from hallhitch.lab.emulator.emulator import Emulator
from hallhitch.lab.emulator.spec import EmulatorSpec, TenantSpec
from hallhitch.lab.streams import Stream, Streams
from hallhitch.node.clock import now

START_DELAY_MS: Final = 100.0  # so that all tasks exist when the first request is due
OnSecond = Callable[[int, list[RequestOutcome]], None]  # called after each second with the requests that ended in it


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of a scenario; `at_s` is counted from the start of traffic."""

    at_s: float
    description: str
    inject: Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request with its offset from the start of traffic and the index of its client."""

    offset_ms: float
    client_index: int
    request: ClientRequest


def plan_requests(
    spec: EmulatorSpec, duration_s: float, client_count: int, load_factor: float = 1.0
) -> list[PlannedRequest]:
    """Return all requests of a run, sorted by time: each kind is sent at its rate times `load_factor`."""
    streams, planned = Streams(spec.seed), list[PlannedRequest]()
    sender_stream = streams.of("who")
    for kind in spec.request_kinds:
        time_stream, offset_ms = streams.of(f"times {kind.name}"), 0.0
        while True:
            offset_ms += time_stream.exponential(1000 / (kind.rate_per_s * load_factor))
            if offset_ms >= duration_s * 1000:
                break
            keys = spec.api_keys(_draw_tenant(spec, sender_stream))
            client_index = sender_stream.index(client_count)
            request = kind.make_request(len(planned), keys[sender_stream.index(len(keys))])
            planned.append(PlannedRequest(offset_ms, client_index, request))
    return sorted(planned, key=lambda request: request.offset_ms)


def _draw_tenant(spec: EmulatorSpec, stream: Stream) -> TenantSpec:
    draw = stream.random()
    for tenant in spec.tenants:
        draw -= tenant.traffic_share
        if draw < 0:
            return tenant
    return spec.tenants[-1]


@dataclass(slots=True)
class Traffic:
    """One run of planned requests and faults, with its results."""

    emulator: Emulator
    planned_requests: list[PlannedRequest]
    outcomes: list[RequestOutcome] = field(default_factory=list)
    send_delays_ms: list[float] = field(default_factory=list)  # by how much requests were sent late

    async def run(self, faults: list[PlannedFault], on_second: OnSecond = lambda second, outcomes: None) -> None:
        """Send all requests, inject the faults, and wait for everything that is in flight."""
        begin_ms = now() + START_DELAY_MS
        tasks = [asyncio.create_task(self._inject(fault, begin_ms)) for fault in faults]
        second, reported = 0, 0
        for planned in self.planned_requests:
            due_ms = begin_ms + planned.offset_ms
            while (wait_ms := due_ms - now()) > 0:  # noqa: ASYNC110  polls another process
                await asyncio.sleep(wait_ms / 1000)
            while planned.offset_ms >= (second + 1) * 1000:
                on_second(second, self.outcomes[reported:])
                second, reported = second + 1, len(self.outcomes)
            self.send_delays_ms.append(now() - due_ms)
            tasks.append(asyncio.create_task(self._send(planned)))
        await asyncio.gather(*tasks)
        on_second(second, self.outcomes[reported:])

    async def _send(self, planned: PlannedRequest) -> None:
        self.outcomes.append(await self.emulator.clients[planned.client_index].request(planned.request))

    async def _inject(self, fault: PlannedFault, begin_ms: float) -> None:
        at_ms = begin_ms + fault.at_s * 1000
        await asyncio.sleep(max(0.0, at_ms - now()) / 1000)
        await fault.inject()
