"""Resident memory of a process, as the kernel reports it."""

from __future__ import annotations

from pathlib import Path


def resident(pid: int | str = "self", field: str = "VmRSS") -> int:
    """Return a process's resident memory in KiB: now (`VmRSS`) or at its peak (`VmHWM`)."""
    return int(Path(f"/proc/{pid}/status").read_text().partition(f"{field}:")[2].split()[0])
