"""The settings file of a process: read, checked, typed. Fields nobody knows are passed over."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LEASE_OF_CONFIG = 0.4  # of configApply: the rest of it is for the news' way to the last gateway
LEASE_OF_CONTACT = 0.8  # of contactWindow at most: a machine in touch again must not be waited for
TIME = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")


class SettingsError(Exception):
    """The settings cannot be used; the text names file and field in one line."""


def parse_duration_ms(text: object) -> float:
    """A time as the pages write it, in milliseconds; raises ValueError.

    >>> span("1500ms"), span("2.5s")
    (1500.0, 2500.0)
    """
    match = TIME.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is no time such as 1500ms or 2.5s")
    return float(match[1]) * (1000.0 if match[2] == "s" else 1.0)


@dataclass(frozen=True, slots=True)
class RuleBounds:
    """The figures of the rules, times in ms."""

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
    retry_budget_slack: float = 0.0
    quota_window_ms: float = 5000.0
    quota_overshoot_ratio: float = 0.0
    quota_slack: float = 0.0
    slow_start_overshoot_ratio: float = 1.0
    slow_start_slack: float = 0.0
    max_ttl_ms: float = 5000.0

    @property
    def serving_lease_ms(self) -> float:
        """How long (ms) a majority's confirmation lets a coordinator speak for the core; see planes.control.serving."""
        return min(LEASE_OF_CONFIG * self.config_apply_ms, LEASE_OF_CONTACT * self.contact_window_ms)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a process was told: who and where it is, what it may use, what must hold."""

    name: str
    role: str
    machine_class: str
    serves: frozenset[str]
    ip_address: str
    zone: str
    region: str
    internal_port_range: tuple[int, int]
    seed_nodes: tuple[tuple[str, int], ...]
    is_first_start: bool
    region_by_zone: Mapping[str, str]
    listen_addresses: Mapping[str, tuple[str, int]]
    bounds: RuleBounds
    tolerated_machine_losses: int
    memory_mb: float  # MB
    max_open_files: int
    data_directory: Path | None
    cloud_api_address: tuple[str, int] | None
    cloud_api_rate_per_s: float
    endpoint_list_lag_ms: float  # ms
    cluster_name: str

    @property
    def internal_address(self) -> str:
        """The address at which the system's own processes reach this one."""
        return f"{self.ip_address}:{self.internal_port_range[0]}"

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """The internal addresses of the seeds: ports are alike on all machines."""
        return tuple(f"{host}:{self.internal_port_range[0]}" for host, _ in self.seed_nodes)


class _Reader:
    """Reads one table, naming file and field of whatever cannot be used."""

    def __init__(self, path: str, table: Mapping[str, Any], under: str = "") -> None:
        self._path, self._table, self._under = path, table, under

    def wrong(self, name: str, why: str) -> SettingsError:
        return SettingsError(f"{self._path}: {self._under}{name}: {why}")

    def get(self, name: str, kind: type | tuple[type, ...], *default: Any) -> Any:
        value = self._table.get(name, *default)
        if name not in self._table and not default:
            raise self.wrong(name, "is missing")
        # A truth value is a whole number to the language, and never what is meant here.
        if not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
            raise self.wrong(name, f"{value!r} cannot be used")
        return value

    def time(self, name: str, default: float) -> float:
        if name not in self._table:
            return default
        try:
            return parse_duration_ms(self._table[name])
        except ValueError as error:
            raise self.wrong(name, str(error)) from None

    def number(self, name: str, default: float) -> float:
        value = float(self.get(name, (int, float), default))
        if value < 0:
            raise self.wrong(name, f"{value!r} is below 0")
        return value

    def address(self, name: str, value: object) -> tuple[str, int]:
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise self.wrong(name, f"{value!r} is no address such as 10.0.0.1:80")
        return host, int(port)

    def table(self, name: str) -> _Reader:
        return _Reader(self._path, self.get(name, dict, {}), f"{self._under}{name}.")

    def items(self) -> Mapping[str, Any]:
        return self._table


def read_settings(path: str) -> NodeSettings:
    """The settings in a file; raises Unusable with one line that names file and field."""
    try:
        with open(path, "rb") as file:
            top = _Reader(path, tomllib.load(file))
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is no TOML: {error}") from None
    zones, ports = top.get("zones", dict, {}), top.get("internalPortRange", list)
    if len(ports) != 2 or not all(isinstance(p, int) and 0 < p < 65536 for p in ports) or ports[0] > ports[1]:
        raise top.wrong("internalPortRange", f"{ports!r} is no pair of ports")
    if not all(isinstance(region, str) for region in zones.values()):
        raise top.wrong("zones", "a zone without the name of a region")
    bounds, limits, cloud = top.table("bounds"), top.table("limits"), top.table("cloudApi")
    data = top.get("dataDirectory", str, "")
    plain = RuleBounds()
    return NodeSettings(
        name=top.get("nodeName", str),
        role=top.get("role", str),
        machine_class=top.get("machineClass", str),
        serves=frozenset(top.get("serves", list)),
        ip_address=top.get("ipAddress", str),
        zone=top.get("zone", str),
        region=top.get("region", str),
        internal_port_range=(ports[0], ports[1]),
        seed_nodes=tuple(top.address("seedNodes", seed) for seed in top.get("seedNodes", list)),
        is_first_start=top.get("firstStart", bool, False),
        region_by_zone=dict(zones),
        listen_addresses={
            name: top.table("listenAddresses").address(name, value)
            for name, value in top.table("listenAddresses").items().items()
        },
        bounds=RuleBounds(
            drain_timeout_ms=bounds.time("drainTimeout", plain.drain_timeout_ms),
            grace_period_ms=bounds.time("gracePeriod", plain.grace_period_ms),
            config_apply_ms=bounds.time("configApply", plain.config_apply_ms),
            ack_timeout_ms=bounds.time("ackTimeout", plain.ack_timeout_ms),
            evacuation_ms=bounds.time("evacuation", plain.evacuation_ms),
            catch_up_ms=bounds.time("catchUp", plain.catch_up_ms),
            contact_window_ms=bounds.time("contactWindow", plain.contact_window_ms),
            seed_lag_ms=bounds.time("seedLag", plain.seed_lag_ms),
            retry_budget_ratio=bounds.number("retryBudgetRatio", plain.retry_budget_ratio),
            retry_window_ms=bounds.time("retryWindow", plain.retry_window_ms),
            retry_budget_slack=bounds.number("retryBudgetSlack", plain.retry_budget_slack),
            quota_window_ms=bounds.time("quotaWindow", plain.quota_window_ms),
            quota_overshoot_ratio=bounds.number("quotaOvershoot", plain.quota_overshoot_ratio),
            quota_slack=bounds.number("quotaSlack", plain.quota_slack),
            slow_start_overshoot_ratio=bounds.number("coldOvershoot", plain.slow_start_overshoot_ratio),
            slow_start_slack=bounds.number("coldSlack", plain.slow_start_slack),
            max_ttl_ms=bounds.time("ttl_max", plain.max_ttl_ms),
        ),
        tolerated_machine_losses=int(top.table("faultTolerance").number("machineLosses", 0)),
        memory_mb=limits.number("memoryMb", 256),
        max_open_files=int(limits.number("maxOpenFiles", 1024)),
        data_directory=Path(data) if data else None,
        cloud_api_address=cloud.address("address", cloud.items()["address"]) if "address" in cloud.items() else None,
        cloud_api_rate_per_s=cloud.number("ratePerS", 1.0),
        endpoint_list_lag_ms=cloud.time("maxLag", 1000.0),
        cluster_name=top.get("clusterName", str, ""),
    )
