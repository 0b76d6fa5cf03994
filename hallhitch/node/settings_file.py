"""Reader of the settings file (TOML). The operators define its field names; unknown fields are ignored.

Invariant: an invalid file raises a SettingsError of one line that names the file and the field.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from hallhitch.node.durations import parse_duration_ms
from hallhitch.node.errors import DurationError, SettingsError
from hallhitch.node.settings import HostPort, NodeSettings, RuleBounds
from hallhitch.node.texts import is_visible_ascii

MAX_PORT: Final = 65535
MAX_NUMBER: Final = 1e15  # far above any bound or limit; in ms, 30,000 years
# Defaults for fields that the file omits.
DEFAULT_MEMORY_MB: Final = 256
DEFAULT_MAX_OPEN_FILES: Final = 1024
DEFAULT_CLOUD_API_RATE_PER_S: Final = 1.0
DEFAULT_ENDPOINT_LIST_LAG_MS: Final = 1000.0
DEFAULT_METRICS_PORT: Final = 9464  # registered for Prometheus exporters; deploy/system.toml has the same port


def read_settings(path: str) -> NodeSettings:
    """Read and validate a settings file.

    Raises:
        SettingsError: the file cannot be read, or a field is missing or invalid.
    """
    top = _TableReader(path, _load(path))
    region_by_zone = top.table("zones").fields
    internal_port_range = _read_port_range(top)
    _check_zones(top, region_by_zone)
    bounds, limits, cloud_api = top.table("bounds"), top.table("limits"), top.table("cloudApi")
    data_directory = top.text("dataDirectory", "")
    return NodeSettings(
        name=top.text("nodeName"),
        role=top.text("role"),
        machine_class=top.text("machineClass"),
        serves=top.texts("serves"),
        ip_address=top.text("ipAddress"),
        zone=top.text("zone"),
        region=top.text("region"),
        internal_port_range=internal_port_range,
        seed_nodes=tuple(top.parse_address("seedNodes", seed) for seed in top.array("seedNodes")),
        is_first_start=top.flag("firstStart", False),
        region_by_zone=dict(region_by_zone),
        listen_addresses=_read_listen_addresses(top.table("listenAddresses")),
        bounds=_read_bounds(bounds),
        tolerated_machine_losses=int(top.table("faultTolerance").number("machineLosses", 0)),
        memory_mb=limits.number("memoryMb", DEFAULT_MEMORY_MB),
        max_open_files=int(limits.number("maxOpenFiles", DEFAULT_MAX_OPEN_FILES)),
        data_directory=Path(data_directory) if data_directory else None,
        cloud_api_address=cloud_api.optional_address("address"),
        cloud_api_rate_per_s=cloud_api.number("ratePerS", DEFAULT_CLOUD_API_RATE_PER_S),
        endpoint_list_lag_ms=cloud_api.duration_ms("maxLag", DEFAULT_ENDPOINT_LIST_LAG_MS),
        cluster_name=top.text("clusterName", ""),
        metrics_port=_read_metrics_port(top),
    )


def _load(path: str) -> Mapping[str, Any]:
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"cannot be read: {error.strerror}", path=path) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError(f"is not valid TOML: {error}", path=path) from None


class _TableReader:
    """Reads the fields of one table; its errors name the file and the field."""

    def __init__(self, path: str, fields: Mapping[str, Any], prefix: str = "") -> None:
        self._path = path
        self._prefix = prefix
        self.fields = fields

    def error(self, name: str, reason: str) -> SettingsError:
        return SettingsError(reason, path=self._path, field=f"{self._prefix}{name}")

    def table(self, name: str) -> _TableReader:
        return _TableReader(self._path, self._get(name, dict, {}), f"{self._prefix}{name}.")

    def text(self, name: str, default: str | None = None) -> str:
        return str(self._get(name, str, default))

    def flag(self, name: str, default: bool) -> bool:
        return bool(self._get(name, bool, default))

    def array(self, name: str) -> list[Any]:
        return list(self._get(name, list, None))

    def texts(self, name: str) -> frozenset[str]:
        values = self.array(name)
        if not all(isinstance(value, str) for value in values):
            raise self.error(name, f"{values!r} is not a list of texts")
        return frozenset(values)

    def number(self, name: str, default: float) -> float:
        value = self._get(name, (int, float), default)
        if not 0 <= value <= MAX_NUMBER:
            raise self.error(name, f"{value!r} is no number from 0 up")
        return float(value)

    def duration_ms(self, name: str, default_ms: float) -> float:
        if name not in self.fields:
            return default_ms
        try:
            duration_ms = parse_duration_ms(self.fields[name])
        except DurationError as error:
            raise self.error(name, str(error)) from None
        if duration_ms > MAX_NUMBER:
            raise self.error(name, "is too long")
        return duration_ms

    def optional_address(self, name: str) -> HostPort | None:
        return self.parse_address(name, self.fields[name]) if name in self.fields else None

    def parse_address(self, name: str, value: object) -> HostPort:
        host, _, port = value.rpartition(":") if is_visible_ascii(value) else ("", "", "")
        if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            raise self.error(name, f"{value!r} is not an address such as 10.0.0.1:80")
        return host, int(port)

    def _get(self, name: str, expected_type: type | tuple[type, ...], default: object) -> Any:
        """Return a field of the expected type; the field is required if the default is None."""
        if name not in self.fields and default is None:
            raise self.error(name, "is missing")
        value = self.fields.get(name, default)
        # bool is a subclass of int in Python, but a truth value is not accepted as a number here.
        is_unexpected_bool = isinstance(value, bool) and expected_type is not bool
        if not isinstance(value, expected_type) or is_unexpected_bool:
            raise self.error(name, f"{value!r} has the wrong type")
        return value


def _check_zones(top: _TableReader, region_by_zone: Mapping[str, Any]) -> None:
    if not all(isinstance(region, str) for region in region_by_zone.values()):
        raise top.error("zones", "each zone needs the name of its region")


def _read_port_range(top: _TableReader) -> tuple[int, int]:
    ports = top.array("internalPortRange")
    is_pair = len(ports) == 2 and all(isinstance(port, int) and 0 < port <= MAX_PORT for port in ports)
    if not is_pair or ports[0] > ports[1]:
        raise top.error("internalPortRange", f"{ports!r} is not a range of ports [lowest, highest]")
    return ports[0], ports[1]


def _read_metrics_port(top: _TableReader) -> int:
    port = top.number("metricsPort", DEFAULT_METRICS_PORT)
    if not port.is_integer() or port > MAX_PORT:
        raise top.error("metricsPort", f"{port:g} is not a port number")
    return int(port)


def _read_listen_addresses(table: _TableReader) -> dict[str, HostPort]:
    return {name: table.parse_address(name, value) for name, value in table.fields.items()}


def _read_bounds(table: _TableReader) -> RuleBounds:
    defaults = RuleBounds()
    return RuleBounds(
        drain_timeout_ms=table.duration_ms("drainTimeout", defaults.drain_timeout_ms),
        grace_period_ms=table.duration_ms("gracePeriod", defaults.grace_period_ms),
        config_apply_ms=table.duration_ms("configApply", defaults.config_apply_ms),
        ack_timeout_ms=table.duration_ms("ackTimeout", defaults.ack_timeout_ms),
        evacuation_ms=table.duration_ms("evacuation", defaults.evacuation_ms),
        catch_up_ms=table.duration_ms("catchUp", defaults.catch_up_ms),
        contact_window_ms=table.duration_ms("contactWindow", defaults.contact_window_ms),
        seed_lag_ms=table.duration_ms("seedLag", defaults.seed_lag_ms),
        retry_budget_ratio=table.number("retryBudgetRatio", defaults.retry_budget_ratio),
        retry_window_ms=table.duration_ms("retryWindow", defaults.retry_window_ms),
        retry_budget_slack=table.number("retryBudgetSlack", defaults.retry_budget_slack),
        quota_window_ms=table.duration_ms("quotaWindow", defaults.quota_window_ms),
        quota_overshoot_ratio=table.number("quotaOvershoot", defaults.quota_overshoot_ratio),
        quota_slack=table.number("quotaSlack", defaults.quota_slack),
        slow_start_overshoot_ratio=table.number("coldOvershoot", defaults.slow_start_overshoot_ratio),
        slow_start_slack=table.number("coldSlack", defaults.slow_start_slack),
        max_ttl_ms=table.duration_ms("ttl_max", defaults.max_ttl_ms),
    )
