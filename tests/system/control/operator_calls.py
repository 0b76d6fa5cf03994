"""Operator calls and configurations for tests on a simulated cluster of coordinators.

For the cluster itself see `hallhitch.lab.simulation.coordinator_cluster`. Its initial members have the first three or
five of the addresses below; the others are for machines that a test adds.
"""

from __future__ import annotations

import json
from typing import Any, Final, NamedTuple

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorMachine
from hallhitch.node.settings import RuleBounds

CATCH_UP_S: Final = RuleBounds().catch_up_ms / 1000  # after which a replaced machine no longer counts as a loss
FIRST: Final = "10.0.0.1:7000"
SECOND: Final = "10.0.0.2:7000"
THIRD: Final = "10.0.0.3:7000"
FOURTH: Final = "10.0.0.4:7000"
FIFTH: Final = "10.0.0.5:7000"
SPARE: Final = "10.0.0.6:7000"


class OperatorReply(NamedTuple):
    """The status and the decoded body of a reply."""

    status: int
    body: Any


class DescribedConfig(NamedTuple):
    """The configuration in force, reduced to what tests compare."""

    version: int
    mark: str


def config_body(version: int, mark: str = "", routes: int = 1) -> bytes:
    """Return a valid configuration with this version and number of routes; `mark` identifies it."""
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
) -> OperatorReply:
    """Make one call of the operator API."""
    assert machine.operator is not None
    reply = await machine.operator.handle(method, f"/hallhitch/rpc?call={name}", body)
    assert reply.headers["Content-Type"] == "application/json"
    return OperatorReply(reply.status, json.loads(reply.body))


async def replace_config(machine: CoordinatorMachine, version: int, mark: str = "", routes: int = 1) -> int:
    """Send a configuration and return the status of the reply."""
    return (await call_operator(machine, "config.replace", config_body(version, mark, routes))).status


async def describe_config(machine: CoordinatorMachine) -> DescribedConfig:
    """Return the configuration that a machine reports as being in force."""
    status, body = await call_operator(machine, "config.describe")
    assert status == 200, body
    return DescribedConfig(body["configVersion"], body["mark"])


async def evacuated_zones(machine: CoordinatorMachine) -> set[str]:
    """Return the evacuated zones of the committed state, read through a ballot."""
    assert machine.plane is not None
    committed = await machine.plane.propose(lambda state: state, 2000)
    return set(committed.evacuations)
