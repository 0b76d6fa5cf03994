"""Holds SIGHUP back while a program starts.

The default action of SIGHUP ends a process. A program that has just been started does not handle it yet, and importing
its modules takes longer than all else in its start.
"""

from __future__ import annotations

import signal

RELOAD_SIGNALS = frozenset((signal.SIGHUP,))


def hold_back_reloads() -> None:
    """Keep SIGHUP pending from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD_SIGNALS)


def deliver_reloads() -> None:
    """Deliver SIGHUP from now on, and now if it is pending; its handler has to be installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, RELOAD_SIGNALS)
