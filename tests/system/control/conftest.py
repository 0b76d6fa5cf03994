"""Fixtures of the control plane's tests."""

from __future__ import annotations

import pytest

from hallhitch.node.logs import ComponentLogger, format_fields


@pytest.fixture
def logged_lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Collect the warnings and errors that are logged, each as its event and fields."""
    lines: list[str] = []
    for level in ("warning", "error"):
        monkeypatch.setattr(
            ComponentLogger, level, lambda _, event, **fields: lines.append(event + format_fields(fields))
        )
    return lines
