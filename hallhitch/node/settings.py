"""The settings of a process as typed values; `settings_file` reads them from a file.

These are read and validated, but do not affect the programs:

- `NodeSettings.role`, `serves`, `cloud_api_rate_per_s`.
- `RuleBounds.ack_timeout_ms` (the simulation checks its rules by it), `evacuation_ms`, `seed_lag_ms`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Final

# Share of `config_apply_ms`; the rest is for the propagation of an update from the coordinator to the last gateway.
SERVING_LEASE_OF_CONFIG_APPLY_RATIO: Final = 0.4
# Largest share of `contact_window_ms`, so that a machine that regains contact need not wait for a lease to end.
SERVING_LEASE_OF_CONTACT_WINDOW_RATIO: Final = 0.8

HostPort = tuple[str, int]


@dataclass(frozen=True, slots=True)
class RuleBounds:
    """The bounds that operators set for the behaviour of the system."""

    drain_timeout_ms: float = 5000.0
    grace_period_ms: float = 6000.0
    config_apply_ms: float = 5000.0
    ack_timeout_ms: float = 10_000.0
    evacuation_ms: float = 5000.0
    catch_up_ms: float = 5000.0
    contact_window_ms: float = 5000.0
    seed_lag_ms: float = 3000.0
    retry_budget_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_budget_slack: float = 0.0  # requests
    quota_window_ms: float = 5000.0
    quota_overshoot_ratio: float = 0.0
    quota_slack: float = 0.0  # requests
    slow_start_overshoot_ratio: float = 1.0
    slow_start_slack: float = 0.0  # requests
    max_ttl_ms: float = 5000.0

    @property
    def serving_lease_ms(self) -> float:
        """How long a coordinator may answer for the core after a majority confirmed it; see planes.control."""
        return min(
            SERVING_LEASE_OF_CONFIG_APPLY_RATIO * self.config_apply_ms,
            SERVING_LEASE_OF_CONTACT_WINDOW_RATIO * self.contact_window_ms,
        )


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Identity, location, resources and bounds of one process."""

    name: str
    role: str
    machine_class: str
    serves: frozenset[str]
    ip_address: str
    zone: str
    region: str
    internal_port_range: tuple[int, int]
    seed_nodes: tuple[HostPort, ...]
    is_first_start: bool
    region_by_zone: Mapping[str, str]
    listen_addresses: Mapping[str, HostPort]
    bounds: RuleBounds
    tolerated_machine_losses: int
    memory_mb: float
    max_open_files: int
    data_directory: Path | None
    cloud_api_address: HostPort | None
    cloud_api_rate_per_s: float
    endpoint_list_lag_ms: float
    cluster_name: str
    metrics_port: int = 0  # 0: the process serves no metrics

    @property
    def internal_address(self) -> str:
        """The address at which the other processes of the system reach this one."""
        return f"{self.ip_address}:{self.internal_port_range[0]}"

    @property
    def metrics_address(self) -> HostPort:
        """The address at which this process serves its metrics."""
        return self.ip_address, self.metrics_port

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """The internal addresses of the seed nodes; the internal port is the same on all machines."""
        return tuple(f"{host}:{self.internal_port_range[0]}" for host, _ in self.seed_nodes)
