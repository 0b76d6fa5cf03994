"""What a coordinator acknowledges, a gateway can apply: a valid configuration with single values replaced.

HALLHITCH_CONFIG_EXAMPLES sets the number of generated values; all of REPLACEMENTS are tried at every place.
"""

from __future__ import annotations

import copy
import json
import os
import zlib
from collections.abc import Iterator
from typing import Any, Final

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from hallhitch.planes.control.config_validation import validate_config
from hallhitch.planes.control.errors import InvalidConfigError
from hallhitch.planes.values import ClusterConfig
from hallhitch.programs.gateway import GatewayProgram
from tests.system.control.test_config_validation import VALID_CONFIG
from tests.system.distribution.simulated_peers import SimulatedPeers, run_in_virtual_time
from tests.system.distribution.test_gateway_program import build_gateway, failures

EXAMPLES = int(os.environ.get("HALLHITCH_CONFIG_EXAMPLES", "300"))
REPLACEMENTS: Final[tuple[Any, ...]] = (
    *(
        None,
        "",
        [],
        {},
        True,
        False,
        0,
        -1,
        1,
        1.5,
        -0.0,
        1e308,
        2**63 - 1,
        2**63,
        10**400,
        "1",
        "x",
        "\ud800",
        "a\r\nb",
    ),
    *("0ms", "0s", "9" * 400 + "s", "9" * 18 + "ms", "1e3ms", "/", "//", [""], [None], [[]], {"": 1}, {"x": None}),
)
Place = tuple[Any, ...]  # the keys and indexes that lead to a value


def places(document: Any, place: Place = ()) -> Iterator[Place]:
    """Yield the place of each value, at every depth."""
    entries = document.items() if isinstance(document, dict) else enumerate(document)
    for key, value in entries:
        yield (*place, key)
        if isinstance(value, dict | list):
            yield from places(value, (*place, key))


PLACES: Final = sorted(places(VALID_CONFIG), key=str)


def with_value(place: Place, value: Any) -> dict[str, Any]:
    """Return the valid configuration with one value replaced."""
    document = copy.deepcopy(VALID_CONFIG)
    parent: Any = document
    for key in place[:-1]:
        parent = parent[key]
    parent[place[-1]] = value
    return document


def with_renamed_entry(section: str, name: str) -> dict[str, Any]:
    """Return the valid configuration with a further entry of a section under another name."""
    document = copy.deepcopy(VALID_CONFIG)
    entry = copy.deepcopy(next(iter(document[section].values())))
    entry |= {"pathPrefix": "/renamed/"} if section == "routes" else {}
    entry |= {"apiKeys": ["renamed"]} if section == "tenants" else {}
    document[section][name] = entry
    return document


class Gateways:
    """Applies configurations to a gateway, one after the other."""

    def __init__(self, program: GatewayProgram) -> None:
        self._program = program
        self._serial = 0
        self.accepted = 0
        program._hub.on_change.append(program._on_state_change)

    def check(self, document: dict[str, Any]) -> None:
        """Validate a configuration as a coordinator does; if it is valid, apply it and compare it with its document."""
        body = json.dumps(document).encode()
        try:
            version = validate_config(body).version
        except InvalidConfigError:
            return
        self._serial += 1
        self.accepted += 1
        self._program._hub.update_config(self._serial, version, zlib.compress(body), [])
        assert failures(self._program) == {}, document
        assert self._program._data.context.config is self._program._config
        _check_lookups(document, self._program._config)


def _check_lookups(document: dict[str, Any], config: ClusterConfig) -> None:
    for name, entry in document["routes"].items():
        route = config.find_route(entry["host"].lower(), entry["pathPrefix"])
        assert route is not None and route.name == name and route.kind == entry["routeKind"]
        split = entry.get("trafficSplit") or [{"targetService": entry.get("targetService"), "weight": 1}]
        assert route.weighted_services == tuple((part["targetService"], float(part["weight"])) for part in split)
        assert route.priority == entry.get("priority", 0) and route.max_attempts == entry["maxAttempts"]
        assert route.is_public == entry.get("public", False) and 0 < route.timeout_ms <= 600_000
    for name, entry in (document.get("tenants") or {}).items():
        tenant = config.tenants[name]
        assert (tenant.priority, tenant.rate_per_s) == (entry.get("priority"), float(entry.get("ratePerS") or 0))
        assert all(config.tenants_by_api_key[key] is tenant for key in entry["apiKeys"])
        assert b"Hallhitch-Tenant-Name: " + tenant.name.encode()  # as a request of the tenant needs it
    assert config.services.keys() == document["services"].keys()


# Guards against a configuration that is acknowledged and that no gateway can read (review/2).
def test_single_wrong_values_are_refused_or_applied_by_gateways() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        gateways = Gateways(build_gateway(peers))
        gateways.check(VALID_CONFIG)
        assert gateways.accepted == 1
        for place in PLACES:
            for value in REPLACEMENTS:
                gateways.check(with_value(place, value))
        for section in ("routes", "services", "tenants"):
            for name in ("", " ", "a\r\nb", "\ud800", "õ", "a b", "x" * 10_000):
                gateways.check(with_renamed_entry(section, name))

    run_in_virtual_time(scenario)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(max_size=8),
    lambda values: st.lists(values, max_size=3) | st.dictionaries(st.text(max_size=4), values, max_size=3),
    max_leaves=4,
)


def test_generated_values_are_refused_or_applied_by_gateways() -> None:
    async def scenario(peers: SimulatedPeers) -> None:
        gateways = Gateways(build_gateway(peers))

        @settings(
            max_examples=EXAMPLES,
            deadline=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
            database=None,
        )
        @given(st.sampled_from(PLACES), JSON_VALUES)
        def check(place: Place, value: Any) -> None:
            gateways.check(with_value(place, value))

        check()

    run_in_virtual_time(scenario)
