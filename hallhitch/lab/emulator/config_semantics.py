"""Derives from the configurations as sent what they permit, and which of them may be in force at a given time.

Pure functions over records: no I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from hallhitch.lab.emulator.records import FOREVER_MS, CheckBounds, Config, FaultInterval, OperatorOperation

NON_IDEMPOTENT: Final = "non_idempotent"


class NamedRoute(NamedTuple):
    """A route of a configuration with its name."""

    name: str
    document: Any


def find_route(config: Config, host: str, path: str) -> NamedRoute | None:
    """Return the route of a request: among those of its host, the one with the longest matching path prefix."""
    path = path.partition("?")[0]
    matching = [
        (len(route["pathPrefix"]), NamedRoute(name, route))
        for name, route in config["routes"].items()
        if route["host"].lower() == host.lower() and path.startswith(route["pathPrefix"])
    ]
    if not matching:
        return None
    return max(matching, key=lambda candidate: candidate[0])[1]


def route_services(route: Any) -> frozenset[str]:
    """Return the services that a route may forward to."""
    split = route.get("trafficSplit")
    if split:
        return frozenset(part["targetService"] for part in split)
    return frozenset((route["targetService"],))


def find_tenant(config: Config, api_key: str) -> str:
    """Return the name of the tenant that owns a key, or ""."""
    tenants = config.get("tenants", {})
    return next((name for name, tenant in tenants.items() if api_key and api_key in tenant["apiKeys"]), "")


def admits_request(config: Config, host: str, path: str, api_key: str) -> bool:
    """Return whether a request has a route and the key that the route needs, if any."""
    route = find_route(config, host, path)
    if route is None:
        return False
    is_public = route.document.get("public", False) or not config.get("tenants")
    return is_public or bool(find_tenant(config, api_key))


def permits_service(config: Config, host: str, path: str, api_key: str, service: str) -> bool:
    """Return whether a service may execute a request."""
    route = find_route(config, host, path)
    if route is None or not admits_request(config, host, path, api_key):
        return False
    return service in route_services(route.document)


@dataclass(frozen=True, slots=True)
class SentConfigs:
    """The valid configurations of a run, sorted by version; `accepted` excludes those that were rejected."""

    accepted: tuple[OperatorOperation, ...]
    all_sent: tuple[OperatorOperation, ...]

    def documents(self, before_ms: float = FOREVER_MS) -> list[Config]:
        """Return all configurations that were sent up to a moment, including rejected ones."""
        return [operation.config for operation in self.all_sent if operation.sent_at_ms <= before_ms]

    def acknowledged_version(self, moment_ms: float) -> int:
        """Return the highest version that was acknowledged up to a moment, or -1."""
        return max(
            (
                operation.version
                for operation in self.accepted
                if operation.acknowledged_at_ms is not None and operation.acknowledged_at_ms <= moment_ms
            ),
            default=-1,
        )

    def possibly_in_force(
        self, sent_at_ms: float, handled_at_ms: float, bounds: CheckBounds
    ) -> list[OperatorOperation]:
        """Return the configurations that a machine in contact may apply to a request with these times."""
        minimum_version = self.acknowledged_version(sent_at_ms - bounds.config_apply_ms)
        return [
            operation
            for operation in self.accepted
            if operation.version >= minimum_version and operation.sent_at_ms <= handled_at_ms
        ]


def sent_configs(operations: Iterable[OperatorOperation]) -> SentConfigs:
    """Collect the configurations among an operator's operations."""
    all_sent = sorted(
        (operation for operation in operations if operation.kind == "config"),
        key=lambda operation: (operation.version, operation.sent_at_ms),
    )
    accepted = (operation for operation in all_sent if operation.is_valid and not 400 <= operation.status < 500)
    return SentConfigs(tuple(accepted), tuple(operation for operation in all_sent if operation.is_valid))


@dataclass(frozen=True, slots=True)
class ContactHistory:
    """When machines were in contact: neither they nor a coordinator had a fault during or in the window before."""

    fault_intervals: tuple[FaultInterval, ...]
    contact_window_ms: float

    def is_in_contact(self, machines: Sequence[str], since_ms: float, until_ms: float) -> bool:
        """Return whether all of these machines were in contact during the whole period."""
        return not any(
            (fault.target == "core" or fault.target in machines)
            and fault.begin_ms <= until_ms
            and fault.end_ms >= since_ms - self.contact_window_ms
            for fault in self.fault_intervals
        )
