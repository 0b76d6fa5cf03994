"""The real gateway on a machine whose clock is stepped back and forth by an hour all the time."""

from __future__ import annotations

import itertools
import time

_time, _steps = time.time, itertools.cycle((0.0, 3_600.0, -3_600.0))
time.time = lambda: _time() + next(_steps)

if __name__ == "__main__":
    from hallhitch.__main__ import main

    raise SystemExit(main())
