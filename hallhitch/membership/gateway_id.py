"""Identity that successive processes of one gateway share: a random number in their common directory."""

from __future__ import annotations

import contextlib
import os
import secrets
from pathlib import Path
from typing import Final

GATEWAY_ID_FILE: Final = "hallhitch.kin"
GATEWAY_ID_BITS: Final = 63  # a RandomId of the wire


def read_gateway_id(directory: str | None) -> int | None:
    """Return the directory's id, which its first process draws; None without a usable directory."""
    if directory is None:
        return None
    path = Path(directory) / GATEWAY_ID_FILE
    temporary = path.with_suffix(f".{os.getpid()}")
    try:
        with contextlib.suppress(FileExistsError):
            temporary.write_text(f"{secrets.randbits(GATEWAY_ID_BITS):x}")
            os.link(temporary, path)  # atomic; fails if another process was first
        gateway_id = int(path.read_text(), 16)
        return gateway_id if 0 <= gateway_id < 1 << GATEWAY_ID_BITS else None
    except (OSError, ValueError):
        return None
    finally:
        with contextlib.suppress(OSError):
            temporary.unlink()
