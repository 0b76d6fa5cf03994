"""Output of the commands: tables for people, JSON for programs, and the error of a failed command."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any, Final

import click

MAX_PRINTED_VIOLATIONS: Final = 3


class CommandError(Exception):
    """A command failed; the message says why, and the exit code is 1."""


def print_json(value: Any) -> None:
    """Print a value as indented JSON, with sorted keys."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def print_table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows in aligned columns under an uppercase header."""
    text = [[("-" if cell is None else str(cell)) for cell in row] for row in rows]
    widths = [max(len(cell) for cell in column) for column in zip(head, *text, strict=True)]
    for row in ([name.upper() for name in head], *text):
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def fail_on_violations(violations: Sequence[object], printed: int = MAX_PRINTED_VIOLATIONS) -> None:
    """Print the first rule violations on standard error.

    Raises:
        CommandError: There is at least one violation.
    """
    for violation in violations[:printed]:
        click.echo(str(violation), err=True)
    if violations:
        raise CommandError(f"{len(violations)} rule violations")
