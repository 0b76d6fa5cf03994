"""How much memory a process holds, as the kernel tells."""

from __future__ import annotations

from pathlib import Path


def resident(pid: int | str = "self", field: str = "VmRSS") -> int:
    """KiB of a process: VmRSS now, VmHWM at most."""
    return int(Path(f"/proc/{pid}/status").read_text().partition(f"{field}:")[2].split()[0])
