"""The modules that the platform's gateway imports."""

from __future__ import annotations

import subprocess
import sys
import unittest

from tests.stand_ins import ROOT

HOSTED_MODULES = (
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


class GatewayImportsTest(unittest.TestCase):
    """`python -m hallhitch` without a subcommand."""

    def test_gateway_does_not_import_the_hosted_service(self) -> None:
        """Guards against imports that cost memory and start time, or need packages that the platform lacks."""
        code = (
            "import sys, hallhitch.__main__ as m\n"
            "sys.argv = ['hallhitch']\n"
            "code = m.main()\n"  # without EDGE_CONFIG the gateway exits with 2 after all its imports
            "print(code, *sorted(sys.modules))"
        )
        run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, env={})
        exit_code, *modules = run.stdout.split()
        self.assertEqual(exit_code, "2", run.stderr)
        self.assertIn("hallhitch.net.ingress", modules)
        found = [m for m in modules if any(m == name or m.startswith(name + ".") for name in HOSTED_MODULES)]
        self.assertEqual(found, [])
