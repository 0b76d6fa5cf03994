"""Measuring of processor time and memory, and printing of tables, for the benchmarks.

Units: microseconds of this thread's processor time, bytes of the interpreter's own memory.
"""

from __future__ import annotations

import gc
import multiprocessing
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import fields, is_dataclass
from typing import Any, Final, TypeVar, get_type_hints

RecordT = TypeVar("RecordT")
ResultT = TypeVar("ResultT")

MIN_SAMPLE_S: Final = 0.15  # processor time over which a mean is taken: 100 times the clock's usual resolution
MAX_CALLS: Final = 100_000  # bounds the wall time of calls that cost nearly nothing
SHORT_NUMBER_BELOW: Final = 1000  # larger numbers are printed without decimals


class BenchmarkError(Exception):
    """A benchmark cannot measure what it is meant to measure."""


def format_cell(cell: object) -> str:
    """Return a cell as the pages show it: four significant digits, or whole numbers from 1,000."""
    if isinstance(cell, float) and cell < SHORT_NUMBER_BELOW:
        return f"{cell:,.4g}"
    if isinstance(cell, float | int):
        return f"{cell:,.0f}"
    return str(cell)


def headings(record_type: type[object]) -> list[str]:
    """Return the headings of a table: of each field of the record type, the text in its `Annotated`."""
    hints = get_type_hints(record_type, include_extras=True)
    return [str(hints[record_field.name].__metadata__[0]) for record_field in fields(_as_dataclass(record_type))]


def _as_dataclass(record_type: type[object]) -> type[Any]:
    if not is_dataclass(record_type):
        raise BenchmarkError(f"rows of a table must be dataclasses, not {record_type.__name__}")
    return record_type


def print_table(title: str, record_type: type[RecordT], records: Iterable[RecordT]) -> None:
    """Print records as a Markdown table, a row as soon as its record is there."""
    columns = headings(record_type)
    print(f"\n### {title}\n\n| {' | '.join(columns)} |\n|{' --- |' * len(columns)}")
    for record in records:
        cells = [getattr(record, record_field.name) for record_field in fields(_as_dataclass(record_type))]
        print(f"| {' | '.join(format_cell(cell) for cell in cells)} |", flush=True)


def run_in_child(measurement: Callable[..., ResultT], *arguments: object) -> ResultT:
    """Return what the measurement returns, taken in a process of its own."""
    with multiprocessing.get_context("fork").Pool(1) as pool:
        return pool.apply(measurement, arguments)


def processor_us(call: Callable[[], object], min_sample_s: float = MIN_SAMPLE_S) -> float:
    """Return the mean processor time of a call in microseconds, over `min_sample_s` and one call at least."""
    started_s = time.thread_time()
    calls = 0
    while calls < MAX_CALLS and (time.thread_time() - started_s < min_sample_s or not calls):
        call()
        calls += 1
    return (time.thread_time() - started_s) / calls * 1e6


def traced_bytes(build: Callable[[], object]) -> float:
    """Return the bytes of the interpreter's own memory that the built object holds."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size_bytes) if built is not None else 0.0
