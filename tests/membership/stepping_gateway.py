"""The real gateway with a wall clock that steps back and forth by an hour at every reading."""

from __future__ import annotations

import itertools
import time

_real_time, _offsets_s = time.time, itertools.cycle((0.0, 3_600.0, -3_600.0))
time.time = lambda: _real_time() + next(_offsets_s)

if __name__ == "__main__":
    from hallhitch.__main__ import main

    raise SystemExit(main())
