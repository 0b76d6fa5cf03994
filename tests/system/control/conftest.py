"""Fixtures of the control plane's tests."""

from __future__ import annotations

import pytest

from hallhitch.node.logs import ComponentLogger, format_fields


@pytest.fixture
def logged_lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Collect logged warnings and errors; each line is the event and its fields."""
    lines: list[str] = []
    for level in ("warning", "error"):
        monkeypatch.setattr(
            ComponentLogger, level, lambda _, event, **fields: lines.append(event + format_fields(fields))
        )
    return lines
