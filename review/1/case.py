"""Gateways are stopped by SIGTERM, one after the other, while clients still use the connections that they keep to them.

Clients keep connections to a gateway. It gets SIGTERM. A little over 3 s later, each client sends one request that must
not run twice on its kept connection. It is a long one: each backend works 2.8 s on it, at any time, inside the route's
time-out of 4 s. When all requests have ended, the gateway starts again, and the next one has its turn. There is no other
disruption.

LOST is broken if a request that was sent later than 3 s after the SIGTERM reached a backend, and the connection ended
without an answer while that backend was still at work and neither the deadline nor the route's time-out was reached.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import (  # noqa: E402
    LIMITS,
    Backend,
    Broken,
    CannotRun,
    Client,
    Machine,
    Record,
    System,
    request_id,
    route,
    run,
    service,
)

TIMEOUT_S = 4.0  # the route's time-out and the client's deadline
SHORT_WORK_S, LONG_WORK_S = 0.02, 2.8  # on each request of the one and of the other route
FIRST_SEND_S, SEND_GAP_S, CLIENTS = 3.002, 0.003, 20  # after the SIGTERM; for each gateway
EXCUSED_UNTIL_S = 3.0  # "sent no later than 3 s after the SIGTERM"


@dataclass
class Try:
    """One request and how it ended; times are seconds after the SIGTERM."""

    id: str = field(default_factory=request_id)
    sent_s: float = 0.0
    ended_s: float = 0.0
    outcome: str = ""
    at_work: bool = False  # whether a backend was at work on it when it ended


class TwoKindsBackend(Backend):
    """A backend whose work depends on the route: requests under /bulk/ are long, others short."""

    async def answer(self, start: str, fields: dict[str, str], body: bytes) -> bytes:
        self.work_s = LONG_WORK_S if " /bulk/" in start else SHORT_WORK_S
        return await super().answer(start, fields, body)


async def send(system: System, client: Client, began: float, path: str) -> Try:
    """Send one request and wait for its end."""
    this = Try()
    fields = {
        "Host": "shop.example",
        "Hallhitch-Request-Id": this.id,
        "Hallhitch-Deadline-Remaining": f"{TIMEOUT_S * 1000:.0f}",
    }
    this.sent_s = time.monotonic() - began
    system.record(f"client sends POST {path} {this.id}, {this.sent_s:.3f} s")
    try:
        answer = await client.call(f"POST {path} HTTP/1.1", fields, b"x" * 300, TIMEOUT_S + 1)
        this.outcome = str(answer.status)
    except Broken:
        this.outcome = "closed without an answer"
    except TimeoutError:
        this.outcome = "no answer in time"
    this.ended_s = time.monotonic() - began
    this.at_work = any(this.id in backend.at_work for backend in system.backends)
    system.record(f"client: {this.id} ends at {this.ended_s:.3f} s: {this.outcome}; backend at work: {this.at_work}")
    return this


async def stop_one(system: System, gateway: Machine, has_trouble: bool) -> int:
    """Stop one gateway while clients use it, start it again, and return how many requests were lost."""
    clients = [await Client.connect(system.frontend(gateway)) for _ in range(CLIENTS)]
    for client in clients:  # each connection is a kept one: it has served a request
        first = await send(system, client, time.monotonic(), "/trade/commit")
        if first.outcome != "200":
            raise CannotRun(f"a request before the disruption got {first.outcome}")
    if has_trouble:
        system.signal(gateway, signal.SIGTERM)
    began = time.monotonic()

    async def send_at(number: int, client: Client) -> Try:
        await asyncio.sleep(max(0.0, began + FIRST_SEND_S + number * SEND_GAP_S - time.monotonic()))
        return await send(system, client, began, "/bulk/commit")

    tries = await asyncio.gather(*(send_at(number, client) for number, client in enumerate(clients)))
    for client in clients:
        client.close()
    outcomes = Counter(this.outcome for this in tries)
    system.record.say(f"{gateway.name}: {len(tries)} requests: {dict(outcomes)}")
    if has_trouble:
        assert gateway.process is not None
        await asyncio.wait_for(gateway.process.wait(), 10.0)
        await system.start_process(gateway)
        await system.wait_ready()
    return sum(
        this.outcome == "closed without an answer"
        and this.at_work
        and this.sent_s > EXCUSED_UNTIL_S
        and this.ended_s - this.sent_s < TIMEOUT_S
        for this in tries
    )


async def case(record: Record, has_trouble: bool) -> bool:
    system = System(record, coordinators=3, gateways=3)
    await system.add_backends("slotkeeper", 3, TwoKindsBackend)
    try:
        await system.start()
        await system.configure(
            {
                "configVersion": 1,
                "routes": {
                    "trade-commit": route("/trade/", "slotkeeper", "non_idempotent"),
                    "bulk-commit": route("/bulk/", "slotkeeper", "non_idempotent", targetLatency="3000ms"),
                },
                "services": {"slotkeeper": service()},
                "limits": LIMITS,
            }
        )
        await system.wait_ready()
        await asyncio.sleep(5.5)  # the contact window passes without trouble
        lost = [await stop_one(system, gateway, has_trouble) for gateway in system.gateways]
        record.say(f"sent over 3 s after the SIGTERM, passed on and cut while the backend was at work: {lost}")
        return not any(lost)
    finally:
        await system.end()


if __name__ == "__main__":
    run(case, FOLDER)
