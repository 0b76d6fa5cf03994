"""The programs of the system: each reads its settings, then builds, runs and shuts down its planes.

In the process of a program, SIGHUP is held back from the import of this package on, until `running` handles it.
"""

import sys

from hallhitch.programs.reload_signal import hold_back_reloads

if sys.argv[0] == "-m":  # only while `python -m` locates the program that it is going to run
    hold_back_reloads()
