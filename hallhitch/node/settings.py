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


class Unusable(Exception):
    """The settings cannot be used; the text names file and field in one line."""


def span(text: object) -> float:
    """A time as the pages write it, in milliseconds; raises ValueError.

    >>> span("1500ms"), span("2.5s")
    (1500.0, 2500.0)
    """
    match = TIME.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is no time such as 1500ms or 2.5s")
    return float(match[1]) * (1000.0 if match[2] == "s" else 1.0)


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures of the rules, times in ms."""

    drain: float = 5000.0
    grace: float = 6000.0
    config: float = 5000.0
    ack: float = 10_000.0
    evacuation: float = 5000.0
    catch_up: float = 5000.0
    contact: float = 5000.0
    seed_lag: float = 3000.0
    retry_ratio: float = 0.2
    retry_window: float = 10_000.0
    retry_slack: float = 0.0
    quota_window: float = 5000.0
    quota_over: float = 0.0
    quota_slack: float = 0.0
    cold_over: float = 1.0
    cold_slack: float = 0.0
    ttl_most: float = 5000.0

    @property
    def serving_lease(self) -> float:
        """How long (ms) a majority's confirmation lets a coordinator speak for the core; see planes.control.serving."""
        return min(LEASE_OF_CONFIG * self.config, LEASE_OF_CONTACT * self.contact)


@dataclass(frozen=True, slots=True)
class Node:
    """What a process was told: who and where it is, what it may use, what must hold."""

    name: str
    role: str
    machine_class: str
    serves: frozenset[str]
    ip: str
    zone: str
    region: str
    ports: tuple[int, int]
    seeds: tuple[tuple[str, int], ...]
    first_start: bool
    zones: Mapping[str, str]
    listen: Mapping[str, tuple[str, int]]
    bounds: Bounds
    losses: int
    memory: float  # MB
    files: int
    data: Path | None
    cloud: tuple[str, int] | None
    cloud_rate: float
    cloud_lag: float  # ms
    cluster: str

    @property
    def internal(self) -> str:
        """The address at which the system's own processes reach this one."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def peers(self) -> tuple[str, ...]:
        """The internal addresses of the seeds: ports are alike on all machines."""
        return tuple(f"{host}:{self.ports[0]}" for host, _ in self.seeds)


class _Reader:
    """Reads one table, naming file and field of whatever cannot be used."""

    def __init__(self, path: str, table: Mapping[str, Any], under: str = "") -> None:
        self._path, self._table, self._under = path, table, under

    def wrong(self, name: str, why: str) -> Unusable:
        return Unusable(f"{self._path}: {self._under}{name}: {why}")

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
            return span(self._table[name])
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


def read(path: str) -> Node:
    """The settings in a file; raises Unusable with one line that names file and field."""
    try:
        with open(path, "rb") as file:
            top = _Reader(path, tomllib.load(file))
    except OSError as error:
        raise Unusable(f"{path}: cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise Unusable(f"{path}: is no TOML: {error}") from None
    zones, ports = top.get("zones", dict, {}), top.get("internalPortRange", list)
    if len(ports) != 2 or not all(isinstance(p, int) and 0 < p < 65536 for p in ports) or ports[0] > ports[1]:
        raise top.wrong("internalPortRange", f"{ports!r} is no pair of ports")
    if not all(isinstance(region, str) for region in zones.values()):
        raise top.wrong("zones", "a zone without the name of a region")
    bounds, limits, cloud = top.table("bounds"), top.table("limits"), top.table("cloudApi")
    data = top.get("dataDirectory", str, "")
    plain = Bounds()
    return Node(
        name=top.get("nodeName", str),
        role=top.get("role", str),
        machine_class=top.get("machineClass", str),
        serves=frozenset(top.get("serves", list)),
        ip=top.get("ipAddress", str),
        zone=top.get("zone", str),
        region=top.get("region", str),
        ports=(ports[0], ports[1]),
        seeds=tuple(top.address("seedNodes", seed) for seed in top.get("seedNodes", list)),
        first_start=top.get("firstStart", bool, False),
        zones=dict(zones),
        listen={
            name: top.table("listenAddresses").address(name, value)
            for name, value in top.table("listenAddresses").items().items()
        },
        bounds=Bounds(
            drain=bounds.time("drainTimeout", plain.drain),
            grace=bounds.time("gracePeriod", plain.grace),
            config=bounds.time("configApply", plain.config),
            ack=bounds.time("ackTimeout", plain.ack),
            evacuation=bounds.time("evacuation", plain.evacuation),
            catch_up=bounds.time("catchUp", plain.catch_up),
            contact=bounds.time("contactWindow", plain.contact),
            seed_lag=bounds.time("seedLag", plain.seed_lag),
            retry_ratio=bounds.number("retryBudgetRatio", plain.retry_ratio),
            retry_window=bounds.time("retryWindow", plain.retry_window),
            retry_slack=bounds.number("retryBudgetSlack", plain.retry_slack),
            quota_window=bounds.time("quotaWindow", plain.quota_window),
            quota_over=bounds.number("quotaOvershoot", plain.quota_over),
            quota_slack=bounds.number("quotaSlack", plain.quota_slack),
            cold_over=bounds.number("coldOvershoot", plain.cold_over),
            cold_slack=bounds.number("coldSlack", plain.cold_slack),
            ttl_most=bounds.time("ttl_max", plain.ttl_most),
        ),
        losses=int(top.table("faultTolerance").number("machineLosses", 0)),
        memory=limits.number("memoryMb", 256),
        files=int(limits.number("maxOpenFiles", 1024)),
        data=Path(data) if data else None,
        cloud=cloud.address("address", cloud.items()["address"]) if "address" in cloud.items() else None,
        cloud_rate=cloud.number("ratePerS", 1.0),
        cloud_lag=cloud.time("maxLag", 1000.0),
        cluster=top.get("clusterName", str, ""),
    )
