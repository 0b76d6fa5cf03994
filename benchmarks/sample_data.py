"""Sample configurations, backends and gateways of a chosen size, the same in each run.

Regions and zones are those of a large site: 28 regions, 58 zones, 610 services.
"""

from __future__ import annotations

import json
import random
from typing import Any, Final

from hallhitch.planes.discovery.endpoint_list import ListedBackend
from hallhitch.planes.values import Gateway

NAME_LETTERS: Final = "abcdefghijkmnpqrstuvwxyz23456789"
REGION_COUNT: Final = 28
ZONE_COUNT: Final = 58
SERVICE_COUNT: Final = 610
HASH_MULTIPLIER: Final = 2654435761  # Knuth's multiplicative hash: spreads consecutive numbers over identifiers


class _ConfigSampler:
    """Draws names and keys at random, as operators have them, from one seed."""

    def __init__(self, seed: int, service_count: int) -> None:
        self._random = random.Random(seed)
        self._services = [f"{self._name(6)}{number}" for number in range(service_count)]

    def _name(self, length: int) -> str:
        return "".join(self._random.choices(NAME_LETTERS, k=length))

    def routes(self, count: int) -> dict[str, Any]:
        """Return the configuration's routes by identifier."""
        return {f"r-{self._name(7)}{number}": self._route(number) for number in range(count)}

    def _route(self, number: int) -> dict[str, Any]:
        return {
            "host": f"{self._name(5)}{number % 997}.example",
            "pathPrefix": f"/{self._name(4)}{number}/",
            "routeKind": "idempotent",
            "timeout": "3000ms",
            "targetLatency": "800ms",
            "priority": number % 4,
            "targetService": self._random.choice(self._services),
            "maxAttempts": 2,
            "public": False,
            "allowedRegions": [],
        }

    def services(self) -> dict[str, Any]:
        """Return the configuration's services by name."""
        return {
            name: {
                "healthPath": "/health",
                "maxConnections": 100,
                "protocol": "h1",
                "tls": False,
                "coldStart": "3s",
                "coldPerS": 12.0,
            }
            for name in self._services
        }

    def tenants(self, count: int) -> dict[str, Any]:
        """Return the configuration's tenants by name."""
        return {
            f"{self._name(4)}{number}": {
                "apiKeys": [self._name(20), self._name(20)],
                "priority": 1,
                "ratePerS": 1e6,
                "burstSize": 1e6,
                "allowedRegions": [],
            }
            for number in range(count)
        }


def sample_config(version: int, routes: int, tenants: int, services: int = 10) -> bytes:
    """Return a valid configuration of that size as JSON; the version is the seed."""
    sampler = _ConfigSampler(version, services)
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    }
    return json.dumps(
        {
            "configVersion": version,
            "routes": sampler.routes(routes),
            "services": sampler.services(),
            "limits": limits,
            "tenants": sampler.tenants(tenants),
        }
    ).encode()


def sample_host(number: int) -> str:
    """Return a private address of its own for each number."""
    return f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"


def sample_backend(number: int) -> ListedBackend:
    """Return one entry of the platform's endpoint list."""
    return ListedBackend(
        f"i-{number * HASH_MULTIPLIER % 2**32:08x}",
        f"huvo{number % SERVICE_COUNT}",
        sample_host(number),
        8080,
        f"namaka-{number % ZONE_COUNT}",
        3,
        False,
        0.0,
    )


def sample_gateway(number: int) -> Gateway:
    """Return one gateway as its peers know it."""
    zone = number % ZONE_COUNT
    host = sample_host(number)
    return Gateway(
        f"edge-{zone}-{number}",
        f"{host}:7560",
        number * HASH_MULTIPLIER % 2**62 + 1,
        "edge",
        f"namaka-{zone}",
        f"region-{zone % REGION_COUNT}",
        f"{host}:8388",
        True,
    )
