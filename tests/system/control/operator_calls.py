"""Operator calls and configurations for tests on a simulated cluster of coordinators.

For the cluster itself see `hallhitch.lab.simulation.coordinator_cluster`. Its initial members have the first three
addresses, or five; the others are of machines that a test adds.
"""

from __future__ import annotations

import json
from typing import Any, Final

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorMachine
from hallhitch.node.settings import RuleBounds

CATCH_UP_S: Final = RuleBounds().catch_up_ms / 1000  # after which a replaced machine no longer counts as a loss
FIRST: Final = "10.0.0.1:7000"
SECOND: Final = "10.0.0.2:7000"
THIRD: Final = "10.0.0.3:7000"
FOURTH: Final = "10.0.0.4:7000"
FIFTH: Final = "10.0.0.5:7000"
SPARE: Final = "10.0.0.6:7000"


def config_body(version: int, mark: str = "", routes: int = 1) -> bytes:
    """Return a valid configuration with this version, a free text to recognise it by, and so many routes."""
    return json.dumps(
        {
            "configVersion": version,
            "mark": mark,
            "services": {"s": {}},
            "limits": {},
            "routes": {
                f"r-{n}": {
                    "host": "a.example",
                    "pathPrefix": f"/{n}/",
                    "routeKind": "idempotent",
                    "timeout": "3s",
                    "maxAttempts": 1,
                    "targetService": "s",
                }
                for n in range(routes)
            },
        }
    ).encode()


async def call_operator(
    machine: CoordinatorMachine, name: str, body: bytes = b"", method: str = "POST"
) -> tuple[int, Any]:
    """Make one call of the operator API and return the status and the decoded body."""
    assert machine.operator is not None
    status, headers, answer_body = await machine.operator.handle(method, f"/hallhitch/rpc?call={name}", body)
    assert headers["Content-Type"] == "application/json"
    return status, json.loads(answer_body)


async def replace_config(machine: CoordinatorMachine, version: int, mark: str = "", routes: int = 1) -> int:
    """Send a configuration and return the status of the answer."""
    return (await call_operator(machine, "config.replace", config_body(version, mark, routes)))[0]


async def describe_config(machine: CoordinatorMachine) -> tuple[int, str]:
    """Read the configuration back and return its version and mark."""
    status, body = await call_operator(machine, "config.describe")
    assert status == 200, body
    return body["configVersion"], body["mark"]


async def evacuated_zones(machine: CoordinatorMachine) -> set[str]:
    """Return the evacuated zones of the committed state, read through a ballot."""
    assert machine.plane is not None
    committed = await machine.plane.propose(lambda state: state, 2000)
    return set(committed.evacuations)
