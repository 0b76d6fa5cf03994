"""Fixtures for tests with certificates of a local authority."""

from __future__ import annotations

from pathlib import Path

import pytest

from hallhitch.tls.authority import create_authority, issue_certificate


@pytest.fixture
def certificate_directory(tmp_path: Path) -> Path:
    """A directory with an authority and three pairs: for one host, for a wildcard, and the default."""
    create_authority(tmp_path)
    issue_certificate(tmp_path, "acme", ["acme.example.org"])
    issue_certificate(tmp_path, "wild", ["*.example.org"])
    issue_certificate(tmp_path, "default", ["x.org"])
    return tmp_path
