"""What one more route, tenant, backend or gateway costs a process: the slopes behind docs/CAPACITY.md.

Plain calls without processes or sockets, in `config_cost`, `distribution_cost` and `request_cost`. Processor time is
the thread's own, so that a busy machine does not show in it. Each size is measured in a process of its own, so that
memory is that of this size alone. Printed by `python -O -m benchmarks.system_capacity --only slopes`.
"""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path
from typing import Final

from benchmarks.config_cost import (
    CompilationCost,
    StateChangeCost,
    ValidationCost,
    measure_compilation,
    measure_state_change,
    measure_validation,
)
from benchmarks.distribution_cost import (
    BackendCost,
    GatewayCost,
    LeaseHolderCost,
    measure_backends,
    measure_gateways,
    measure_lease_holders,
)
from benchmarks.measuring import print_table, run_in_child
from benchmarks.request_cost import (
    CountingCost,
    SelectionCost,
    measure_counting,
    measure_selection,
    measure_usage_decoding,
)
from hallhitch.node.settings import NodeSettings
from hallhitch.node.settings_file import read_settings

# The largest sizes are those that docs/CAPACITY.md estimates: 54,000 routes, 640,000 tenants, 35,000 backends, 15,000
# gateways; the smaller ones give the slope.
ROUTE_COUNTS: Final = (200, 2000, 20_000, 54_000)
COMPILATION_SIZES: Final = (
    *((routes, 10) for routes in ROUTE_COUNTS),
    *((200, tenants) for tenants in (1000, 10_000, 100_000, 640_000)),
)
VALIDATION_SIZES: Final = (
    *((routes, 10) for routes in ROUTE_COUNTS),
    *((200, tenants) for tenants in (10_000, 100_000, 640_000)),
)
BACKEND_COUNTS: Final = (350, 3500, 35_000)
GATEWAY_COUNTS: Final = (9, 150, 1500, 15_000)
LEASE_BUCKET_COUNTS: Final = (128, 3584)
SELECTION_SIZES: Final = ((36, 9), (150, 9), (1000, 9), (150, 36), (150, 144), (1000, 144))
TENANT_COUNTS: Final = (1000, 10_000, 100_000)


def print_slopes(settings: Path) -> None:
    """Print all tables; `settings` is a coordinator's settings file with three seeds."""
    node = read_settings(str(settings))
    _print_config_compilation()
    _print_distribution()
    _print_requests()
    _print_config_changes(node)
    print(f"\n{os.cpu_count()} processors, load {os.getloadavg()[0]:.0f}, Python on {os.uname().machine}")


def _print_config_compilation() -> None:
    print_table(
        "The configuration: routes and tenants (`measure_compilation`)",
        CompilationCost,
        [run_in_child(measure_compilation, *size) for size in COMPILATION_SIZES],
    )


def _print_distribution() -> None:
    print_table(
        "Backends (`measure_backends`)",
        BackendCost,
        [run_in_child(measure_backends, count) for count in BACKEND_COUNTS],
    )
    print_table(
        "Gateways (`measure_gateways`)",
        GatewayCost,
        [run_in_child(measure_gateways, count) for count in GATEWAY_COUNTS],
    )
    print_table(
        "Lease holders (`measure_lease_holders`)",
        LeaseHolderCost,
        [measure_lease_holders(count) for count in LEASE_BUCKET_COUNTS],
    )


def _print_requests() -> None:
    print_table(
        "Selecting an endpoint (`measure_selection`; all in one region of two zones)",
        SelectionCost,
        [run_in_child(measure_selection, *size) for size in SELECTION_SIZES],
    )
    print_table(
        "Counting tenants (`measure_counting`, `measure_usage_decoding`)",
        CountingCost,
        [_counting_cost(tenants) for tenants in TENANT_COUNTS],
    )


def _counting_cost(tenants: int) -> CountingCost:
    counting = run_in_child(measure_counting, tenants)
    return replace(counting, decode_us=run_in_child(measure_usage_decoding, tenants))


def _print_config_changes(node: NodeSettings) -> None:
    print_table(
        "Validation (`measure_validation`)",
        ValidationCost,
        [run_in_child(measure_validation, *size) for size in VALIDATION_SIZES],
    )
    print_table(
        "A change of the cluster state, three replicas in one process (`measure_state_change`)",
        StateChangeCost,
        [run_in_child(measure_state_change, routes, node) for routes in ROUTE_COUNTS],
    )
