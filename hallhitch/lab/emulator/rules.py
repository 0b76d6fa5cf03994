"""Black-box checks of a run: each rule reads only the records of the emulated parties, not the system's internal state.

Each rule is a pure function from records and bounds to violations; it reads no clock and no socket. Where records
cannot show whether an exception that the operators' documentation grants applies, the rule here is the more lenient
one. docs/operate/own-world.md lists what is not checked.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from hallhitch.lab.emulator.config_rules import check_config_versions
from hallhitch.lab.emulator.departure_rules import check_departures
from hallhitch.lab.emulator.execution_rules import (
    check_allowed_regions,
    check_duplicate_execution,
    check_refused_execution,
    check_request_integrity,
    check_response_integrity,
    check_routes,
)
from hallhitch.lab.emulator.load_rules import (
    check_cold_load,
    check_drain,
    check_evacuation,
    check_quota,
    check_retry_budget,
)
from hallhitch.lab.emulator.records import CheckBounds, Records, Violation
from hallhitch.lab.emulator.shutdown_rules import check_shutdown_losses

Rule = Callable[[Records, CheckBounds], list[Violation]]

# The operators' documentation uses the same names.
RULES: Final[dict[str, Rule]] = {
    "TWICE": check_duplicate_execution,
    "REFUSED": check_refused_execution,
    "MIXED": check_response_integrity,
    "UNASKED": check_request_integrity,
    "ROUTE": check_routes,
    "HOME": check_allowed_regions,
    "DRAIN": check_drain,
    "LOST": check_shutdown_losses,
    "GONE": check_departures,
    "EVAC": check_evacuation,
    "FAILBACK": check_cold_load,
    "QUOTA": check_quota,
    "BUDGET": check_retry_budget,
    "CONFIG": check_config_versions,
}


def check_records(records: Records, bounds: CheckBounds) -> dict[str, list[Violation]]:
    """Return the violations of each rule; the list is empty for a rule that holds."""
    return {name: rule(records, bounds) for name, rule in RULES.items()}
