"""The machines of an emulator and the text of their settings files."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from hallhitch.lab.emulator.connection_owners import Address
from hallhitch.lab.emulator.ports import (
    DIRECTORY_OFFSET,
    FRONTEND_OFFSET,
    INTERNAL_OFFSET,
    INTERNAL_PORT_COUNT,
    OPERATOR_OFFSET,
    READINESS_OFFSET,
)
from hallhitch.lab.emulator.spec import EmulatorSpec

# For each service of a machine: the settings names of its listening addresses and their port offsets.
LISTENERS: Final = {
    "edge": (("frontend", FRONTEND_OFFSET), ("readiness", READINESS_OFFSET)),
    "control_plane": (("controlPlane", OPERATOR_OFFSET),),
    "directory": (("directoryApi", DIRECTORY_OFFSET),),
}


@dataclass(slots=True)
class Machine:
    """One machine and its process."""

    name: str
    role: str  # gateway or coordinator
    serves: tuple[str, ...]
    host: str
    zone: str
    region: str
    number: int
    directory: Path
    process: asyncio.subprocess.Process | None = None
    was_started: bool = False
    is_initial: bool = True  # part of the system at its first start, as opposed to a successor
    is_paused: bool = False
    runs_earlier_release: bool = False  # the process is that of the rig's earlier release
    down_since_ms: float | None = None  # since an injected fault
    unexpected_exit_codes: list[int] = field(default_factory=list)
    is_end_requested: bool = False
    watcher: asyncio.Task[None] | None = None  # restarts the process after an unexpected exit

    @property
    def data_directory(self) -> Path:
        """The data directory, which stands for the machine's disk."""
        return self.directory / "data"

    @property
    def log_file(self) -> Path:
        """The file that receives stdout and stderr of the process."""
        return self.directory / "log"

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def last_lines(self, count: int) -> list[str]:
        """Return the last lines of the log."""
        if not self.log_file.exists():
            return []
        return self.log_file.read_text(errors="replace").splitlines()[-count:]


def listen_addresses(machine: Machine, base_port: int) -> dict[str, str]:
    """Return the listening addresses of a machine by their names in the settings file."""
    return {
        name: f"{machine.host}:{base_port + offset}"
        for service in machine.serves
        for name, offset in LISTENERS[service]
    }


def node_file_text(
    spec: EmulatorSpec, machine: Machine, base_port: int, seeds: Sequence[str], is_first_start: bool, platform: Address
) -> str:
    """Return the content of a machine's settings file."""
    is_gateway = machine.role == "gateway"
    top_level: dict[str, Any] = {
        "nodeName": machine.name,
        "role": machine.role,
        "machineClass": "edge" if is_gateway else "core",
        "serves": list(machine.serves),
        "ipAddress": machine.host,
        "zone": machine.zone,
        "region": machine.region,
        "internalPortRange": [base_port + INTERNAL_OFFSET, base_port + INTERNAL_PORT_COUNT - 1],
        "seedNodes": list(seeds),
        "firstStart": is_first_start,
        "countsTowardLoss": not is_gateway,
        "discoverySource": "cloud_api",
        "entryType": "directory",
        "configMode": "highest",
    }
    if not is_gateway:
        top_level["dataDirectory"] = str(machine.data_directory)
    tables: dict[str, Mapping[str, Any]] = {
        "zones": spec.region_by_zone(),
        "listenAddresses": listen_addresses(machine, base_port),
        "limits": {"cpuShare": 0.86, "cpuCores": 1, "memoryMb": 300, "maxOpenFiles": 4096, "bandwidthMbps": 1000.0},
        "faultTolerance": {"machineLosses": spec.tolerated_losses, "zones": 1, "regionLosses": 0},
        "bounds": _bounds_table(spec),
        "cloudApi": {
            "address": f"{platform[0]}:{platform[1]}",
            "ratePerS": spec.list_rate_per_s,
            "duties": [],
            "maxLag": _format_ms(spec.list_lag_ms),
        },
    }
    lines = [f"{name} = {json.dumps(value)}" for name, value in top_level.items()]
    for name, table in tables.items():
        lines += [f"[{name}]", *(f"{key} = {json.dumps(value)}" for key, value in table.items())]
    return "\n".join(lines) + "\n"


def _bounds_table(spec: EmulatorSpec) -> dict[str, Any]:
    bounds = spec.bounds
    return {
        "contactWindow": _format_ms(bounds.contact_window_ms),
        "drainTimeout": _format_ms(bounds.drain_timeout_ms),
        "gracePeriod": _format_ms(spec.grace_period_ms),
        "configApply": _format_ms(bounds.config_apply_ms),
        "downgradeSlack": _format_ms(bounds.downgrade_slack_ms),
        "evacuation": _format_ms(bounds.evacuation_ms),
        "ttl_max": _format_ms(spec.max_ttl_ms),
        "seedLag": "3s",
        "addressReuse": "2s",
        "ackTimeout": "6000ms",
        "catchUp": _format_ms(spec.catch_up_ms),
        "lossSlack": "200ms",
        "maxStretch": "10000ms",
        "recovery": "15s",
        "retryBudgetRatio": bounds.retry_budget_ratio,
        "retryWindow": _format_ms(bounds.retry_window_ms),
        "retryBudgetSlack": int(bounds.retry_budget_slack),
        "quotaWindow": _format_ms(bounds.quota_window_ms),
        "quotaOvershoot": bounds.quota_overshoot_ratio,
        "quotaSlack": int(bounds.quota_slack),
        "coldOvershoot": bounds.cold_overshoot_ratio,
        "coldSlack": int(bounds.cold_slack),
    }


def _format_ms(value_ms: float) -> str:
    return f"{value_ms:.0f}ms"
