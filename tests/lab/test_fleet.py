"""Timelines of faults between gateways, and the state of links under them."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from hallhitch.lab.fleet.links import Links
from hallhitch.lab.fleet.timeline import FaultTimeline, FleetFault, gateway_numbers, partition_groups
from hallhitch.lab.streams import Streams
from hallhitch.settings_file import SettingsError, read

ALL = [f"g{n}" for n in range(6)]


class TimelineFiles(unittest.TestCase):
    """The files."""

    def read(self, text: str) -> FaultTimeline:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "line.toml"
            path.write_text(text)
            return read(str(path), FaultTimeline)

    def test_parties_and_times(self) -> None:
        """Names and ranges of parties, ratios and repetitions are resolved."""
        self.assertEqual(gateway_numbers(("g1", "g3-g4", "nodes"), 6), [1, 3, 4])
        self.assertEqual(gateway_numbers(("gateways",), 3), [0, 1, 2])
        self.assertEqual(gateway_numbers(("g4-g9",), 6), [4, 5])
        self.assertEqual([sorted(part) for part in partition_groups((0.5, 0.5), 4)], [["g0", "g1"], ["g2", "g3"]])
        self.assertEqual(partition_groups((("g0", "node-3"), 0.5), 4)[0], {"g0", "node-3"})
        line = self.read('seconds = 9\n[[troubles]]\nkind = "cut"\nat_s = 1\nfor_s = 0.5\nevery_s = 2\nuntil_s = 6\n')
        self.assertEqual(line.faults[0].times(), [(1000, 1500), (3000, 3500), (5000, 5500)])

    def test_errors_name_the_field(self) -> None:
        """A fault that cannot happen is an error that names the field."""
        for body, field in (
            ('kind = "split"\nat_s = 1\n', "parts"),
            ('kind = "kill"\nat_s = 1\n', "whom"),
            ('kind = "cut"\nat_s = 1\nwhom = ["me"]\n', "whom"),
            ('kind = "burn"\nat_s = 1\n', "kind"),
            ('kind = "cut"\nat_s = 1\nfor_s = 3\nevery_s = 2\nuntil_s = 9\n', "every_s"),
        ):
            with self.subTest(field=field), self.assertRaises(SettingsError) as caught:
                self.read("[[troubles]]\n" + body)
            self.assertIn(field, str(caught.exception))


class LinkFaults(unittest.TestCase):
    """The state of links."""

    def setUp(self) -> None:
        self.links = Links(6, Streams(1).of("links"))

    def passing(self) -> set[tuple[str, str]]:
        return {(a, b) for a in ALL for b in ALL if a != b and self.links.datagram_delays(a, b)}

    def test_cuts_affect_only_the_named_links_until_they_end(self) -> None:
        """Cuts and splits affect the links that they name, and none once they have ended."""
        everything = self.passing()
        self.assertEqual(len(everything), 30)
        one = self.links.begin(FleetFault("cut", 0.0, whom=("g0",), to=("g1",), one_way=True))
        self.assertEqual(everything - self.passing(), {("g0", "g1")})
        both = self.links.begin(FleetFault("cut", 0.0, whom=("g0",), to=("g1",)))
        self.assertEqual(everything - self.passing(), {("g0", "g1"), ("g1", "g0")})
        self.links.end(one)
        self.links.end(both)
        half = self.links.begin(FleetFault("split", 0.0, parts=(0.5, 0.5)))
        self.assertEqual(len(self.passing()), 12)
        self.assertFalse(self.links.is_cut("g0", "node-1"))
        self.links.end(half)
        self.links.begin(FleetFault("cut", 0.0, whom=("g2",), to=("nodes",)))
        self.assertEqual(self.passing(), everything)
        self.assertTrue(self.links.is_cut("g2", "nodes"))
        self.links.end_all()
        self.assertFalse(self.links.is_cut("g2", "nodes"))

    def test_loss_and_duplication_ratios(self) -> None:
        """Over many datagrams the ratios of loss, duplication and delay are those of the faults."""
        self.links.begin(FleetFault("drop", 0.0, share=0.3))
        self.links.begin(FleetFault("duplicate", 0.0, share=0.5))
        copies = [len(self.links.datagram_delays("g0", "g1")) for _ in range(4000)]
        self.assertAlmostEqual(copies.count(0) / 4000, 0.3, delta=0.03)
        self.assertAlmostEqual(copies.count(2) / 4000, 0.35, delta=0.03)
        self.links.begin(FleetFault("delay", 0.0, delay_ms=(5.0, 9.0), whom=("g0",)))
        late = [ms for _ in range(100) for ms in self.links.datagram_delays("g0", "g1")]
        self.assertTrue(all(5 <= ms <= 9 for ms in late))
        self.links.begin(FleetFault("stall", 0.0, whom=("g4",)))
        self.assertEqual((self.links.is_stalled("g4", "g1"), self.links.is_stalled("g0", "g1")), (True, False))
