"""What commands print: tables for people, JSON for programs."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

import click


class Failure(Exception):
    """A command did not do what it was asked; the text says why."""


def as_json(value: Any) -> None:
    """Print a value as JSON."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print aligned columns."""
    text = [[("-" if cell is None else str(cell)) for cell in row] for row in rows]
    widths = [max(len(cell) for cell in column) for column in zip(head, *text, strict=True)]
    for row in ([name.upper() for name in head], *text):
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())
