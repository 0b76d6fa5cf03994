"""What a process learned from traffic, in a file for its successor: small, versioned, and validated when it is read.

The file holds the response times of the classes, the estimated capacity, how long idle connections last, and the quota
windows of customers that were read last. Requests that the first process admits afterwards reach its successor as the
use of others.

Invariants:
- A file that is missing, older than MAX_AGE_MS, of another version or damaged is ignored.
- A write replaces the file atomically or leaves it as it is.

Times are Unix time in ms. The names in the file and its layout are those of VERSION.
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
MAX_CUSTOMERS: Final = 1000  # those read last
MAX_FILE_BYTES: Final = 1 << 19  # a larger file was not written by this program
MAX_IDLE_ORDER: Final = 64  # power of two of an idle time in ms: beyond any clock
MAX_AGE_MS: Final = 10_000.0  # older state says nothing of the present


class CustomerRow(NamedTuple):
    """What is known of one customer and of its quota window: a row of the file, in the order of its fields."""

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
        """Return whether a row that was read is plausible.

        Raises:
            ValueError: a field is no finite number.
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


IdleTimeRow = tuple[int, float, float]  # order of an idle time, share of connections that broke, when that held
ClassRow = tuple[float, float, float]  # service time in ms, when it was learned, ratio of errors


@dataclass(frozen=True, slots=True)
class TransferredState:
    """The content of a file that was read and validated."""

    concurrency_limit: float
    call_ratio: float
    classes: Mapping[str, ClassRow]
    idle_times: tuple[IdleTimeRow, ...]
    customers: tuple[CustomerRow, ...]


class LearningModule(Protocol):
    """The state of the decision module that is transferred."""

    service_ms: dict[str, float]
    learned_at: dict[str, float]
    class_error_ratio: dict[str, float]
    concurrency_limit: float
    call_ratio: float
    config: api.Settings
    customers: dict[str, Customer]
    windows: dict[int, QuotaWindow]

    def bind_plan(self, c: Customer, plan: api.Plan) -> None:
        """Give a customer the limits of its plan."""

    def is_stale(self, c: Customer) -> bool:
        """Return whether nothing is known of a customer any more."""


class IdleTimes(Protocol):
    """The statistics of idle connections that are transferred."""

    def export_rows(self) -> list[IdleTimeRow]:
        """Return the rows to transfer."""

    def import_rows(self, rows: Iterable[IdleTimeRow]) -> None:
        """Add transferred rows."""


def write_state(folder: str, module: LearningModule, idle_times: IdleTimes, now: float) -> bool:
    """Write what was learned until `now`; return whether that succeeded."""
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
            temporary_path.unlink()  # a partial file would take space on a full disk
        return False


def read_state(folder: str, now: float) -> TransferredState | None:
    """Return the state in a folder, None if there is none that is valid at `now`."""
    try:
        with open(Path(folder) / FILE_NAME, encoding="utf-8") as file:
            text = file.read(MAX_FILE_BYTES + 1)
        if len(text) > MAX_FILE_BYTES:
            return None
        return _parse(json.loads(text), now)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def apply_state(state: TransferredState, module: LearningModule, idle_times: IdleTimes) -> None:
    """Apply transferred state for the classes and plans of the present settings."""
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
    """Return the rows of the MAX_CUSTOMERS customers that were read last and of which something is known."""
    known = [c for c in module.customers.values() if c.window in module.windows and not module.is_stale(c)]
    known.sort(key=lambda c: -c.total_read_at)
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
        for customer in known[:MAX_CUSTOMERS]
    ]


def parse_number(value: Any) -> float:
    """Return a finite number.

    Raises:
        ValueError: it is none.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(value)
    return float(value)


def _parse(document: Any, now: float) -> TransferredState | None:
    """Return the state in a document, None if a value is not plausible; malformed values raise."""
    if not isinstance(document, dict) or document.get("version") != VERSION:
        return None
    is_valid = (
        0 <= now - parse_number(document["at"]) <= MAX_AGE_MS
        and parse_number(document["depth"]) >= 0
        and 0 < parse_number(document["asks"]) <= 1
        and all(_is_valid_class(row, now) for row in document["classes"].values())
        and all(_is_valid_idle_time(row, now) for row in document["idle"])
    )
    if not is_valid:
        return None
    customers = tuple(CustomerRow(*row) for row in document["customers"])
    if not all(row.is_valid(now) for row in customers):
        return None
    return TransferredState(
        document["depth"], document["asks"], document["classes"], tuple(document["idle"]), customers
    )


def _is_valid_class(row: Any, now: float) -> bool:
    service_ms, learned_at, error_ratio = row
    return parse_number(service_ms) > 0 and parse_number(learned_at) <= now and 0 <= parse_number(error_ratio) <= 1


def _is_valid_idle_time(row: Any, now: float) -> bool:
    order, broken_share, observed_at = row
    return (
        type(order) is int
        and 0 <= order <= MAX_IDLE_ORDER
        and 0 <= parse_number(broken_share) <= 1
        and parse_number(observed_at) <= now
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
