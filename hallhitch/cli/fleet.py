"""`hallhitch fleet`: runs many real gateways on loopback, with faults between them."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click
import structlog

from hallhitch.cli.output import CommandError, fail_on_violations, print_table
from hallhitch.settings_file import read

if TYPE_CHECKING:
    from hallhitch.lab.fleet.processes import GatewayFleet
    from hallhitch.lab.fleet.timeline import FaultTimeline
    from hallhitch.lab.scenario import Scenario

SCENARIOS: Final = Path(__file__).parents[2] / "scenarios"
VIEW_POLL_INTERVAL_S: Final = 0.2
DEMO_DURATION_S: Final = 45.0  # covers the partition, the agreement after it and the traffic meanwhile
PARTITION_DURATION_S: Final = 6.0  # for which the halves serve separately, once both have detected the partition
PRINTED_FIGURES: Final = ("service", "in_time", "refused", "failed", "attempts", "p50", "p99")
PRINTED_EVENNESS: Final = (
    "moment_cv",
    "idle",
    "second_cv",
    "second_most",
    "run_least",
    "run_most",
    "herd_pairs",
)


@click.group()
def fleet() -> None:
    """Run fleets of real gateways with membership, and inject faults between them."""


def prepare_scenario(
    scenario: str,
    gateways: int,
    seconds: float | None,
    sizes: dict[str, Any] | None = None,
    keeps_faults: bool = False,
) -> Scenario:
    """Read a scenario by name or file, replace its sizes, and remove its own faults unless `keeps_faults`."""
    from hallhitch.lab.cases import load_scenario
    from hallhitch.lab.scenario import replaced

    name, colon, case = scenario.partition(":")
    path = Path(name) if name.endswith(".toml") else SCENARIOS / f"{name}.toml"
    base = load_scenario(f"{path}{colon}{case}")
    settings = {"world.gateways": gateways, "seconds": seconds or base.seconds} | (sizes or {})
    return replaced(base, settings if keeps_faults else settings | {"faults": []})


async def watch_views(run: GatewayFleet) -> None:
    """Print how many members each gateway sees whenever a count changes, until cancelled."""
    from hallhitch.lab.fleet.member_views import present_members

    loop, printed = asyncio.get_running_loop(), ""
    began_s = loop.time()
    while True:
        views = await run.fetch_views()
        members = {number: tuple(present_members(view)) for number, view in views.items()}
        counts = " ".join(f"{len(members[number]):>2}" if number in members else " -" for number in range(run.count))
        states = {view["view"] for view in views.values()}
        agreement = "all views agree" if len(set(members.values())) == 1 else "views differ"
        if counts != printed:
            printed = counts
            click.echo(f"{loop.time() - began_s:>6.1f}  {counts}   {agreement}; {', '.join(sorted(states))}")
        await asyncio.sleep(VIEW_POLL_INTERVAL_S)


@fleet.command("demo")
@click.option("--gateways", type=click.IntRange(3, 60), default=12, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def demo(gateways: int, seed: int) -> None:
    """Run a dozen gateways under traffic, partition them into two halves and heal the partition.

    Prints how many members each gateway sees. Exit code 1 if a rule was violated, or if the gateways did not agree on
    one view again.
    """
    from hallhitch.lab.checker import check

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    try:
        run = asyncio.run(_play_demo(prepare_scenario("calm", gateways, DEMO_DURATION_S), seed))
    except TimeoutError as error:
        raise CommandError(f"the gateways did not agree on one view: {error}") from error
    violations = check(run.journal.events)
    print_table(("status", "count"), sorted(run.statuses.items()))
    fail_on_violations(violations)
    click.echo("no rule violated")


async def _play_demo(scenario: Scenario, seed: int) -> GatewayFleet:
    """Run the demo's traffic, and partition and heal the fleet meanwhile."""
    from hallhitch.lab.fleet.processes import GatewayFleet

    gateways = scenario.world.gateways
    async with GatewayFleet(scenario, seed) as run:
        click.echo(
            f"{gateways} gateways, {scenario.world.nodes} nodes; members that each gateway sees, itself included"
        )
        click.echo(f"{'s':>6}  " + " ".join(f"{f'n{n}':>2}"[:3] for n in range(gateways)))
        watching, traffic = asyncio.create_task(watch_views(run)), asyncio.create_task(run.run_workload())
        click.echo(f"        one view agreed after {await run.wait_until_agreed():.1f} s")
        await _partition_and_heal(run)
        await traffic
        watching.cancel()
        return run


async def _partition_and_heal(run: GatewayFleet) -> None:
    """Partition the gateways into two halves for some seconds, heal, and wait until placement includes all of them."""
    from hallhitch.lab.fleet.member_views import present_members
    from hallhitch.lab.fleet.timeline import FleetFault

    gateways = run.count
    larger_half = gateways - gateways // 2
    partition = run.begin_fault(FleetFault("split", 0.0, parts=(0.5, 0.5)))
    click.echo("        the links between the first half and the second are cut")
    seconds = await run.wait_until(
        lambda views: all(len(present_members(view)) <= larger_half for view in views.values())
    )
    click.echo(f"        each half sees only its own members after {seconds:.1f} s; both go on serving")
    await asyncio.sleep(PARTITION_DURATION_S)
    run.end_fault(partition)
    click.echo("        the links are restored")
    click.echo(f"        one view agreed after {await run.wait_until_agreed():.1f} s")
    seconds = await run.wait_until(lambda views: all(view["places"] == gateways for view in views.values()))
    click.echo(f"        placement includes all gateways again after another {seconds:.1f} s")


@fleet.command("report")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--write", type=click.Path(path_type=Path), required=True, help="HTML file to write.")
def report_(logs: tuple[Path, ...], write: Path) -> None:
    """Write an HTML page that compares how evenly load was spread in several runs, from their event LOGS."""
    from hallhitch.lab.evenness_page import render_page
    from hallhitch.lab.journal import read_journal

    runs = {}
    for path in logs:
        try:
            with path.open("rb") as file:
                runs[path.stem] = read_journal(file)
        except ValueError as error:
            raise CommandError(f"{path}: {error}") from error
        if not runs[path.stem]:
            raise CommandError(f"{path}: the event log is empty")
    write.write_text(render_page(runs))


@fleet.command("run")
@click.argument("scenario")
@click.option("--gateways", type=click.IntRange(1, 400), default=12, show_default=True)
@click.option(
    "--line", type=click.Path(path_type=Path), help="TOML file with a timeline of faults between the gateways."
)
@click.option("--seconds", type=click.FloatRange(5, 3600), help="Duration; by default that of the scenario.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--log", type=click.Path(path_type=Path), help="File to write the event log to.")
@click.option("--without-peers", is_flag=True, help="Start the gateways without membership.")
@click.option("--nodes", type=click.IntRange(1, 400), help="Number of nodes; by default that of the scenario.")
@click.option(
    "--rate", type=click.FloatRange(0.1, 5000), help="Requests per second; by default the load of the scenario."
)
@click.option("--faults", "keeps_faults", is_flag=True, help="Inject the faults of the scenario too.")
@click.option(
    "--late",
    type=click.FloatRange(1, 10_000),
    default=50.0,
    show_default=True,
    help="Largest 99th percentile of the load generator's own send delay, in ms; above it the run is invalid.",
)
@click.option("--report", type=click.Path(path_type=Path), help="HTML file to write how evenly load was spread to.")
def run_(  # noqa: PLR0913  one parameter for each option
    scenario: str,
    gateways: int,
    line: Path | None,
    seconds: float | None,
    seed: int,
    log: Path | None,
    without_peers: bool,
    nodes: int | None,
    rate: float | None,
    keeps_faults: bool,
    late: float,
    report: Path | None,
) -> None:
    """Run SCENARIO on real gateways, with the faults of a timeline.

    SCENARIO is a name, a file, or a case of a file of cases (cases/evenness:zone). Exit code 1 if a rule was violated,
    or if the load generator itself sent requests too late for a valid measurement.
    """
    from hallhitch.lab.checker import check
    from hallhitch.lab.evenness_page import render_page
    from hallhitch.lab.fleet.timeline import FaultTimeline

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    sizes = {"world.nodes": nodes, "traffic.rate": rate}
    given_sizes = {path: value for path, value in sizes.items() if value}
    prepared = prepare_scenario(scenario, gateways, seconds, given_sizes, keeps_faults)
    timeline = read(str(line), FaultTimeline) if line is not None else FaultTimeline()

    run = asyncio.run(_play(prepared, seed, timeline, has_membership=not without_peers))
    events = run.journal.events
    if log is not None:
        log.write_bytes(b"".join(run.journal.encoded_lines()))
    violations = check(events)
    if report is not None:
        report.write_text(render_page({f"{prepared.name}, {gateways} gateways": events}))
    _print_figures(run)
    if (delay_ms := run.p99_send_delay_ms) > late:
        raise CommandError(f"invalid run: the load generator was {delay_ms:.0f} ms late (p99), more than --late allows")
    fail_on_violations(violations)
    click.echo("no rule violated")


async def _play(scenario: Scenario, seed: int, timeline: FaultTimeline, has_membership: bool) -> GatewayFleet:
    """Run a scenario with a timeline of faults; with membership, print the views whenever they change."""
    from hallhitch.lab.fleet.processes import GatewayFleet

    async with GatewayFleet(scenario, seed, timeline, has_membership) as run:
        if not has_membership:
            await run.run_workload()
            return run
        click.echo(f"one view agreed after {await run.wait_until_agreed():.1f} s")
        watching = asyncio.create_task(watch_views(run))
        await run.run_workload()
        watching.cancel()
        return run


def _print_figures(run: GatewayFleet) -> None:
    """Print the figures of a run, and how evenly its load was spread."""
    from hallhitch.lab.evenness import measure_evenness
    from hallhitch.lab.figures import compute_figures

    events = run.journal.events
    run_figures, run_evenness = compute_figures(events, run.traffic, run.counter.calls), measure_evenness(events)
    print_table(
        ("figure", "value"),
        [(name, f"{getattr(run_figures, name):.4g}") for name in PRINTED_FIGURES]
        + [(name, f"{getattr(run_evenness, name):.4g}") for name in PRINTED_EVENNESS]
        + [("send delay p99, ms", f"{run.p99_send_delay_ms:.1f}")],
    )
