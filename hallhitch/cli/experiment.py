"""`hallhitch experiment`: try scenarios, run and compare settings in virtual time, and report."""

from __future__ import annotations

import os
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec

from hallhitch.cli.output import Failure, as_json, table
from hallhitch.settings_file import SettingsError

DATABASE = click.option(
    "--db",
    type=click.Path(path_type=Path),
    default=Path("found/experiments.db"),
    show_default=True,
    help="The file that results are kept in.",
)
JSON = click.option("--json", "plain", is_flag=True, help="Print JSON.")
SHOWN = ("service", "in_time", "late", "refused", "failed", "beyond_units", "beyond_cost", "attempts", "p50", "p99")


@click.group()
def experiment() -> None:
    """Experiments on a model of the fleet, in virtual time, with the gateway's own decisions."""


@experiment.command("try")
@click.argument("scenario", type=click.Path())
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--set", "settings", multiple=True, metavar="PATH=VALUE", help="Replace a field, as world.nodes=12.")
@click.option("--log", type=click.Path(path_type=Path), help="Write the event log there.")
@JSON
def try_(scenario: str, seed: int, settings: tuple[str, ...], log: Path | None, plain: bool) -> None:
    """Play SCENARIO (a file, or FILE:CASE) once, and check the rules. Exit code 1 if one was broken."""
    import logging

    import structlog

    from hallhitch.lab.cases import named
    from hallhitch.lab.checker import check
    from hallhitch.lab.figures import figures
    from hallhitch.lab.scenario import replaced
    from hallhitch.lab.virtual_run import play

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    told = named(scenario)
    try:
        values = {path: msgspec.json.decode(value) for path, _, value in (s.partition("=") for s in settings)}
        told = replaced(told, values)
    except ValueError as error:
        raise SettingsError(f"--set: {error}") from error
    result = play(told, seed)
    found, broken = figures(result.journal.events, result.traffic, result.counter_calls), check(result.journal.events)
    if log is not None:
        log.write_bytes(b"".join(result.journal.lines()))
    if plain:
        as_json({"figures": msgspec.to_builtins(found), "broken": [str(b) for b in broken]})
    else:
        table(("figure", "value"), [(name, f"{getattr(found, name):.4g}") for name in SHOWN])
        for name, value in (found.by_class | found.by_plan).items():
            click.echo(f"service of {name}: {value:.4f}")
        for rule in broken[:5]:
            click.echo(str(rule), err=True)
    if broken:
        raise Failure(f"{len(broken)} breaches of the rules")


@experiment.command()
@click.argument("file", type=click.Path())
@click.option("--workers", type=click.IntRange(1, 256), default=max(1, (os.cpu_count() or 2) - 1), show_default=True)
@DATABASE
def run(file: str, workers: int, db: Path) -> None:
    """Run the experiment of FILE; what is there already is not run again, so it may be interrupted."""
    from hallhitch.lab import experiments

    told, scenarios = experiments.load(file)
    results = experiments.Results(db)
    jobs = experiments.jobs_of(told, scenarios)
    missing, broken = len(results.missing(jobs)), 0
    with click.progressbar(length=len(jobs), label=told.name, file=sys.stderr) as bar:
        bar.update(len(jobs) - missing)

        def done(job: Any, outcome: Any) -> None:
            nonlocal broken
            broken += bool(outcome.broken)
            bar.update(1)

        experiments.run(results, jobs, workers, done)
    click.echo(f"{missing} runs made, {len(jobs) - missing} were there")
    _show(results.of(told.name))
    results.close()
    if broken:
        raise Failure(f"{broken} runs broke a rule")


@experiment.command("list")
@DATABASE
def list_(db: Path) -> None:
    """The experiments that have results."""
    from hallhitch.lab import experiments

    table(
        ("experiment", "runs", "broken", "last"),
        [
            (name, runs, broken, datetime.fromtimestamp(at, UTC).isoformat(timespec="seconds"))
            for name, runs, broken, at in experiments.Results(db).experiments()
        ],
    )


def _results(db: Path, name: str) -> Any:
    from hallhitch.lab import experiments

    found = experiments.Results(db).of(name)
    if not found:
        raise Failure(f"{db}: has no results of '{name}'")
    return found


def _show(found: Any) -> None:
    from hallhitch.lab.experiments import interval

    rows = []
    for (scenario, setting), outcomes in found.items():
        mean = interval([o.figures.service for o in outcomes.values()])
        rest = [interval([float(getattr(o.figures, name)) for o in outcomes.values()]).mean for name in SHOWN[1:]]
        rows.append((scenario, setting, len(outcomes), str(mean), *(f"{value:.4g}" for value in rest)))
    table(("scenario", "setting", "seeds", "service", *SHOWN[1:]), rows)


@experiment.command()
@click.argument("name")
@DATABASE
def show(name: str, db: Path) -> None:
    """The figures of an experiment."""
    _show(_results(db, name))


@experiment.command()
@click.argument("name")
@click.argument("first")
@click.argument("second")
@click.option("--figure", default="service", show_default=True)
@click.option("--less", is_flag=True, help="Less of the figure is better.")
@DATABASE
@JSON
def compare(name: str, first: str, second: str, figure: str, less: bool, db: Path, plain: bool) -> None:
    """Compare two settings of an experiment by paired seeds: the SECOND less the FIRST."""
    from hallhitch.lab import experiments

    found, rows = _results(db, name), []
    for scenario in dict.fromkeys(scenario for scenario, _ in found):
        try:
            told = experiments.compare(found[scenario, first], found[scenario, second], figure, not less)
        except (KeyError, ValueError, AttributeError) as error:
            raise Failure(f"{scenario}: {error}") from error
        rows.append((scenario, told.difference.count, str(told.difference), told.verdict))
    if plain:
        return as_json([dict(zip(("scenario", "pairs", "difference", "verdict"), row, strict=True)) for row in rows])
    table(("scenario", "pairs", f"{figure}, difference", "verdict"), rows)


@experiment.command()
@click.argument("name")
@click.option("--to", type=click.Path(path_type=Path), help="The file; found/NAME.html otherwise.")
@DATABASE
def report(name: str, to: Path | None, db: Path) -> None:
    """Write an experiment as one HTML file with charts."""
    from hallhitch.lab.report import page

    found = _results(db, name)
    path = to or Path("found") / f"{name.replace(' ', '-')}.html"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(page(name, found))
    click.echo(str(path))
