"""The settings file of membership, and a gateway without one."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import unittest

from tests.stand_ins import ROOT, assert_refused

VALID = 'listen = "127.0.0.1:1"\ncluster = "c"\n'
GATEWAY_CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:1",
    "counter": "127.0.0.1:1",
    "seed": "1",
    "settings": {
        "balancers": 1,
        "index": 0,
        "classes": [{"name": "a", "aim": 1, "deadline": 2, "repeat": "pure"}],
        "family-info": {"shared-counter": True},
    },
}


class SettingsTest(unittest.TestCase):
    """Invalid files are rejected with a message of one line; without a file, membership is not imported."""

    def test_rejected_file_names_the_field(self) -> None:
        directory = ROOT / "found"
        directory.mkdir(exist_ok=True)
        path = directory / f"peers-{os.getpid()}.toml"
        for text, field in (
            ('cluster = "c"\n', "listen"),
            ('listen = "x"\ncluster = "c"\n', "listen"),
            ('listen = "localhost:1"\ncluster = "c"\n', "listen"),
            ('listen = "10.0.0.1:1"\ncluster = "c"\n', "listen"),
            ('listen = "127.0.0.1:1"\ncluster = "a b"\n', "cluster"),
            (VALID + 'seeds = ["10.0.0.1:1"]\n', "seeds[0]"),
            (VALID + 'networks = ["x"]\n', "networks[0]"),
            (VALID + "[periods]\nprobe_s = 0.1\n", "periods.answer_s"),
            (VALID + "more = 1\n", "more"),
        ):
            path.write_text(text)
            try:
                with self.subTest(text=text):
                    assert_refused(self, json.dumps(GATEWAY_CONFIG), field, "--peers", str(path))
            finally:
                path.unlink()

    def test_gateway_without_peers_file_does_not_import_membership(self) -> None:
        """The platform forbids traffic between instances, so the platform's gateway must not load membership."""
        completed = subprocess.run(
            [sys.executable, "-c", "import sys, hallhitch.gateway\nprint(*sys.modules)"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertNotIn("hallhitch.membership", completed.stdout)
