"""`hallhitch members` against real gateway processes."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys

from hallhitch.lab.fleet.relay import gateway_host
from tests.membership.fleet_case import FleetCase, make_fleet
from tests.stand_ins import ROOT


class MembersCommandTest(FleetCase):
    """What the command prints."""

    def command(self, *words: str) -> subprocess.Popen[str]:
        return subprocess.Popen(
            [sys.executable, "-m", "hallhitch", *words],
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )

    async def test_command_shows_the_view_and_reports_a_gateway_without_membership(self) -> None:
        async with make_fleet(3) as fleet:
            await fleet.wait_until_agreed()
            address = f"{gateway_host(1)}:{fleet.ops_port}"
            out, _ = await asyncio.to_thread(self.command("members", address).communicate)
            self.assertIn("3 alive", out)
            self.assertEqual(
                [line.split()[:2] for line in out.splitlines()[2:]], [["n0", "alive"], ["n1", "alive"], ["n2", "alive"]]
            )
            out, _ = await asyncio.to_thread(self.command("members", address, "--json").communicate)
            self.assertEqual(len(json.loads(out)["members"]), 3)
            watched = self.command("members", address, "--watch", "--every", "0.1")
            assert watched.stdout is not None
            await asyncio.to_thread(watched.stdout.readline)
            await fleet.end_process(2, is_graceful=True, restart_after_s=None)
            while "1 left" not in (line := await asyncio.to_thread(watched.stdout.readline)):
                self.assertTrue(line, "ended before it saw the change")
            watched.kill()
            watched.communicate()
        async with make_fleet(1, has_membership=False) as fleet:
            done = self.command("members", f"{gateway_host(0)}:{fleet.ops_port}")
            _, said = await asyncio.to_thread(done.communicate)
            self.assertEqual((done.returncode, len(said.splitlines())), (1, 1))
            self.assertIn("without --peers", said)
