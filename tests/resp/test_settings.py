"""The settings file of the limit server."""

from __future__ import annotations

import json
import socket
import tempfile
import unittest
from pathlib import Path

from hallhitch.resp.settings import read_settings
from tests.stand_ins import ROOT, Program, assert_refused


class SettingsTest(unittest.TestCase):
    """Which files are accepted, and that the program names the field of a rejected one."""

    def test_example_file_is_valid(self) -> None:
        settings = read_settings(str(ROOT / "deploy" / "resp.toml"))
        self.assertEqual((settings.listen, settings.counter), ("127.0.0.1:6380", None))

    def test_rejected_file_names_the_field(self) -> None:
        with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as occupied:
            path = Path(folder) / "resp.toml"
            listen_occupied = f'listen = "127.0.0.1:{occupied.getsockname()[1]}"'
            edge_config = Program(folder, "127.0.0.1:1", "127.0.0.1:2", []).config
            cases = [
                ("", "listen"),
                ('listen = "x"', "listen"),
                (listen_occupied, "listen (RESP)"),
                ("listen", "resp.toml"),
                (listen_occupied + "\ncounter = 1", "counter"),
                (listen_occupied + "\nport = 1", "port"),
                (listen_occupied + "\nconnections = 0", "connections"),
            ]
            for text, field in cases:
                path.write_text(text)
                with self.subTest(text=text):
                    assert_refused(self, json.dumps(edge_config), field, "--resp", str(path))
