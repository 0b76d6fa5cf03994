"""`hallhitch trace`: what was asked, line by line, to be asked again."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

import click

from hallhitch.cli.output import table
from hallhitch.settings_file import SettingsError


@click.group()
def trace() -> None:
    """Traces: what was asked, line by line, to be asked again with `hallhitch load --trace`."""


@trace.command("inspect")
@click.argument("file", type=click.Path(path_type=Path))
def inspect(file: Path) -> None:
    """Say what a trace holds."""
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
        table((column, "requests"), [(value, values.count(value)) for value in sorted(set(values))])


@trace.command("import")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--form", type=click.Choice(["access-log", "csv"]), required=True, help="What FILE is.")
@click.option("--plan", default="", help="The plan of all requests: an access log does not know it.")
@click.option(
    "--deadline-ms",
    type=click.IntRange(1, 600_000),
    default=4000,
    show_default=True,
    help="Where FILE does not say it.",
)
@click.option(
    "--body",
    type=click.IntRange(1, 65_536),
    default=64,
    show_default=True,
    help="Bytes of a POST's body, which an access log does not know.",
)
def import_(file: Path, out: Path, form: str, plan: str, deadline_ms: int, body: int) -> None:
    """Make a trace of FILE: an access log in the common or combined format, or a table with a header (csv)."""
    from hallhitch.lab.load.trace_format import write_trace
    from hallhitch.lab.load.trace_import import AccessLogDefaults, ImportedTrace, import_access_log, import_csv

    if form == "access-log" and not plan:
        raise SettingsError("--plan: an access log does not know the plan; name it")
    try:
        with open(file, encoding="utf-8", newline="") as lines:
            if form == "csv":
                imported = ImportedTrace(import_csv(lines, deadline_ms))
            else:
                imported = import_access_log(lines, AccessLogDefaults(plan, deadline_ms, body))
        out.write_bytes(b"".join(write_trace(imported.requests)))
    except (ValueError, OSError) as error:
        raise SettingsError(f"{file}: {error}") from error
    skipped = f"; {imported.skipped} left out, as they name no class and customer" if imported.skipped else ""
    click.echo(f"{len(imported.requests)} requests{skipped}")


@trace.command("record")
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--listen", required=True, help="Where clients connect: host:port on loopback.")
@click.option("--to", required=True, help="The gateway: host:port on loopback.")
@click.option("--seconds", type=click.FloatRange(0.1, 1e6), default=None, help="End by itself after that.")
def record(out: Path, listen: str, to: str, seconds: float | None) -> None:
    """Pass requests on to a gateway and write down what was asked, until Ctrl-C."""
    from hallhitch.lab.load.trace_recorder import TraceRecorder

    async def run() -> TraceRecorder:
        end = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, end.set)
        with open(out, "wb") as file:  # noqa: ASYNC230  a small local file, before traffic
            recorder = TraceRecorder(to, file)
            await recorder.start(listen)
            click.echo(f"recording on {recorder.address}", err=True)
            sys.stderr.flush()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(end.wait(), seconds)
            await recorder.stop()
        return recorder

    try:
        recorder = asyncio.run(run())
    except (ValueError, OSError) as error:
        raise SettingsError(f"{listen} to {to}: {error}") from error
    click.echo(
        f"{recorder.recorded} requests; {recorder.skipped} named no class and customer; "
        f"{recorder.unreadable_connections} connections could not be read"
    )
