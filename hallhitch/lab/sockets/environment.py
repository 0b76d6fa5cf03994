"""State that the emulated parties of a run on sockets share."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hallhitch.decision import api
from hallhitch.lab.http_messages import Reader
from hallhitch.lab.journal import Journal
from hallhitch.lab.model_network import ModelNetwork
from hallhitch.lab.scenario import WorldSettings
from hallhitch.lab.services import Counter, Discovery
from hallhitch.lab.sockets.listener import LoopTime
from hallhitch.lab.traffic import PlannedRequest


@dataclass(slots=True, eq=False)
class AttemptInProgress:
    """An attempt that a node serves: its connection, and whether its end has been journalled."""

    reader: Reader
    is_journalled: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class RequestRegistry:
    """The requests sent so far, by the request id that the gateway passes on to the nodes."""

    planned_requests: dict[int, PlannedRequest] = field(default_factory=dict)
    gateways: dict[int, int] = field(default_factory=dict)  # number of the gateway that each request was sent to
    attempt_counts: dict[int, int] = field(default_factory=dict)
    in_progress: dict[int, AttemptInProgress] = field(default_factory=dict)

    def next_attempt_number(self, id: int) -> int:
        """Return the number of the next attempt of a request, counted from 0."""
        number = self.attempt_counts.get(id, 0)
        self.attempt_counts[id] = number + 1
        return number


@dataclass(frozen=True, slots=True)
class SocketEnvironment:
    """The models, the journal and the request registry of a run."""

    world: WorldSettings
    settings: api.Settings
    time: LoopTime
    journal: Journal
    network: ModelNetwork
    counter: Counter
    discovery: Discovery
    requests: RequestRegistry
    reaches: Callable[[int, str], Awaitable[bool]]  # whether a gateway's data reaches a party; waits on a stalled link
