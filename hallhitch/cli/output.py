"""What commands print: tables for people, JSON for programs."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any, Final

import click

MAX_PRINTED_VIOLATIONS: Final = 3


class Failure(Exception):  # noqa: N818  named for the event, as callers read it
    """A command that could not do its work; the message says why."""


def as_json(value: Any) -> None:
    """Print a value as JSON."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print aligned columns."""
    text = [[("-" if cell is None else str(cell)) for cell in row] for row in rows]
    widths = [max(len(cell) for cell in column) for column in zip(head, *text, strict=True)]
    for row in ([name.upper() for name in head], *text):
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def fail_on_violations(violations: Sequence[object], printed: int = MAX_PRINTED_VIOLATIONS) -> None:
    """Print the first violations of the rules on standard error.

    Raises:
        Failure: there are any.
    """
    for violation in violations[:printed]:
        click.echo(str(violation), err=True)
    if violations:
        raise Failure(f"{len(violations)} breaches of the rules")
