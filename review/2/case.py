"""An operator sends a configuration in which one tenant's priority is an empty text.

The second configuration adds a route, a tenant and its key; the priority of the new tenant is "" where a number belongs.
If the system refuses it, the rule holds. If it acknowledges it, it has to be in force on machines in touch.

CONFIG is broken if the second configuration is acknowledged, and machines in touch refuse its route or its key later
than configApply after that. Two orders that come afterwards show what else no longer takes effect: an evacuation that is
acknowledged (EVAC), and a backend that the platform lists as draining (DRAIN).
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import LIMITS, Record, System, call_once, request_id, route, run, service  # noqa: E402

MARGIN_S = 2.0  # beyond each bound
CONFIG_APPLY_S, EVACUATION_S, DRAIN_S, LIST_LAG_S = 3.0, 5.0, 3.0, 0.8
REQUESTS = 30  # to each gateway, in each check
RESTART_S = 10.0  # for a gateway that is started again; this is recorded and not judged


def tenant(key: str, priority: object) -> dict[str, object]:
    return {"apiKeys": [key], "priority": priority, "ratePerS": 0, "burstSize": 0, "allowedRegions": []}


async def case(record: Record, has_trouble: bool) -> bool:
    system = System(record, coordinators=3, gateways=2)
    await system.add_backends("linefoto", 6)  # two in each zone

    async def send(path: str, key: str) -> Counter[str]:
        """Send requests to each gateway; count them by status and by the backend that they reached."""
        outcomes: Counter[str] = Counter()
        for _ in range(REQUESTS):
            for machine in system.gateways:
                this = request_id()
                fields = {"Host": "shop.example", "Hallhitch-Request-Id": this, "Authorization": f"Token {key}"}
                answer = await call_once(system.frontend(machine), f"GET {path} HTTP/1.1", fields, b"", 4.0)
                reached = [backend for backend in system.backends if this in backend.arrived]
                status = answer.status if answer is not None else "none"
                record(f"client: GET {path} with {key} at {machine.name}: {status}; ran in {[b.zone for b in reached]}")
                outcomes[f"status {status}"] += 1
                for backend in reached:
                    outcomes[backend.zone] += 1
                    outcomes[backend.instance] += 1
        return outcomes

    try:
        await system.start()
        first = {
            "configVersion": 1,
            "routes": {"frame-lookup": route("/frames/", "linefoto")},
            "services": {"linefoto": service()},
            "limits": LIMITS,
            "tenants": {"mill": tenant("k-mill", 1)},
        }
        await system.configure(first)
        await system.wait_ready()
        await asyncio.sleep(5.5)  # the contact window
        record.say(f"before: {dict(await send('/frames/1', 'k-mill'))}")
        second = {
            **first,
            "configVersion": 2,
            "routes": {"frame-lookup": route("/frames/", "linefoto"), "audit": route("/audit/", "linefoto")},
            "tenants": {"mill": tenant("k-mill", 1), "press": tenant("k-press", "" if has_trouble else 2)},
        }
        answer = await system.order("config.replace", json.dumps(second).encode())
        record.say(f"second configuration: {answer.status} {answer.body.decode()}")
        if 400 <= answer.status < 500:
            return True  # refused: what was in force stays in force
        await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
        by_route = await send("/audit/1", "k-mill")
        by_key = await send("/frames/1", "k-press")
        record.say(f"its route: {dict(by_route)}")
        record.say(f"its key: {dict(by_key)}")
        order = await system.order("evacuations.start&of=z-a")
        record.say(f"evacuation of z-a: {order.status}")
        await asyncio.sleep(EVACUATION_S + MARGIN_S)
        evacuated = (await send("/frames/1", "k-mill"))["z-a"]
        leaving = system.backends[1]
        leaving.state = "draining"
        record(f"platform lists {leaving.instance} as draining")
        await asyncio.sleep(LIST_LAG_S + DRAIN_S + MARGIN_S)
        drained = (await send("/frames/1", "k-mill"))[leaving.instance]
        restarted = system.gateways[1]
        system.signal(restarted, signal.SIGKILL)
        assert restarted.process is not None
        await restarted.process.wait()
        await system.start_process(restarted)
        await asyncio.sleep(RESTART_S)
        readiness = await call_once(system.readiness(restarted), "GET /hallhitch/readiness HTTP/1.1", {})
        record.say(f"{restarted.name}, restarted {RESTART_S:.0f} s ago: readiness {readiness and readiness.status}")
        refused = by_route["status 404"] + by_key["status 401"]
        record.say(f"CONFIG: requests that only the first configuration refuses, refused: {refused}")
        record.say(f"EVAC: requests that reached the evacuated zone: {evacuated}")
        record.say(f"DRAIN: requests that reached the draining backend: {drained}")
        return not refused and not evacuated and not drained
    finally:
        await system.end()


if __name__ == "__main__":
    run(case, FOLDER)
