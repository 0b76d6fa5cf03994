"""What processes of one gateway share that follow each other by design: a number in their folder."""

from __future__ import annotations

import contextlib
import os
import secrets
from pathlib import Path

NAME = "hallhitch.kin"


def kin_of(folder: str | None) -> int | None:
    """The folder's number, drawn by the first process; None without a folder, or with one that cannot hold it."""
    if folder is None:
        return None
    path = Path(folder) / NAME
    beside = path.with_suffix(f".{os.getpid()}")
    try:
        with contextlib.suppress(FileExistsError):
            beside.write_text(f"{secrets.randbits(63):x}")
            os.link(beside, path)  # whole or not at all, and the first one's
        found = int(path.read_text(), 16)
        return found if 0 <= found < 1 << 63 else None
    except (OSError, ValueError):
        return None
    finally:
        with contextlib.suppress(OSError):
            beside.unlink()
