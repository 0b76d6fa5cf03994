"""`hallhitch demo-gateway`: runs two real gateways and emulated nodes under traffic with one fault, and reports."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click
import msgspec
import structlog

from hallhitch.cli.output import fail_on_violations, print_table
from hallhitch.settings_file import read

if TYPE_CHECKING:
    from hallhitch.lab.checker import Violation
    from hallhitch.lab.figures import Figures
    from hallhitch.lab.scenario import Scenario
    from hallhitch.lab.sockets.run import SocketRun

SCENARIOS: Final = Path(__file__).parents[2] / "scenarios"
DEFAULT_DURATION_S: Final = 30.0
DEFAULT_SCENARIO: Final = "quick-failures"
PRINTED_FIGURES: Final = (
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


class SecondPrinter:
    """Prints how many attempts were served, refused and failed in each second."""

    def __init__(self) -> None:
        self._previous: dict[str, int] = {}

    def print_second(self, second: int, statuses: dict[str, int]) -> None:
        """Print the counts of one second, given the counts by status since the start of the run."""
        served, refused = (statuses.get(name, 0) - self._previous.get(name, 0) for name in ("served", "refused"))
        failed = sum(statuses.values()) - sum(self._previous.values()) - served - refused
        self._previous = dict(statuses)
        click.echo(f"{second:>4} {served:>8} {refused:>8} {failed:>8}")


@click.command("demo-gateway")
@click.option("--scenario", default=DEFAULT_SCENARIO, show_default=True, help="Name of a scenario, or a scenario file.")
@click.option("--seconds", type=click.FloatRange(5, 600), default=DEFAULT_DURATION_S, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--to",
    type=click.Path(path_type=Path),
    default=Path("found/demo"),
    show_default=True,
    help="Directory for the event log and the report.",
)
def demo(scenario: str, seconds: float, seed: int, to: Path) -> None:
    """Run two gateways and emulated nodes on loopback, under traffic with a fault.

    Exit code 1 if a rule was violated.
    """
    from hallhitch.lab.checker import check
    from hallhitch.lab.figures import compute_figures
    from hallhitch.lab.sockets.run import play

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    shortened = _shortened_scenario(scenario, seconds)
    faults = [f"{fault.kind} from {fault.at_s:.0f} s for {fault.for_s:.0f} s" for fault in shortened.faults]
    click.echo(
        f"{shortened.name}: 2 gateways, {shortened.world.nodes} nodes, {shortened.seconds:.0f} s, "
        f"{'; '.join(faults) or 'no fault'}"
    )
    click.echo(f"{'s':>4} {'served':>8} {'refused':>8} {'failed':>8}   in this second")
    run = play(shortened, seed, SecondPrinter().print_second)
    events = run.journal.events
    run_figures, violations = compute_figures(events, run.traffic, run.counter.calls), check(events)
    _write_results(run, run_figures, violations, to)
    print_table(("figure", "value"), [(name, f"{getattr(run_figures, name):.4g}") for name in PRINTED_FIGURES])
    click.echo(f"{len(events)} events written to {to / 'log.jsonl'}, the report to {to / 'report.html'}")
    fail_on_violations(violations)
    click.echo("no rule violated")


def _shortened_scenario(name: str, seconds: float) -> Scenario:
    """Read a scenario by name or file; set two gateways, and scale its duration and its faults down to `seconds`."""
    from hallhitch.lab.scenario import Scenario, replaced

    path = Path(name) if name.endswith(".toml") else SCENARIOS / f"{name}.toml"
    scenario = replaced(read(str(path), Scenario), {"world.gateways": 2})
    ratio = min(1.0, seconds / scenario.seconds)
    faults = tuple(
        msgspec.structs.replace(fault, at_s=fault.at_s * ratio, for_s=fault.for_s * ratio) for fault in scenario.faults
    )
    return msgspec.structs.replace(scenario, seconds=scenario.seconds * ratio, faults=faults)


def _write_results(run: SocketRun, figures: Figures, violations: list[Violation], folder: Path) -> None:
    """Write the event log and the HTML report."""
    from hallhitch.lab.experiments import Outcome
    from hallhitch.lab.report import render_page

    scenario = run.scenario
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "log.jsonl").write_bytes(b"".join(run.journal.encoded_lines()))
    outcome = Outcome(figures, [str(violation) for violation in violations], scenario.seconds)
    results = {(scenario.name, "two gateways on sockets"): {run.seed: outcome}}
    (folder / "report.html").write_text(render_page(scenario.name, results))
