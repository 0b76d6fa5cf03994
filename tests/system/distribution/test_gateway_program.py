"""The gateway program: conditions of its readiness, and what it reports to peers and clients."""

from __future__ import annotations

import json
import random
import zlib
from dataclasses import replace

from hallhitch.lab.simulation.node_settings import coordinator_settings
from hallhitch.programs.gateway import GatewayProgram
from hallhitch.programs.runtime import Runtime
from tests.system.distribution.simulated_core import ProgramLink, SimulatedCoordinators
from tests.system.distribution.simulated_peers import (
    SimulatedPeers,
    make_backend,
    make_gateway,
    run_in_virtual_time,
)

CONFIG = zlib.compress(json.dumps({"services": {"s": {}}}).encode())
ADDRESS = "10.0.1.1:7000"


def build_gateway(peers: SimulatedPeers) -> GatewayProgram:
    """Return a gateway program without starting it, because no client connects to it."""
    coordinators = SimulatedCoordinators(peers)
    runtime = Runtime(
        clock=peers.clock,
        random=random.Random(1),
        connect=lambda cluster, own, incarnation, handler: ProgramLink(coordinators, own, handler),
    )
    node = replace(
        coordinator_settings(ADDRESS, True, (), 1),
        role="gateway",
        machine_class="edge",
        data_directory=None,
        listen_addresses={"frontend": ("10.0.1.1", 80)},
    )
    return GatewayProgram(node, runtime)


def readiness(program: GatewayProgram) -> int:
    return program._handle_readiness("GET", "/hallhitch/readiness?verbose=1", b"").status


def test_gateway_is_ready_once_it_has_configuration_endpoint_list_and_replies_of_the_seeds() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        program = build_gateway(peers)
        hub = program._hub
        hub.on_change.append(program._on_state_change)  # as `start` does
        hub.update_config(1, 5, CONFIG, ["z"])
        assert program._config.version == 5 and readiness(program) == 503
        hub.update_backends(1.0, [make_backend("i-1")])
        assert readiness(program) == 503 and not program._own_entry().is_ready
        program._sync.is_startup_complete = True
        hub.notify()
        assert readiness(program) == 200
        entry = program._own_entry()
        assert entry.is_ready and not entry.is_leaving and entry.frontend == "10.0.1.1:80"
        program._is_leaving = True
        assert readiness(program) == 503 and program._own_entry().is_leaving

    run_in_virtual_time(scenario)


# Guards against one part of the state that cannot be applied keeping all others from being applied (review/2).
def test_part_that_cannot_be_applied_keeps_no_other_part_from_being_applied() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        program = build_gateway(peers)
        hub = program._hub
        hub.on_change.append(program._on_state_change)
        hub.update_config(1, 5, CONFIG, [])
        hub.update_config(2, 6, b"no compressed content", ["z"])
        assert program._config.version == 5 and program._config.evacuated_zones == {"z"}
        hub.update_backends(1.0, [make_backend("i-1")])
        hub.set_gateways({"g1:1": make_gateway("g1")})
        assert list(program._data._pools._pools) == ["i-1"]
        assert failures(program) == {"config": 1.0}
        hub.update_config(3, 7, CONFIG, [])
        assert program._config.version == 7 and not program._config.evacuated_zones
        assert failures(program) == {"config": 1.0}

    run_in_virtual_time(scenario)


# Guards against gateways that never become ready after an upgrade, because a version that an earlier release
# acknowledged has a value that this release cannot read (CONFIG).
def test_gateway_with_a_configuration_that_it_can_read_in_part_is_ready_and_says_so(logged_lines: list[str]) -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        program = build_gateway(peers)
        hub = program._hub
        hub.on_change.append(program._on_state_change)
        program._sync.is_startup_complete = True
        hub.update_backends(1.0, [make_backend("i-1")])
        document = {
            "services": {"s": {}},
            "tenants": {"t": {"apiKeys": "secret", "priority": "high"}, "u": {"ratePerS": "x"}},
        }
        content = zlib.compress(json.dumps(document).encode())
        for serial in (2, 3):  # the second one with an evacuation, of the same version
            hub.update_config(serial, 6, content, ["z"] if serial == 3 else [])
            assert readiness(program) == 200 and program._config.version == 6
        assert failures(program) == {} and program._config.evacuated_zones == {"z"}
        (gauge,) = (metric for metric in program._metrics() if metric.name == "config_unreadable_values")
        assert list(gauge.samples.values()) == [3.0]

    run_in_virtual_time(scenario)
    (line,) = (line for line in logged_lines if "configuration read in part" in line)
    assert "config_version=6" in line and "paths=tenants.t.apiKeys,tenants.t.priority,tenants.u.ratePerS" in line
    assert "secret" not in line


def test_gateway_whose_first_configuration_cannot_be_applied_is_not_ready() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        program = build_gateway(peers)
        hub = program._hub
        hub.on_change.append(program._on_state_change)
        program._sync.is_startup_complete = True
        hub.update_config(1, 5, b"no compressed content", ["z"])
        hub.update_backends(1.0, [make_backend("i-1")])
        assert readiness(program) == 503 and program._data.context.config is None

    run_in_virtual_time(scenario)


def failures(program: GatewayProgram) -> dict[str, float]:
    (metric,) = program._state.metrics()
    return {part: count for part, count in metric.samples.items() if count}


def test_gateway_resolves_to_the_gateways_that_it_knows() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        program = build_gateway(peers)
        target = "/hallhitch/resolve?name=h&region=r&zone=z"
        assert program._handle_resolve("GET", target, b"").status == 503
        program._hub.set_gateways({"g1:1": make_gateway("g1"), "g2:1": make_gateway("g2", is_leaving=True)})
        reply = program._handle_resolve("GET", target, b"")
        assert reply.status == 200 and json.loads(reply.body)["addresses"] == ["g1:80"]
        assert program._handle_resolve("POST", target, b"").status == 405
        assert program._handle_resolve("GET", "/other", b"").status == 404

    run_in_virtual_time(scenario)
