"""The emulated site of `system_capacity`: addresses on loopback, zones, settings of its coordinators.

Each trial has a number; its coordinators listen on 127.1.TRIAL.1 to .3 and the endpoint list on 127.1.TRIAL.9, so that
connections of an earlier trial are not in the way.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

INTERNAL_PORT: Final = 26_180  # first of the internal range; below the range of ephemeral ports
OPERATOR_PORT: Final = INTERNAL_PORT + 8
ENDPOINT_LIST_PORT: Final = INTERNAL_PORT + 9
COORDINATOR_COUNT: Final = 3
ZONE_COUNT: Final = 6
REGIONS_BY_ZONE: Final = {f"zone-{number}": f"region-{number % 3}" for number in range(ZONE_COUNT)}


def coordinator_host(trial: int, coordinator: int) -> str:
    """Return the address of one coordinator."""
    return f"127.1.{trial}.{coordinator + 1}"


def endpoint_list_host(trial: int) -> str:
    """Return the address of the emulated platform's endpoint list."""
    return f"127.1.{trial}.9"


def write_settings(folder: Path, trial: int, coordinator: int) -> Path:
    """Write the settings file of one coordinator and return its path."""
    hosts = [coordinator_host(trial, number) for number in range(COORDINATOR_COUNT)]
    zone = f"zone-{coordinator}"
    data_directory = folder / f"core-{coordinator}" / "data"
    data_directory.mkdir(parents=True, exist_ok=True)
    values: dict[str, Any] = {
        "nodeName": f"core-{coordinator}",
        "role": "coordinator",
        "machineClass": "core",
        "serves": ["control_plane"],
        "ipAddress": hosts[coordinator],
        "zone": zone,
        "region": REGIONS_BY_ZONE[zone],
        "internalPortRange": [INTERNAL_PORT, INTERNAL_PORT + 7],
        "seedNodes": [f"{host}:{OPERATOR_PORT}" for host in hosts],
        "firstStart": True,
        "dataDirectory": str(data_directory),
    }
    tables: Mapping[str, Mapping[str, Any]] = {
        "zones": REGIONS_BY_ZONE,
        "listenAddresses": {"controlPlane": f"{hosts[coordinator]}:{OPERATOR_PORT}"},
        "faultTolerance": {"machineLosses": 1},
        "cloudApi": {
            "address": f"{endpoint_list_host(trial)}:{ENDPOINT_LIST_PORT}",
            "ratePerS": 47.0,
            "maxLag": "800ms",
        },
    }
    path = data_directory.parent / "settings.toml"
    path.write_text(_as_toml(values, tables))
    return path


def _as_toml(values: Mapping[str, Any], tables: Mapping[str, Mapping[str, Any]]) -> str:
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    for name, entries in tables.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in entries.items()]
    return "\n".join(lines) + "\n"
