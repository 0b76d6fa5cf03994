"""The error that reports an unusable certificate or key."""

from __future__ import annotations

from pathlib import Path


class CertificateError(Exception):
    """A certificate, its private key or the certificate directory cannot be used."""

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem
