"""`hallhitch load`: sends open-loop load to a server on loopback."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from hallhitch.cli.output import CommandError, print_json, print_table
from hallhitch.settings_file import SettingsError

# The platform's mix of requests: for each class its share, its deadline in ms and whether its requests have a body.
REQUEST_CLASSES = {"inspect": (0.78, 4000, False), "reject": (0.22, 1500, True)}
PLAN_SHARES = {"small-shop": 0.5, "full-plant": 0.5}


@click.command()
@click.argument("address")
@click.option("--rate", type=click.FloatRange(0.01, 1e5), default=100.0, show_default=True, help="Requests per second.")
@click.option("--seconds", type=click.FloatRange(0.1, 1e5), default=10.0, show_default=True)
@click.option(
    "--shape",
    type=click.Choice(["poisson", "constant", "bursts", "ramp", "onoff"]),
    default="poisson",
    show_default=True,
)
@click.option("--trace", type=click.Path(path_type=Path), help="Replay this trace instead of generating a shape.")
@click.option("--protocol", type=click.Choice(["http", "resp"]), default="http", show_default=True)
@click.option("--customers", type=click.IntRange(1, 10**6), default=200, show_default=True)
@click.option("--workers", type=click.IntRange(1, 64), default=1, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--record", type=click.Path(path_type=Path), help="File to write the requests to, as a trace.")
@click.option("--json", "json_output", is_flag=True, help="Print JSON.")
def load(  # noqa: PLR0913  one parameter for each option
    address: str,
    rate: float,
    seconds: float,
    shape: Any,
    trace: Path | None,
    protocol: Any,
    customers: int,
    workers: int,
    seed: int,
    record: Path | None,
    json_output: bool,
) -> None:
    """Send requests to ADDRESS (host:port on loopback) on a fixed schedule, even if the server falls behind.

    Latencies count from the scheduled time of a request. Exit code 1 if the generator itself sent too late: such a
    run measures the generator and not the server.
    """
    from hallhitch.lab.load.generator import LoadPlan, run_load
    from hallhitch.lab.load.protocols import parse_loopback_address
    from hallhitch.lab.load.schedule import ClassShare, RequestMix, arrival_times, make_requests
    from hallhitch.lab.load.tally import MAX_P99_SEND_DELAY_MS, PERCENTILES
    from hallhitch.lab.load.trace_format import read_trace, write_trace

    try:
        parse_loopback_address(address)
        if trace is not None:
            with open(trace, "rb") as file:
                requests = read_trace(file)
        else:
            mix = RequestMix(
                {name: ClassShare(*fields) for name, fields in REQUEST_CLASSES.items()}, PLAN_SHARES, customers
            )
            requests = make_requests(arrival_times(shape, rate, seconds, seed), mix, seed)
    except (ValueError, OSError) as error:
        raise SettingsError(f"{trace or address}: {error}") from error
    if record is not None:
        record.write_bytes(b"".join(write_trace(requests)))
    with click.progressbar(length=100, label=f"{len(requests)} requests", file=sys.stderr) as bar:
        plan = LoadPlan(address, protocol, requests, workers)
        tally = run_load(plan, lambda ratio: bar.update(max(0, int(ratio * 100) - bar.pos)))
    rows = [
        (group, histogram.get_total_count(), *(f"{ms:.1f}" for ms in tally.percentiles(group).values()))
        for group, histogram in sorted(tally.latencies.items())
    ]
    if json_output:
        print_json(
            {
                "sent": tally.sent,
                "valid": tally.is_valid,
                "late_p99_ms": tally.p99_send_delay_ms,
                "statuses": dict(tally.statuses),
                "ms": {group: {str(p): ms for p, ms in tally.percentiles(group).items()} for group in tally.latencies},
            }
        )
    else:
        print_table(("", "requests", *(f"p{p:g} ms" for p in PERCENTILES)), rows)
        click.echo(f"the generator sent 99% of requests at most {tally.p99_send_delay_ms:.2f} ms late")
    if not tally.is_valid:
        delay_ms = tally.p99_send_delay_ms
        raise CommandError(
            f"invalid run: the generator was {delay_ms:.1f} ms late (p99; {MAX_P99_SEND_DELAY_MS:g} ms allowed)"
        )
