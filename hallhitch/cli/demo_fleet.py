"""`hallhitch demo-gateway`: two real gateways, an emulated fleet, half a minute of traffic with one fault, a report."""

from __future__ import annotations

import logging
from pathlib import Path

import click
import msgspec
import structlog

from hallhitch.cli.output import Failure, table
from hallhitch.settings_file import read

SCENARIOS = Path(__file__).parents[2] / "scenarios"
SECONDS, FAULT = 30.0, "quick-failures"


@click.command("demo-gateway")
@click.option("--scenario", default=FAULT, show_default=True, help="A scenario's name, or a file.")
@click.option("--seconds", type=click.FloatRange(5, 600), default=SECONDS, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--to",
    type=click.Path(path_type=Path),
    default=Path("found/demo"),
    show_default=True,
    help="A folder for the log and the report.",
)
def demo(scenario: str, seconds: float, seed: int, to: Path) -> None:
    """Two gateways, an emulated fleet on loopback, traffic with a fault. Exit code 1 if a rule was broken."""
    from hallhitch.lab.checker import check
    from hallhitch.lab.experiments import Outcome
    from hallhitch.lab.figures import figures
    from hallhitch.lab.report import page
    from hallhitch.lab.scenario import Scenario, replaced
    from hallhitch.lab.sockets.run import play

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    path = Path(scenario) if scenario.endswith(".toml") else SCENARIOS / f"{scenario}.toml"
    told = replaced(read(str(path), Scenario), {"world.gateways": 2})
    by = min(1.0, seconds / told.seconds)
    faults = tuple(msgspec.structs.replace(f, at_s=f.at_s * by, for_s=f.for_s * by) for f in told.faults)
    told = msgspec.structs.replace(told, seconds=told.seconds * by, faults=faults)
    words = "; ".join(f"{f.kind} from {f.at_s:.0f} s for {f.for_s:.0f} s" for f in faults) or "no fault"
    click.echo(f"{told.name}: 2 gateways, {told.world.nodes} nodes, {told.seconds:.0f} s, {words}")
    click.echo(f"{'s':>4} {'served':>8} {'refused':>8} {'failed':>8}   of that second")
    before: dict[str, int] = {}

    def tick(second: int, statuses: dict[str, int]) -> None:
        now = {name: statuses.get(name, 0) - before.get(name, 0) for name in ("served", "refused")}
        rest = sum(statuses.values()) - sum(before.values()) - sum(now.values())
        before.clear()
        before.update(statuses)
        click.echo(f"{second:>4} {now['served']:>8} {now['refused']:>8} {rest:>8}")

    run = play(told, seed, tick)
    events = run.journal.events
    found, broken = figures(events, run.traffic, run.counter.calls), check(events)
    to.mkdir(parents=True, exist_ok=True)
    (to / "log.jsonl").write_bytes(b"".join(run.journal.encoded_lines()))
    outcome = Outcome(found, [str(b) for b in broken], told.seconds)
    (to / "report.html").write_text(page(told.name, {(told.name, "two gateways on sockets"): {seed: outcome}}))
    table(
        ("figure", "value"),
        [
            (name, f"{getattr(found, name):.4g}")
            for name in (
                "service",
                "in_time",
                "late",
                "refused",
                "failed",
                "beyond_units",
                "errors",
                "resets",
                "p50",
                "p99",
            )
        ],
    )
    click.echo(f"{len(events)} events in {to / 'log.jsonl'}; the report is {to / 'report.html'}")
    for rule in broken[:3]:
        click.echo(str(rule), err=True)
    if broken:
        raise Failure(f"{len(broken)} breaches of the rules")
    click.echo("no rule broken")
