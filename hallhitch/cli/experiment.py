"""`hallhitch experiment`: try scenarios, run and compare settings in virtual time, and report."""

from __future__ import annotations

import os
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from hallhitch.cli.output import Failure, as_json, fail_on_violations, table
from hallhitch.settings_file import SettingsError

if TYPE_CHECKING:
    from hallhitch.lab.result_store import OutcomesBySetting

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

    from hallhitch.lab.cases import load_scenario
    from hallhitch.lab.checker import check
    from hallhitch.lab.figures import figures
    from hallhitch.lab.scenario import replaced
    from hallhitch.lab.virtual_run import play

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    base = load_scenario(scenario)
    try:
        values = {path: msgspec.json.decode(value) for path, _, value in (s.partition("=") for s in settings)}
        chosen = replaced(base, values)
    except ValueError as error:
        raise SettingsError(f"--set: {error}") from error
    result = play(chosen, seed)
    events = result.journal.events
    found, violations = figures(events, result.traffic, result.counter_calls), check(events)
    if log is not None:
        log.write_bytes(b"".join(result.journal.encoded_lines()))
    if plain:
        as_json({"figures": msgspec.to_builtins(found), "broken": [str(violation) for violation in violations]})
    else:
        table(("figure", "value"), [(name, f"{getattr(found, name):.4g}") for name in SHOWN])
        for name, value in (found.by_class | found.by_plan).items():
            click.echo(f"service of {name}: {value:.4f}")
    fail_on_violations(violations, printed=0 if plain else 5)


@experiment.command()
@click.argument("file", type=click.Path())
@click.option("--workers", type=click.IntRange(1, 256), default=max(1, (os.cpu_count() or 2) - 1), show_default=True)
@DATABASE
def run(file: str, workers: int, db: Path) -> None:
    """Run the experiment of FILE; what is there already is not run again, so it may be interrupted."""
    from hallhitch.lab import experiments
    from hallhitch.lab.result_store import ResultStore

    definition, scenarios = experiments.load_experiment(file)
    store = ResultStore(db)
    jobs = experiments.make_jobs(definition, scenarios)
    missing, runs_with_violations = len(store.missing(jobs)), 0
    with click.progressbar(length=len(jobs), label=definition.name, file=sys.stderr) as bar:
        bar.update(len(jobs) - missing)

        def on_outcome(job: Any, outcome: Any) -> None:
            nonlocal runs_with_violations
            runs_with_violations += bool(outcome.broken)
            bar.update(1)

        experiments.run_missing(store, jobs, workers, on_outcome)
    click.echo(f"{missing} runs made, {len(jobs) - missing} were there")
    _show(store.outcomes(definition.name))
    store.close()
    if runs_with_violations:
        raise Failure(f"{runs_with_violations} runs broke a rule")


@experiment.command("list")
@DATABASE
def list_(db: Path) -> None:
    """The experiments that have results."""
    from hallhitch.lab.result_store import ResultStore

    rows = []
    for summary in ResultStore(db).experiments():
        last = datetime.fromtimestamp(summary.last_at, UTC).isoformat(timespec="seconds")
        rows.append((summary.name, summary.runs, summary.runs_with_violations, last))
    table(("experiment", "runs", "broken", "last"), rows)


def _load_outcomes(db: Path, name: str) -> OutcomesBySetting:
    from hallhitch.lab.result_store import ResultStore

    outcomes = ResultStore(db).outcomes(name)
    if not outcomes:
        raise Failure(f"{db}: has no results of '{name}'")
    return outcomes


def _show(outcomes_by_setting: OutcomesBySetting) -> None:
    from hallhitch.lab.statistics import bootstrap_interval

    rows = []
    for (scenario, setting), outcomes in outcomes_by_setting.items():
        figures = [outcome.figures for outcome in outcomes.values()]
        service = bootstrap_interval([each.service for each in figures])
        means = [bootstrap_interval([float(getattr(each, name)) for each in figures]).mean for name in SHOWN[1:]]
        rows.append((scenario, setting, len(outcomes), str(service), *(f"{mean:.4g}" for mean in means)))
    table(("scenario", "setting", "seeds", "service", *SHOWN[1:]), rows)


@experiment.command()
@click.argument("name")
@DATABASE
def show(name: str, db: Path) -> None:
    """The figures of an experiment."""
    _show(_load_outcomes(db, name))


@experiment.command()
@click.argument("name")
@click.argument("first")
@click.argument("second")
@click.option("--figure", default="service", show_default=True)
@click.option("--less", is_flag=True, help="Less of the figure is better.")
@DATABASE
@JSON
def compare(name: str, first: str, second: str, figure: str, less: bool, db: Path, plain: bool) -> None:  # noqa: PLR0913
    """Compare two settings of an experiment by paired seeds: the SECOND less the FIRST."""
    from hallhitch.lab import statistics

    outcomes, rows = _load_outcomes(db, name), []
    for scenario in dict.fromkeys(scenario for scenario, _ in outcomes):
        try:
            comparison = statistics.compare(outcomes[scenario, first], outcomes[scenario, second], figure, not less)
        except (KeyError, ValueError, AttributeError) as error:
            raise Failure(f"{scenario}: {error}") from error
        difference = comparison.difference
        rows.append((scenario, difference.count, str(difference), comparison.verdict))
    if plain:
        return as_json([dict(zip(("scenario", "pairs", "difference", "verdict"), row, strict=True)) for row in rows])
    table(("scenario", "pairs", f"{figure}, difference", "verdict"), rows)
    return None


@experiment.command()
@click.argument("name")
@click.option("--to", type=click.Path(path_type=Path), help="The file; found/NAME.html otherwise.")
@DATABASE
def report(name: str, to: Path | None, db: Path) -> None:
    """Write an experiment as one HTML file with charts."""
    from hallhitch.lab.report import page

    outcomes = _load_outcomes(db, name)
    path = to or Path("found") / f"{name.replace(' ', '-')}.html"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(page(name, outcomes))
    click.echo(str(path))
