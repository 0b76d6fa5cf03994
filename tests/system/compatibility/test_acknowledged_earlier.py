"""A configuration that commit 6d42b82 acknowledged and that this one refuses, in a data directory which it wrote.

`data_folder_6d42b82` is the data directory of the replica at 10.0.0.1:7000. Its configuration has priorities that are
an empty text and an empty list, infinite times, a rate beyond 2^63, a path with a space, a tenant's name and keys that
no header can carry, and a region without a name; beside them a route and tenants without a fault.
"""

from __future__ import annotations

import json
import shutil
import zlib
from pathlib import Path

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, run_scenario
from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.planes.config_compiler import compile_config
from hallhitch.planes.config_fields import MAX_NUMBER
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.state_store import StateStore
from hallhitch.planes.control.storage import DirectoryStorage
from tests.system.control.operator_calls import call_operator
from tests.system.distribution.test_unreadable_values import status

HERE = Path(__file__).parent
HOST = "shop.example"


@pytest.fixture
def stored_state(tmp_path: Path) -> ClusterState:
    directory = shutil.copytree(HERE / "data_folder_6d42b82", tmp_path / "data")
    loaded = StateStore(DirectoryStorage(directory), "10.0.0.1:7000").load()
    assert loaded.state is not None and not loaded.problems
    return loaded.state.state


def test_gateways_serve_all_of_it_that_can_be_read(stored_state: ClusterState) -> None:
    config = compile_config(stored_state.serial, stored_state.config_version, stored_state.config, ())
    assert [status(config, path, "k-mill", HOST) for path in ("/look/1", "/audit/1", "/none/1")] == [200, 200, 404]
    keys = {key: status(config, "/look/1", key, HOST) for key in ("k-press", "k-list", "k-keys", "k-name", "k-regions")}
    assert keys == {"k-press": 200, "k-list": 200, "k-keys": 200, "k-name": 503, "k-regions": 503}
    assert status(config, "/look/1", "k-unknown", HOST) == 401
    assert config.tenants["press"].priority is None and config.tenants["mill"].priority == 1
    assert config.services["s"].slow_start_rate_per_s == config.limits.idle_timeout_ms == MAX_NUMBER
    assert {value.path for value in config.unreadable} == {"tenants.name\r\n", "tenants.regions.allowedRegions.0"}


def test_coordinators_acknowledge_it_again_and_refuse_its_like(stored_state: ClusterState) -> None:
    body = zlib.decompress(stored_state.config)

    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await cluster.bootstrap()
        plane = machines[0].plane
        assert plane is not None
        (recorded,) = stored_state.config_digests
        await plane.propose(state_transitions.replace_config(2, stored_state.config, recorded.digest), 2000)
        for machine in machines:
            assert (await call_operator(machine, "config.replace", body)).status == 200
            assert (await call_operator(machine, "config.describe")).body == json.loads(body)
            newer = json.dumps(json.loads(body) | {"configVersion": 3}).encode()
            assert (await call_operator(machine, "config.replace", newer)).status == 400

    run_scenario(scenario)
