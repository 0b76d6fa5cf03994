"""The example in the README."""

from __future__ import annotations

from pathlib import Path

import pytest


def test_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    exec(compile(code, "README.md", "exec"), {})
    assert "Send(id=1, server='10.0.0.1:80'" in capsys.readouterr().out
