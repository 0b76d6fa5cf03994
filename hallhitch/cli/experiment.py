"""`hallhitch experiment`: runs scenarios in virtual time, compares settings and writes reports."""

from __future__ import annotations

import os
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from hallhitch.cli.output import CommandError, fail_on_violations, print_json, print_table
from hallhitch.settings_file import SettingsError

if TYPE_CHECKING:
    from hallhitch.lab.result_store import OutcomesBySetting

DATABASE_OPTION = click.option(
    "--db",
    type=click.Path(path_type=Path),
    default=Path("found/experiments.db"),
    show_default=True,
    help="SQLite database of the results.",
)
JSON_OPTION = click.option("--json", "json_output", is_flag=True, help="Print JSON.")
PRINTED_FIGURES = (
    "service",
    "in_time",
    "late",
    "refused",
    "failed",
    "beyond_units",
    "beyond_cost",
    "attempts",
    "p50",
    "p99",
)


@click.group()
def experiment() -> None:
    """Run experiments with the gateway's decision code on a model of the fleet, in virtual time."""


@experiment.command("try")
@click.argument("scenario", type=click.Path())
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--set",
    "settings",
    multiple=True,
    metavar="PATH=VALUE",
    help="Replace a field of the scenario, for example world.nodes=12.",
)
@click.option("--log", type=click.Path(path_type=Path), help="File to write the event log to.")
@JSON_OPTION
def try_(scenario: str, seed: int, settings: tuple[str, ...], log: Path | None, json_output: bool) -> None:
    """Run SCENARIO (a file, or FILE:CASE) once and check the rules. Exit code 1 if a rule was violated."""
    import logging

    import structlog

    from hallhitch.lab.cases import load_scenario
    from hallhitch.lab.checker import check
    from hallhitch.lab.figures import compute_figures
    from hallhitch.lab.scenario import replaced
    from hallhitch.lab.virtual_run import play

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    base = load_scenario(scenario)
    try:
        values = {path: msgspec.json.decode(value) for path, _, value in (s.partition("=") for s in settings)}
        modified = replaced(base, values)
    except ValueError as error:
        raise SettingsError(f"--set: {error}") from error
    result = play(modified, seed)
    events = result.journal.events
    run_figures, violations = compute_figures(events, result.traffic, result.counter_calls), check(events)
    if log is not None:
        log.write_bytes(b"".join(result.journal.encoded_lines()))
    if json_output:
        print_json(
            {"figures": msgspec.to_builtins(run_figures), "broken": [str(violation) for violation in violations]}
        )
    else:
        print_table(("figure", "value"), [(name, f"{getattr(run_figures, name):.4g}") for name in PRINTED_FIGURES])
        for name, value in (run_figures.by_class | run_figures.by_plan).items():
            click.echo(f"service of {name}: {value:.4f}")
    fail_on_violations(violations, printed=0 if json_output else 5)


@experiment.command()
@click.argument("file", type=click.Path())
@click.option("--workers", type=click.IntRange(1, 256), default=max(1, (os.cpu_count() or 2) - 1), show_default=True)
@DATABASE_OPTION
def run(file: str, workers: int, db: Path) -> None:
    """Run the experiment that FILE defines.

    Runs that have a stored result are skipped, so that an interrupted experiment can be continued.
    """
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
    click.echo(f"{missing} runs executed, {len(jobs) - missing} already stored")
    _print_figures(store.outcomes(definition.name))
    store.close()
    if runs_with_violations:
        raise CommandError(f"{runs_with_violations} runs violated a rule")


@experiment.command("list")
@DATABASE_OPTION
def list_(db: Path) -> None:
    """List the experiments that have stored results."""
    from hallhitch.lab.result_store import ResultStore

    rows = []
    for summary in ResultStore(db).experiments():
        last = datetime.fromtimestamp(summary.last_at, UTC).isoformat(timespec="seconds")
        rows.append((summary.name, summary.runs, summary.runs_with_violations, last))
    print_table(("experiment", "runs", "with violations", "last run"), rows)


def _load_outcomes(db: Path, name: str) -> OutcomesBySetting:
    from hallhitch.lab.result_store import ResultStore

    outcomes = ResultStore(db).outcomes(name)
    if not outcomes:
        raise CommandError(f"{db}: no results of experiment '{name}'")
    return outcomes


def _print_figures(outcomes_by_setting: OutcomesBySetting) -> None:
    from hallhitch.lab.statistics import bootstrap_interval

    rows = []
    for (scenario, setting), outcomes in outcomes_by_setting.items():
        figures = [outcome.figures for outcome in outcomes.values()]
        service = bootstrap_interval([run_figures.service for run_figures in figures])
        means = [
            bootstrap_interval([float(getattr(run_figures, name)) for run_figures in figures]).mean
            for name in PRINTED_FIGURES[1:]
        ]
        rows.append((scenario, setting, len(outcomes), str(service), *(f"{mean:.4g}" for mean in means)))
    print_table(("scenario", "setting", "seeds", "service", *PRINTED_FIGURES[1:]), rows)


@experiment.command()
@click.argument("name")
@DATABASE_OPTION
def show(name: str, db: Path) -> None:
    """Show the mean figures of an experiment, by scenario and setting."""
    _print_figures(_load_outcomes(db, name))


@experiment.command()
@click.argument("name")
@click.argument("first")
@click.argument("second")
@click.option("--figure", default="service", show_default=True)
@click.option("--less", is_flag=True, help="A lower value of the figure is better.")
@DATABASE_OPTION
@JSON_OPTION
def compare(name: str, first: str, second: str, figure: str, less: bool, db: Path, json_output: bool) -> None:  # noqa: PLR0913
    """Compare two settings of an experiment by paired seeds: the value of SECOND minus that of FIRST."""
    from hallhitch.lab import statistics

    outcomes, rows = _load_outcomes(db, name), []
    for scenario in dict.fromkeys(scenario for scenario, _ in outcomes):
        try:
            comparison = statistics.compare(outcomes[scenario, first], outcomes[scenario, second], figure, not less)
        except (KeyError, ValueError, AttributeError) as error:
            raise CommandError(f"{scenario}: {error}") from error
        difference = comparison.difference
        rows.append((scenario, difference.count, str(difference), comparison.verdict))
    if json_output:
        return print_json([dict(zip(("scenario", "pairs", "difference", "verdict"), row, strict=True)) for row in rows])
    print_table(("scenario", "pairs", f"{figure}, difference", "verdict"), rows)
    return None


@experiment.command()
@click.argument("name")
@click.option("--to", type=click.Path(path_type=Path), help="File to write; found/NAME.html by default.")
@DATABASE_OPTION
def report(name: str, to: Path | None, db: Path) -> None:
    """Write the results of an experiment as one HTML page with charts."""
    from hallhitch.lab.report import render_page

    outcomes = _load_outcomes(db, name)
    path = to or Path("found") / f"{name.replace(' ', '-')}.html"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(render_page(name, outcomes))
    click.echo(str(path))
