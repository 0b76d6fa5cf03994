"""`hallhitch trace`: inspects, imports and records traces of requests."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

import click

from hallhitch.cli.output import print_table
from hallhitch.settings_file import SettingsError


@click.group()
def trace() -> None:
    """Manage traces: files of one request per line, which `hallhitch load --trace` replays."""


@trace.command("inspect")
@click.argument("file", type=click.Path(path_type=Path))
def inspect(file: Path) -> None:
    """Print the duration of a trace, and its requests by class and by plan."""
    from hallhitch.lab.load.trace_format import read_trace

    try:
        with open(file, "rb") as lines:
            requests = read_trace(lines)
    except (ValueError, OSError) as error:
        raise SettingsError(f"{file}: {error}") from error
    seconds = requests[-1].at_ms / 1000 if requests else 0.0
    customers = {request.customer for request in requests}
    click.echo(f"{len(requests)} requests in {seconds:.1f} s, {len(customers)} customers")
    classes = [request.klass for request in requests]
    plans = [request.plan for request in requests]
    for column, values in (("class", classes), ("plan", plans)):
        print_table((column, "requests"), [(value, values.count(value)) for value in sorted(set(values))])


@trace.command("import")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--form", type=click.Choice(["access-log", "csv"]), required=True, help="Format of FILE.")
@click.option("--plan", default="", help="Plan of all requests; an access log does not contain it.")
@click.option(
    "--deadline-ms",
    type=click.IntRange(1, 600_000),
    default=4000,
    show_default=True,
    help="Deadline of requests for which FILE gives none.",
)
@click.option(
    "--body",
    type=click.IntRange(1, 65_536),
    default=64,
    show_default=True,
    help="Body size of POST requests in bytes; an access log does not contain it.",
)
def import_(file: Path, out: Path, form: str, plan: str, deadline_ms: int, body: int) -> None:
    """Convert FILE to a trace: an access log in the common or combined format, or a CSV table with a header."""
    from hallhitch.lab.load.trace_format import write_trace
    from hallhitch.lab.load.trace_import import AccessLogDefaults, ImportedTrace, import_access_log, import_csv

    if form == "access-log" and not plan:
        raise SettingsError("--plan: required, because an access log does not contain the plan")
    try:
        with open(file, encoding="utf-8", newline="") as lines:
            if form == "csv":
                imported = ImportedTrace(import_csv(lines, deadline_ms))
            else:
                imported = import_access_log(lines, AccessLogDefaults(plan, deadline_ms, body))
        out.write_bytes(b"".join(write_trace(imported.requests)))
    except (ValueError, OSError) as error:
        raise SettingsError(f"{file}: {error}") from error
    skipped = f"; {imported.skipped} left out because they name no class and customer" if imported.skipped else ""
    click.echo(f"{len(imported.requests)} requests{skipped}")


@trace.command("record")
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--listen", required=True, help="Address that clients connect to: host:port on loopback.")
@click.option("--to", required=True, help="Address of the gateway: host:port on loopback.")
@click.option(
    "--seconds", type=click.FloatRange(0.1, 1e6), default=None, help="Stop after this time; by default at Ctrl-C."
)
def record(out: Path, listen: str, to: str, seconds: float | None) -> None:
    """Forward requests to a gateway and record them as a trace, until Ctrl-C."""
    from hallhitch.lab.load.trace_recorder import TraceRecorder

    async def run() -> TraceRecorder:
        stop_requested = asyncio.Event()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
        with open(out, "wb") as file:  # noqa: ASYNC230  a small local file, opened before any traffic
            recorder = TraceRecorder(to, file)
            await recorder.start(listen)
            click.echo(f"recording on {recorder.address}", err=True)
            sys.stderr.flush()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stop_requested.wait(), seconds)
            await recorder.stop()
        return recorder

    try:
        recorder = asyncio.run(run())
    except (ValueError, OSError) as error:
        raise SettingsError(f"{listen} to {to}: {error}") from error
    click.echo(
        f"{recorder.recorded} requests recorded; {recorder.skipped} skipped because they name no class and customer; "
        f"{recorder.unreadable_connections} connections were not readable as HTTP"
    )
