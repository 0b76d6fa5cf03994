"""Statistics of how long idle connections stay usable."""

from __future__ import annotations

import math
import unittest

from hallhitch.net.upstream.idle_times import HALF_LIFE_MS, IdleTimeStatistics


class IdleTimes(unittest.TestCase):
    """The longest idle time after which a connection is still used."""

    def test_idle_times_at_which_connections_break_are_avoided_for_a_while(self) -> None:
        """Guards against requests written to connections that servers have dropped without notice."""
        now = 0.0
        statistics = IdleTimeStatistics(lambda: now)
        for n in range(200):
            statistics.observe(None, n % 10 == 0)
            statistics.observe(50.0, n % 10 == 0)
            statistics.observe(300.0, n % 2 == 0)
        self.assertEqual(statistics.max_idle_ms(), 256.0)
        now = 10 * HALF_LIFE_MS
        self.assertEqual(statistics.max_idle_ms(), math.inf, "longer idle times are tried again after a while")

    def test_two_failures_in_a_row_are_enough_unless_a_longer_idle_time_works(self) -> None:
        """Guards against a dozen requests lost before the drop is learned, and against avoiding usable connections."""
        statistics = IdleTimeStatistics(lambda: 0.0)
        for _ in range(50):
            statistics.observe(300.0, False)
        statistics.observe(300.0, True)
        self.assertEqual(statistics.max_idle_ms(), math.inf, "one failure is not enough")
        statistics.observe(300.0, True)
        self.assertEqual(statistics.max_idle_ms(), 256.0)
        for _ in range(5):
            statistics.observe(900.0, False)
        statistics.observe(900.0, True)  # makes the longest idle time be computed again
        self.assertEqual(statistics.max_idle_ms(), math.inf)

    def test_failures_as_frequent_on_new_connections_change_nothing(self) -> None:
        """Guards against a new connection for each request although new ones break as often as idle ones."""
        statistics = IdleTimeStatistics(lambda: 0.0)
        for n in range(200):
            for idle in (None, 5.0, 300.0):
                statistics.observe(idle, n % 3 == 0)
        self.assertEqual(statistics.max_idle_ms(), math.inf)
