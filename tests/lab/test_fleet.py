"""Fault timelines, and the state of links under faults."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from hallhitch.lab.fleet.links import Links
from hallhitch.lab.fleet.timeline import FaultTimeline, FleetFault, gateway_numbers, partition_groups
from hallhitch.lab.streams import Streams
from hallhitch.settings_file import SettingsError, read

GATEWAYS = [f"g{number}" for number in range(6)]


class TimelineFiles(unittest.TestCase):
    """Reads timelines from TOML files."""

    def read(self, text: str) -> FaultTimeline:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "timeline.toml"
            path.write_text(text)
            return read(str(path), FaultTimeline)

    def test_parties_and_times(self) -> None:
        """Resolves party names, ranges of gateways, ratios and repeated faults."""
        self.assertEqual(gateway_numbers(("g1", "g3-g4", "nodes"), 6), [1, 3, 4])
        self.assertEqual(gateway_numbers(("gateways",), 3), [0, 1, 2])
        self.assertEqual(gateway_numbers(("g4-g9",), 6), [4, 5])
        self.assertEqual([sorted(group) for group in partition_groups((0.5, 0.5), 4)], [["g0", "g1"], ["g2", "g3"]])
        self.assertEqual(partition_groups((("g0", "node-3"), 0.5), 4)[0], {"g0", "node-3"})
        timeline = self.read(
            'seconds = 9\n[[troubles]]\nkind = "cut"\nat_s = 1\nfor_s = 0.5\nevery_s = 2\nuntil_s = 6\n'
        )
        self.assertEqual(timeline.faults[0].times(), [(1000, 1500), (3000, 3500), (5000, 5500)])

    def test_errors_name_the_field(self) -> None:
        """Rejects an invalid fault with an error that names the field."""
        for fault_lines, field in (
            ('kind = "split"\nat_s = 1\n', "parts"),
            ('kind = "kill"\nat_s = 1\n', "whom"),
            ('kind = "cut"\nat_s = 1\nwhom = ["me"]\n', "whom"),
            ('kind = "burn"\nat_s = 1\n', "kind"),
            ('kind = "cut"\nat_s = 1\nfor_s = 3\nevery_s = 2\nuntil_s = 9\n', "every_s"),
        ):
            with self.subTest(field=field), self.assertRaises(SettingsError) as raised:
                self.read("[[troubles]]\n" + fault_lines)
            self.assertIn(field, str(raised.exception))


class LinkFaults(unittest.TestCase):
    """The state of links between six gateways."""

    def setUp(self) -> None:
        self.links = Links(6, Streams(1).of("links"))

    def open_links(self) -> set[tuple[str, str]]:
        return {
            (sender, receiver)
            for sender in GATEWAYS
            for receiver in GATEWAYS
            if sender != receiver and self.links.datagram_delays(sender, receiver)
        }

    def test_cuts_affect_only_the_named_links_until_they_end(self) -> None:
        """Cuts and splits affect only the links that they name, and only until they end."""
        all_links = self.open_links()
        self.assertEqual(len(all_links), 30)
        one_way_cut = self.links.begin(FleetFault("cut", 0.0, whom=("g0",), to=("g1",), one_way=True))
        self.assertEqual(all_links - self.open_links(), {("g0", "g1")})
        two_way_cut = self.links.begin(FleetFault("cut", 0.0, whom=("g0",), to=("g1",)))
        self.assertEqual(all_links - self.open_links(), {("g0", "g1"), ("g1", "g0")})
        self.links.end(one_way_cut)
        self.links.end(two_way_cut)
        split_id = self.links.begin(FleetFault("split", 0.0, parts=(0.5, 0.5)))
        self.assertEqual(len(self.open_links()), 12)
        self.assertFalse(self.links.is_cut("g0", "node-1"))
        self.links.end(split_id)
        self.links.begin(FleetFault("cut", 0.0, whom=("g2",), to=("nodes",)))
        self.assertEqual(self.open_links(), all_links)
        self.assertTrue(self.links.is_cut("g2", "nodes"))
        self.links.end_all()
        self.assertFalse(self.links.is_cut("g2", "nodes"))

    def test_loss_and_duplication_ratios(self) -> None:
        """Datagrams are lost, duplicated and delayed at the ratios of the faults; a stall affects its own link only."""
        self.links.begin(FleetFault("drop", 0.0, share=0.3))
        self.links.begin(FleetFault("duplicate", 0.0, share=0.5))
        copy_counts = [len(self.links.datagram_delays("g0", "g1")) for _ in range(4000)]
        self.assertAlmostEqual(copy_counts.count(0) / 4000, 0.3, delta=0.03)
        self.assertAlmostEqual(copy_counts.count(2) / 4000, 0.35, delta=0.03)
        self.links.begin(FleetFault("delay", 0.0, delay_ms=(5.0, 9.0), whom=("g0",)))
        delays_ms = [ms for _ in range(100) for ms in self.links.datagram_delays("g0", "g1")]
        self.assertTrue(all(5 <= ms <= 9 for ms in delays_ms))
        self.links.begin(FleetFault("stall", 0.0, whom=("g4",)))
        self.assertEqual((self.links.is_stalled("g4", "g1"), self.links.is_stalled("g0", "g1")), (True, False))
