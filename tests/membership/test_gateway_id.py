"""The id that successive processes of one gateway share through a file in their common directory."""

from __future__ import annotations

from pathlib import Path

import pytest

from hallhitch.membership.gateway_id import GATEWAY_ID_FILE, read_gateway_id


def test_processes_with_one_directory_share_an_id(tmp_path: Path) -> None:
    first = read_gateway_id(str(tmp_path))
    assert first is not None
    assert read_gateway_id(str(tmp_path)) == first
    assert [path.name for path in tmp_path.iterdir()] == ["hallhitch.kin"]


def test_stored_id_is_hexadecimal(tmp_path: Path) -> None:
    (tmp_path / "hallhitch.kin").write_text("ff")
    assert read_gateway_id(str(tmp_path)) == 255


@pytest.mark.parametrize("text", ["", "x", "-1", f"{1 << 63:x}"])
def test_unusable_file_gives_no_id(tmp_path: Path, text: str) -> None:
    (tmp_path / GATEWAY_ID_FILE).write_text(text)
    assert read_gateway_id(str(tmp_path)) is None


def test_no_usable_directory_gives_no_id(tmp_path: Path) -> None:
    assert read_gateway_id(None) is None
    assert read_gateway_id(str(tmp_path / "missing")) is None
