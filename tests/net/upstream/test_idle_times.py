"""Statistics of idle connections."""

from __future__ import annotations

import math
import unittest

from hallhitch.net.upstream.idle_times import HALF_LIFE_MS, IdleTimeStatistics


class IdleTimes(unittest.TestCase):
    """The longest idle time of a connection that is still used."""

    def test_idle_times_at_which_connections_break_are_avoided_for_a_while(self) -> None:
        """Guards against requests written to connections that servers have dropped without a word."""
        now = 0.0
        statistics = IdleTimeStatistics(lambda: now)
        for n in range(200):
            statistics.observe(None, n % 10 == 0)
            statistics.observe(50.0, n % 10 == 0)
            statistics.observe(300.0, n % 2 == 0)
        self.assertEqual(statistics.max_idle_ms(), 256.0)
        now = 10 * HALF_LIFE_MS
        self.assertEqual(statistics.max_idle_ms(), math.inf, "it must be tried again some day")

    def test_two_breaks_in_a_row_are_enough_and_a_longer_time_that_works_overrides_them(self) -> None:
        """Guards against a dozen requests lost before the drop is learned, and idle times shunned that are in order."""
        statistics = IdleTimeStatistics(lambda: 0.0)
        for _ in range(50):
            statistics.observe(300.0, False)
        statistics.observe(300.0, True)
        self.assertEqual(statistics.max_idle_ms(), math.inf, "one is no rule")
        statistics.observe(300.0, True)
        self.assertEqual(statistics.max_idle_ms(), 256.0)
        for _ in range(5):
            statistics.observe(900.0, False)
        statistics.observe(900.0, True)  # has it told anew
        self.assertEqual(statistics.max_idle_ms(), math.inf)

    def test_breaks_that_are_as_frequent_on_new_connections_change_nothing(self) -> None:
        """Guards against a connection for each request where new ones break as often."""
        statistics = IdleTimeStatistics(lambda: 0.0)
        for n in range(200):
            for idle in (None, 5.0, 300.0):
                statistics.observe(idle, n % 3 == 0)
        self.assertEqual(statistics.max_idle_ms(), math.inf)
