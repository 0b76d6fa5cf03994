"""The command `hallhitch members` with real gateway processes."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys

from hallhitch.lab.fleet.relay import gateway_host
from tests.membership.fleet_case import FleetCase, make_fleet
from tests.stand_ins import ROOT


class MembersCommandTest(FleetCase):
    """Output of the command."""

    def command(self, *arguments: str) -> subprocess.Popen[str]:
        return subprocess.Popen(
            [sys.executable, "-m", "hallhitch", *arguments],
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )

    async def test_command_shows_the_view_and_reports_a_gateway_without_membership(self) -> None:
        async with make_fleet(3) as fleet:
            await fleet.wait_until_agreed()
            address = f"{gateway_host(1)}:{fleet.ops_port}"
            output, _ = await asyncio.to_thread(self.command("members", address).communicate)
            self.assertIn("3 alive", output)
            self.assertEqual(
                [line.split()[:2] for line in output.splitlines()[2:]],
                [["n0", "alive"], ["n1", "alive"], ["n2", "alive"]],
            )
            output, _ = await asyncio.to_thread(self.command("members", address, "--json").communicate)
            self.assertEqual(len(json.loads(output)["members"]), 3)
            watched = self.command("members", address, "--watch", "--every", "0.1")
            assert watched.stdout is not None
            await asyncio.to_thread(watched.stdout.readline)
            await fleet.end_process(2, is_graceful=True, restart_after_s=None)
            while "1 left" not in (line := await asyncio.to_thread(watched.stdout.readline)):
                self.assertTrue(line, "the command ended before it showed the departure")
            watched.kill()
            watched.communicate()
        async with make_fleet(1, has_membership=False) as fleet:
            completed = self.command("members", f"{gateway_host(0)}:{fleet.ops_port}")
            _, error_output = await asyncio.to_thread(completed.communicate)
            self.assertEqual((completed.returncode, len(error_output.splitlines())), (1, 1))
            self.assertIn("without --peers", error_output)
