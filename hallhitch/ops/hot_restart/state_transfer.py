"""Transfer of the state that a process has learned from traffic to its successor, through a small versioned file.

The file holds the response times of the request classes, the estimated capacity, how long idle connections last, and
the quota windows of the customers whose totals were read most recently. Requests that the old process admits after the
last write reach its successor through the shared counter, as usage by other processes.

Invariants:
- A file that is missing, damaged, older than MAX_AGE_MS or of another version is ignored.
- A write either replaces the file atomically or leaves it unchanged.

Times are Unix times in ms. VERSION identifies the keys and the layout of the file: change it together with them.
"""

from __future__ import annotations

import contextlib
import json
import math
import os
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, NamedTuple, Protocol

from hallhitch.decision import api
from hallhitch.decision.state import Customer, QuotaWindow

FILE_NAME: Final = "hallhitch.learned"
VERSION: Final = 2
MAX_CUSTOMERS: Final = 1000  # those whose totals were read most recently
MAX_FILE_BYTES: Final = 1 << 19  # a larger file cannot have been written by this program
MAX_IDLE_ORDER: Final = 64  # bit length of an idle time in ms; 2**64 ms exceeds any clock
MAX_AGE_MS: Final = 10_000.0  # older state does not describe the current traffic


class CustomerRow(NamedTuple):
    """The state of one customer and of its quota window; stored as an array in the order of these fields."""

    name: str
    plan: str
    window: int
    total_read_at: float
    refilled_at: float
    spread: float
    others: float
    tokens: float
    ceiling_tokens: float
    others_guess: float
    local_tokens: float
    started_at: float
    last_total: float

    def is_valid(self, now: float) -> bool:
        """Return whether the values that were read for this row are plausible.

        Raises:
            ValueError: A numeric field is not a finite number.
        """
        return (
            isinstance(self.name, str)
            and isinstance(self.plan, str)
            and isinstance(self.window, int)
            and parse_number(self.total_read_at) <= now
            and parse_number(self.refilled_at) <= now
            and parse_number(self.spread) >= 1
            and parse_number(self.others) >= 0
            and math.isfinite(sum(map(parse_number, self[7:])))
        )


IdleTimeRow = tuple[int, float, float]  # order of the idle time, ratio of broken attempts, time at which it was learned
ClassRow = tuple[float, float, float]  # service time in ms, time at which it was learned, error ratio


@dataclass(frozen=True, slots=True)
class TransferredState:
    """The validated content of a state file."""

    concurrency_limit: float
    call_ratio: float
    classes: Mapping[str, ClassRow]
    idle_times: tuple[IdleTimeRow, ...]
    customers: tuple[CustomerRow, ...]


class LearningModule(Protocol):
    """The part of the decision module whose state is transferred."""

    service_ms: dict[str, float]
    learned_at: dict[str, float]
    class_error_ratio: dict[str, float]
    concurrency_limit: float
    call_ratio: float
    config: api.Settings
    customers: dict[str, Customer]
    windows: dict[int, QuotaWindow]

    def bind_plan(self, c: Customer, plan: api.Plan) -> None:
        """Apply the limits of a plan to a customer."""

    def is_stale(self, c: Customer) -> bool:
        """Return whether the state of a customer is outdated."""


class IdleTimes(Protocol):
    """The statistics of idle connections, which are transferred as rows."""

    def export_rows(self) -> list[IdleTimeRow]:
        """Return the rows to transfer."""

    def import_rows(self, rows: Iterable[IdleTimeRow]) -> None:
        """Replace the statistics by the rows that another process exported."""


def write_state(folder: str, module: LearningModule, idle_times: IdleTimes, now: float) -> bool:
    """Write the state learned until `now` to the folder; return whether the write succeeded."""
    text = json.dumps(
        {
            "version": VERSION,
            "at": now,
            "depth": module.concurrency_limit,
            "asks": module.call_ratio,
            "classes": {
                name: [module.service_ms[name], module.learned_at[name], module.class_error_ratio[name]]
                for name in module.service_ms
            },
            "idle": idle_times.export_rows(),
            "customers": customer_rows(module),
        }
    )
    path = Path(folder) / FILE_NAME
    temporary_path = path.with_suffix(f".{os.getpid()}")
    try:
        temporary_path.write_text(text)
        temporary_path.replace(path)
        return True  # noqa: TRY300  the common case reads first
    except OSError:
        with contextlib.suppress(OSError):
            temporary_path.unlink()  # a partial file would occupy space on a full disk
        return False


def read_state(folder: str, now: float) -> TransferredState | None:
    """Return the state stored in a folder, or None if there is none that is valid at `now`."""
    try:
        with open(Path(folder) / FILE_NAME, encoding="utf-8") as file:
            text = file.read(MAX_FILE_BYTES + 1)
        if len(text) > MAX_FILE_BYTES:
            return None
        return _parse_document(json.loads(text), now)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def apply_state(state: TransferredState, module: LearningModule, idle_times: IdleTimes) -> None:
    """Apply transferred state; classes and plans that the current settings do not define are skipped."""
    idle_times.import_rows(state.idle_times)
    module.concurrency_limit = state.concurrency_limit
    module.call_ratio = state.call_ratio
    for name, (service_ms, learned_at, error_ratio) in state.classes.items():
        if name in module.service_ms:
            module.service_ms[name] = service_ms
            module.learned_at[name] = learned_at
            module.class_error_ratio[name] = error_ratio
    plans = {plan.name: plan for plan in module.config.plans}
    for row in state.customers:
        plan = plans.get(row.plan)
        if plan is not None:
            _restore_customer(row, plan, module)


def customer_rows(module: LearningModule) -> list[CustomerRow]:
    """Return the rows of the MAX_CUSTOMERS customers read most recently; those without current state are omitted."""
    current = [c for c in module.customers.values() if c.window in module.windows and not module.is_stale(c)]
    current.sort(key=lambda c: -c.total_read_at)
    return [
        CustomerRow(
            name=customer.name,
            plan=customer.plan.name,
            window=customer.window,
            total_read_at=customer.total_read_at,
            refilled_at=customer.refilled_at,
            spread=customer.spread,
            others=customer.others,
            tokens=customer.tokens,
            ceiling_tokens=customer.ceiling_tokens,
            others_guess=customer.others_guess,
            local_tokens=customer.local_tokens,
            started_at=module.windows[customer.window].started_at,
            last_total=module.windows[customer.window].last_total,
        )
        for customer in current[:MAX_CUSTOMERS]
    ]


def parse_number(value: Any) -> float:
    """Return a JSON value as a float.

    Raises:
        ValueError: The value is not a finite number.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(value)
    return float(value)


def _parse_document(document: Any, now: float) -> TransferredState | None:
    """Return the state that a JSON document holds, or None if the version differs or a value is implausible.

    A malformed value raises one of the exceptions that `read_state` catches.
    """
    if not isinstance(document, dict) or document.get("version") != VERSION:
        return None
    is_valid = (
        0 <= now - parse_number(document["at"]) <= MAX_AGE_MS
        and parse_number(document["depth"]) >= 0
        and 0 < parse_number(document["asks"]) <= 1
        and all(_is_valid_class_row(row, now) for row in document["classes"].values())
        and all(_is_valid_idle_time_row(row, now) for row in document["idle"])
    )
    if not is_valid:
        return None
    customers = tuple(CustomerRow(*row) for row in document["customers"])
    if not all(row.is_valid(now) for row in customers):
        return None
    return TransferredState(
        document["depth"], document["asks"], document["classes"], tuple(document["idle"]), customers
    )


def _is_valid_class_row(row: Any, now: float) -> bool:
    service_ms, learned_at, error_ratio = row
    return parse_number(service_ms) > 0 and parse_number(learned_at) <= now and 0 <= parse_number(error_ratio) <= 1


def _is_valid_idle_time_row(row: Any, now: float) -> bool:
    order, broken_ratio, learned_at = row
    return (
        type(order) is int
        and 0 <= order <= MAX_IDLE_ORDER
        and 0 <= parse_number(broken_ratio) <= 1
        and parse_number(learned_at) <= now
    )


def _restore_customer(row: CustomerRow, plan: api.Plan, module: LearningModule) -> None:
    customer = Customer(
        row.name,
        plan,
        min(row.tokens, plan.burst),
        min(row.ceiling_tokens, plan.ceiling_burst),
        row.refilled_at,
        row.total_read_at,
        row.spread,
        row.window,
        others=row.others,
        others_guess=row.others_guess,
        local_tokens=min(row.local_tokens, plan.burst),
    )
    module.bind_plan(customer, plan)
    module.customers[row.name] = customer
    module.windows[row.window] = QuotaWindow(customer, row.started_at, row.last_total)
