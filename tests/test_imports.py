"""What the platform's gateway loads."""

from __future__ import annotations

import subprocess
import sys
import unittest

from tests.stand_ins import ROOT

HOSTED = (
    "hallhitch.cli",
    "hallhitch.administration",
    "hallhitch.catalog",
    "hallhitch.catalog_sync",
    "hallhitch.tls",
    "hallhitch.resp",
    "hallhitch.settings_file",
    "msgspec",
    "click",
    "litestar",
    "uvicorn",
    "cryptography",
    "sqlite3",
    "argon2",
    "immutables",
    "xxhash",
    "httpx",
)


class Platform(unittest.TestCase):
    """`python -m hallhitch` without a command."""

    def test_the_gateway_imports_nothing_of_the_hosted_parts(self) -> None:
        """Guards against memory, start-up time and packages that the platform does not give."""
        code = (
            "import sys, hallhitch.__main__ as m\n"
            "sys.argv = ['hallhitch']\n"
            "code = m.main()\n"  # without EDGE_CONFIG: everything is loaded, then it ends with 2
            "print(code, *sorted(sys.modules))"
        )
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, env={})
        code_, *modules = done.stdout.split()
        self.assertEqual(code_, "2", done.stderr)
        self.assertIn("hallhitch.net.ingress", modules)
        found = [m for m in modules if any(m == name or m.startswith(name + ".") for name in HOSTED)]
        self.assertEqual(found, [])
