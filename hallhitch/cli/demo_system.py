"""`hallhitch demo`: the whole system on loopback, some seconds of traffic with two faults, the rules checked."""

from __future__ import annotations

from pathlib import Path

import click

from hallhitch.cli.output import Failure, table

SECONDS, DAY = 20.0, "kills"
NAMES = (
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
)


@click.command()
@click.option("--day", type=click.Choice(NAMES), default=DAY, show_default=True, help="What goes wrong.")
@click.option("--seconds", type=click.FloatRange(5, 600), default=SECONDS, show_default=True)
@click.option(
    "--load",
    type=click.FloatRange(0.1, 5),
    default=1.0,
    show_default=True,
    help="Times the usual 110 requests a second.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--to", type=click.Path(path_type=Path), help="A folder to keep settings, logs and disks in.")
def demo(day: str, seconds: float, load: float, seed: int, to: Path | None) -> None:
    """Three regions, nine gateways, three coordinators, a day with faults. Exit code 1 if a rule was broken."""
    import uvloop

    uvloop.run(_play(day, seconds, load, seed, to))


async def _play(day: str, seconds: float, load: float, seed: int, to: Path | None) -> None:
    from hallhitch.lab.system.clients import Outcome
    from hallhitch.lab.system.days import DAYS
    from hallhitch.lab.system.report import HEAD, acknowledgements, percentile, verdict
    from hallhitch.lab.system.report import table as rows
    from hallhitch.lab.system.rules import check
    from hallhitch.lab.system.shape import Shape
    from hallhitch.lab.system.traffic import Traffic, schedule
    from hallhitch.lab.system.world import World
    from hallhitch.node.clock import now

    if to is not None:
        to.mkdir(parents=True, exist_ok=True)
    shape = Shape(seed=seed)
    async with World(shape, to, linked=True) as world:
        rig, began = world.rig, now()
        click.echo(
            f"{shape.regions} regions {shape.between:g} ms apart, {len(rig.of('gateway'))} gateways, "
            f"{len(rig.of('coordinator'))} coordinators, {len(world.fleet.backends)} backends"
        )
        try:
            await world.configured()
            ready = now() - began
            await world.serving()
        except (RuntimeError, TimeoutError) as error:
            raise Failure(str(error)) from None
        click.echo(
            f"all ready after {ready / 1000:.1f} s, every gateway serves every tenant after "
            f"{(now() - began) / 1000:.1f} s; {seconds:g} s of traffic follow"
        )
        world.spawn(world.watch_readiness())

        faults = DAYS[day](world, seconds)
        click.echo(f"{'s':>4} {'served':>8} {'refused':>8} {'failed':>8}   of that second")

        def tick(second: int, outcomes: list[Outcome]) -> None:
            served, refused = sum(o.served for o in outcomes), sum(o.status in (429, 503) for o in outcomes)
            words = "; ".join(words for at, words, _ in faults if second <= at < second + 1)
            click.echo(f"{second:>4} {served:>8} {refused:>8} {len(outcomes) - served - refused:>8}   {words}".rstrip())

        traffic = Traffic(world, schedule(shape, seconds, len(world.clients), load))
        await traffic.run(faults, tick)
        await world.operator.read_back()
        fallen = rig.fallen()
    click.echo()
    table(HEAD, rows(traffic.outcomes))
    fleet = world.fleet
    click.echo(
        f"\n{fleet.opened} connections to backends, {fleet.probes} probes, {world.platform.calls} calls to the "
        f"platform; 99 of 100 requests left at most {percentile(traffic.late, 0.99):.1f} ms late"
    )
    click.echo(f"{acknowledgements(world.records.orders)}; {len(world.records.reads)} times read back\n")
    broken = check(world.records, shape.figures)
    for line in verdict(broken):
        click.echo(line)
    for line in fallen:
        click.echo(line, err=True)
    count = sum(map(len, broken.values()))
    if count or fallen:
        raise Failure(f"{count} breaches of the rules, {len(fallen)} processes ended by themselves")
    click.echo("no rule broken")
