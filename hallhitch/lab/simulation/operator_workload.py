"""The workload: operators that write and read configurations, evacuate zones, and retry as their protocol requires.

An operation is retried on another machine until it gets a conclusive response. Times are virtual seconds. Each operator
has a random generator of its own, which is seeded by its name.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

from hallhitch.lab.simulation.operation_history import Operation, OperationHistory, OperationKind
from hallhitch.lab.simulation.operator_client import (
    NO_RESPONSE,
    RESPONSE_TIMEOUT_S,
    Response,
    encode_config,
    record_response,
    send_attempt,
)
from hallhitch.lab.simulation.process_loop import ProcessLoop
from hallhitch.lab.simulation.schedule import Schedule

FIRST_BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 1.0
MAX_WRITES_IN_FLIGHT: Final = 4  # per operator; there are two operators
CONCLUSIVE_STATUSES: Final = (409, 400, 412, 413, 422)  # operators' protocol: these are not retried
RETRYABLE_CLIENT_ERRORS: Final = (408, 429)
MAX_ATTEMPTS_ON_CLIENT_ERROR: Final = 3  # operators' protocol: other 4xx are conclusive at the third attempt
MAX_LOST_RESPONSES: Final = 2  # per operation, so that every operation completes
MEAN_WRITE_INTERVAL_S: Final = 0.7  # each operator makes some ten writes in a run of 8 to 16 s
BURST_RATIO: Final = 0.1  # share of writes that are sent as a burst of MAX_WRITES_IN_FLIGHT


class VersionSequence:
    """The version numbers and contents that all operators share."""

    def __init__(self, rng: random.Random) -> None:
        self.newest = 0
        self._rng = rng
        self._content_count = 0

    def next(self) -> int:
        """Return a higher version than before, with gaps of random size."""
        self.newest += self._rng.choice((1, 1, 2, 7))
        return self.newest

    def next_content(self) -> str:
        """Return a content that no operator has written before."""
        self._content_count += 1
        return f"content-{self._content_count}"


class SimulatedOperator:
    """One operator, which calls the coordinators that `list_machines` returns and evacuates `zone`."""

    def __init__(  # noqa: PLR0913  all arguments are independent
        self,
        name: str,
        loop: ProcessLoop,
        list_machines: Callable[[], list[str]],
        port: int,
        history: OperationHistory,
        schedule: Schedule,
        versions: VersionSequence,
        zone: str,
    ) -> None:
        self.name = name
        self.loop = loop
        self._list_machines = list_machines
        self._port = port
        self._history = history
        self._schedule = schedule
        self._versions = versions
        self._zone = zone
        self._rng = random.Random(f"{schedule.seed} operator {name}")
        self._writes_in_flight: set[asyncio.Task[None]] = set()
        self._written: list[tuple[int, str]] = []

    async def run(self) -> None:
        """Invoke operations until the schedule's end."""
        await self._replace_config(self._versions.next(), self._versions.next_content())
        await asyncio.gather(self._write_configs(), self._evacuate_zone(), self._read_configs())

    async def read_back(self) -> None:
        """Invoke the final read."""
        read = self._invoke(OperationKind.DESCRIBE_CONFIG)
        read.is_final_read = True
        await self._complete(read, b"", self.loop.time() + self._history.acknowledgement_bound_s)

    def _is_active(self) -> bool:
        return self.loop.time() < self._schedule.duration_s

    async def _write_configs(self) -> None:
        while self._is_active():
            interval_s = self._rng.expovariate(1.0) * MEAN_WRITE_INTERVAL_S / self._schedule.operation_rate_factor
            await asyncio.sleep(interval_s)
            for _ in range(MAX_WRITES_IN_FLIGHT if self._rng.random() < BURST_RATIO else 1):
                if len(self._writes_in_flight) < MAX_WRITES_IN_FLIGHT:
                    task = asyncio.ensure_future(self._replace_config(*self._draw_write()))
                    self._writes_in_flight.add(task)
                    task.add_done_callback(self._writes_in_flight.discard)
        if self._writes_in_flight:
            await asyncio.wait(self._writes_in_flight)

    def _draw_write(self) -> tuple[int, str]:
        """Return version and content of a write: mostly new, sometimes conflicting, outdated or repeated."""
        draw = self._rng.random()
        if draw < 0.2:
            return self._versions.newest, self._versions.next_content()
        if draw < 0.27:
            return max(1, self._versions.newest - self._rng.randint(1, 5)), self._versions.next_content()
        if draw < 0.35 and self._written:
            return self._rng.choice(self._written)
        return self._versions.next(), self._versions.next_content()

    async def _replace_config(self, version: int, content: str) -> None:
        self._written.append((version, content))
        write = self._invoke(OperationKind.REPLACE_CONFIG)
        write.config_version = version
        write.content = content
        await self._complete(write, encode_config(version, content), float("inf"))

    async def _evacuate_zone(self) -> None:
        while self._is_active():
            for kind in (OperationKind.START_EVACUATION, OperationKind.STOP_EVACUATION):
                await asyncio.sleep(self._rng.uniform(0.0, 2.0) / self._schedule.operation_rate_factor)
                operation = self._invoke(kind)
                operation.zone = self._zone
                deadline_s = operation.invoked_at_s + self._history.acknowledgement_bound_s
                await self._complete(operation, b"", deadline_s)

    async def _read_configs(self) -> None:
        while self._is_active():
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            read = self._invoke(OperationKind.DESCRIBE_CONFIG)
            await self._complete(read, b"", self.loop.time() + RESPONSE_TIMEOUT_S)

    def _invoke(self, kind: OperationKind) -> Operation:
        operation = Operation(self.name, kind, self.loop.time())
        self._history.operations.append(operation)
        return operation

    async def _complete(self, operation: Operation, body: bytes, deadline_s: float) -> None:
        """Retry until a conclusive response arrives or the deadline passes."""
        backoff_s = FIRST_BACKOFF_S
        machines: list[str] = []
        while self.loop.time() < deadline_s:
            if not machines:
                machines = self._rng.sample(self._list_machines(), len(self._list_machines()))
            response = await self._attempt(machines.pop(), operation, body)
            if self._is_conclusive(response.status, operation.attempts):
                return record_response(operation, response, self.loop.time())
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        operation.abandoned_at_s = self.loop.time()
        return None

    @staticmethod
    def _is_conclusive(status: int, attempts: int) -> bool:
        if status == 200 or status in CONCLUSIVE_STATUSES:
            return True
        is_client_error = 400 <= status < 500 and status not in RETRYABLE_CLIENT_ERRORS
        return is_client_error and attempts >= MAX_ATTEMPTS_ON_CLIENT_ERROR

    async def _attempt(self, host: str, operation: Operation, body: bytes) -> Response:
        """Send one attempt. Its response may be lost."""
        response = await send_attempt(self.loop, host, self._port, operation, body)
        may_be_lost = response.status and operation.lost_responses < MAX_LOST_RESPONSES
        if may_be_lost and self._rng.random() < self._schedule.response_loss_ratio:
            operation.lost_responses += 1
            await asyncio.sleep(self._rng.choice((0.0, RESPONSE_TIMEOUT_S)))
            return NO_RESPONSE
        return response
