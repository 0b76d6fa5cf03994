"""`hallhitch demo`: runs the whole system on loopback under traffic with faults, and checks the rules."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click

from hallhitch.cli.output import CommandError, print_table

if TYPE_CHECKING:
    from hallhitch.lab.emulator.client_request import RequestOutcome
    from hallhitch.lab.emulator.emulator import Emulator
    from hallhitch.lab.emulator.spec import EmulatorSpec
    from hallhitch.lab.emulator.traffic import PlannedFault, Traffic

DEFAULT_DURATION_S: Final = 20.0
DEFAULT_SCENARIO: Final = "kills"
MAX_RELAYED_GATEWAYS_PER_ZONE: Final = 3  # a relay's address has room for 25 machines in all
SCENARIO_NAMES: Final = (  # repeated here, so that the command line does not import the emulator
    "kills",
    "herd",
    "wipes",
    "links",
    "frozen",
    "backends",
    "changes",
    "press",
    "control_cut",
    "exchange",
    "hundreds",
    "departures",
    "overlaps",
    "upgrades",
)


@click.command()
@click.option(
    "--day", type=click.Choice(SCENARIO_NAMES), default=DEFAULT_SCENARIO, show_default=True, help="Scenario of faults."
)
@click.option("--seconds", type=click.FloatRange(5, 600), default=DEFAULT_DURATION_S, show_default=True)
@click.option(
    "--load",
    type=click.FloatRange(0.1, 5),
    default=1.0,
    show_default=True,
    help="Factor of the usual load of 110 requests per second.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--gateways", type=click.IntRange(1, 90), default=3, show_default=True, help="Gateways in each of the three zones."
)
@click.option("--stay-connected", is_flag=True, help="Clients use open connections until a gateway closes them.")
@click.option(
    "--earlier-release",
    type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
    help="Checkout of another release whose programs run first; for the day `upgrades`.",
)
@click.option(
    "--to",
    type=click.Path(path_type=Path),
    help="Directory that keeps the settings, logs and disks; a temporary one by default.",
)
def demo(  # noqa: PLR0913  one parameter for each option
    day: str,
    seconds: float,
    load: float,
    seed: int,
    gateways: int,
    stay_connected: bool,
    earlier_release: Path | None,
    to: Path | None,
) -> None:
    """Run three regions with gateways and three coordinators through a scenario of faults.

    Links between processes have delays unless there are more than nine gateways.

    Exit code 1 if a rule was violated or a process exited unexpectedly.
    """
    import uvloop

    from hallhitch.lab.emulator.refusing_backends import with_refusing_backends
    from hallhitch.lab.emulator.shutdown_traffic import with_long_requests
    from hallhitch.lab.emulator.spec import EmulatorSpec

    spec = EmulatorSpec(seed=seed, gateways_per_zone=gateways, clients_stay_connected=stay_connected)
    if day == "overlaps":
        spec = with_refusing_backends(with_long_requests(spec))
    uvloop.run(_run_scenario(day, seconds, load, spec, to, earlier_release))


async def _run_scenario(
    name: str,
    duration_s: float,
    load_factor: float,
    spec: EmulatorSpec,
    directory: Path | None,
    earlier_release: Path | None,
) -> None:
    from hallhitch.lab.emulator.emulator import Emulator
    from hallhitch.lab.emulator.scenarios import SCENARIOS
    from hallhitch.lab.emulator.traffic import Traffic, plan_requests

    if directory is not None:
        directory.mkdir(parents=True, exist_ok=True)
    is_relayed = spec.gateways_per_zone <= MAX_RELAYED_GATEWAYS_PER_ZONE
    emulator = Emulator(spec, directory, is_relayed)
    if earlier_release is not None:
        emulator.processes.use_earlier_release(earlier_release)
    async with emulator:
        await _wait_for_start(emulator, duration_s)
        emulator.spawn(emulator.watch_readiness())
        faults = SCENARIOS[name](emulator, duration_s)
        click.echo(f"{'s':>4} {'served':>8} {'refused':>8} {'failed':>8}   in this second")
        traffic = Traffic(emulator, plan_requests(spec, duration_s, len(emulator.clients), load_factor))
        await traffic.run(faults, lambda second, outcomes: _print_second(second, outcomes, faults))
        await emulator.operator.read_config()
        unexpected_exits = emulator.processes.describe_unexpected_exits()
    _print_summary(emulator, traffic)
    _check_run(emulator, unexpected_exits)


def _print_summary(emulator: Emulator, traffic: Traffic) -> None:
    """Print the outcomes by kind and region, the calls of the system, and the operator's operations."""
    from hallhitch.lab.emulator.report import TABLE_HEADER, describe_acknowledgements, outcome_table, percentile

    click.echo()
    print_table(TABLE_HEADER, outcome_table(traffic.outcomes))
    click.echo(
        f"\n{emulator.backends.connections_opened} connections to backends, "
        f"{emulator.backends.health_checks} health checks, "
        f"{emulator.platform.calls} calls to the platform; 99% of requests were sent at most "
        f"{percentile(traffic.send_delays_ms, 0.99):.1f} ms late"
    )
    records = emulator.records
    click.echo(
        f"{describe_acknowledgements(records.operations)}; configuration read back {len(records.config_reads)} times\n"
    )


def _check_run(emulator: Emulator, unexpected_exits: Sequence[str]) -> None:
    """Print whether each rule held and which processes exited unexpectedly.

    Raises:
        CommandError: A rule was violated, or a process exited unexpectedly.
    """
    from hallhitch.lab.emulator.report import describe_violations
    from hallhitch.lab.emulator.rules import check_records

    violations_by_rule = check_records(emulator.records, emulator.spec.bounds)
    for line in describe_violations(violations_by_rule):
        click.echo(line)
    for line in unexpected_exits:
        click.echo(line, err=True)
    count = sum(map(len, violations_by_rule.values()))
    if count or unexpected_exits:
        raise CommandError(f"{count} rule violations, {len(unexpected_exits)} processes exited unexpectedly")
    click.echo("no rule violated")


async def _wait_for_start(emulator: Emulator, duration_s: float) -> None:
    """Wait until every gateway serves every tenant, and print how long it took."""
    from hallhitch.lab.emulator.errors import EmulatorError
    from hallhitch.node.clock import now

    spec, processes, began_ms = emulator.spec, emulator.processes, now()
    click.echo(
        f"{spec.regions} regions {spec.region_delay_ms:g} ms apart, {len(processes.with_role('gateway'))} gateways, "
        f"{len(processes.with_role('coordinator'))} coordinators, {len(emulator.backends.backends)} backends"
    )
    try:
        await emulator.wait_until_configured()
        ready_after_ms = now() - began_ms
        await emulator.wait_until_serving()
    except EmulatorError as error:
        raise CommandError(str(error)) from None
    click.echo(
        f"all gateways ready after {ready_after_ms / 1000:.1f} s and serving every tenant after "
        f"{(now() - began_ms) / 1000:.1f} s; starting {duration_s:g} s of traffic"
    )


def _print_second(second: int, outcomes: list[RequestOutcome], faults: list[PlannedFault]) -> None:
    """Print the outcomes of the requests that ended in one second, and the faults that were injected in it."""
    from hallhitch.lab.emulator.report import REJECTED_STATUSES

    served = sum(outcome.is_served for outcome in outcomes)
    rejected = sum(outcome.status in REJECTED_STATUSES for outcome in outcomes)
    failed = len(outcomes) - served - rejected
    descriptions = "; ".join(fault.description for fault in faults if second <= fault.at_s < second + 1)
    click.echo(f"{second:>4} {served:>8} {rejected:>8} {failed:>8}   {descriptions}".rstrip())
