"""Faults of real gateway processes: crashes, stalls, restarts and overload."""

from __future__ import annotations

import asyncio
import signal

from hallhitch.lab.fleet.member_views import member_states
from hallhitch.lab.fleet.processes import GatewayFleet
from hallhitch.lab.fleet.relay import gateway_host
from tests.membership.fleet_case import FleetCase, all_views_hold, make_fleet
from tests.stand_ins import soon


class ProcessFaultsTest(FleetCase):
    """Gateways that crash, stall, shut down and return."""

    async def test_crash_is_detected_and_a_restart_is_another_instance(self) -> None:
        async with make_fleet(4) as fleet:
            await fleet.wait_until_agreed()
            old_instance = next(m for m in (await fleet.fetch(0))["members"] if m["name"] == "n3")["instance"]
            await fleet.end_process(3, is_graceful=False, restart_after_s=0.2)  # before the suspicion expires
            await fleet.wait_until_agreed()
            for view in (await fleet.fetch_views()).values():
                self.assertEqual(view["conflicts"], {})
                states_by_instance = {m["instance"]: m["state"] for m in view["members"] if m["name"] == "n3"}
                self.assertNotEqual(states_by_instance.pop(old_instance, "failed"), "alive")
                self.assertEqual(list(states_by_instance.values()), ["alive"])
            await fleet.end_process(3, is_graceful=False, restart_after_s=None)
            await fleet.wait_until(all_views_hold("n3", "failed"))
            await fleet.wait_until(lambda views: all(v["places"] == 3 for v in views.values()))
            self.assertEqual({name for n in range(3) for name in self.reported_failures(fleet, n)}, {"n3"})
            self.assert_no_violations(fleet)

    async def test_stalled_process_accuses_no_member_when_it_resumes(self) -> None:
        async with make_fleet(4) as fleet:
            await fleet.wait_until_agreed()
            fleet.suspend(3)
            await fleet.wait_until(all_views_hold("n3", "failed"))
            fleet.resume(3)
            await fleet.wait_until_agreed()
            self.assertEqual(self.reported_failures(fleet, 3), [])
            metrics = await fleet.fetch(3, "/api/telemetry")
            self.assertIn("svc_members_stalls 1\n", metrics)
            self.assertGreater(
                next(m for m in (await fleet.fetch(0))["members"] if m["name"] == "n3")["incarnation"], 0
            )

    async def test_shutdown_and_drain_are_not_failures(self) -> None:
        async with make_fleet(4) as fleet:
            await fleet.wait_until_agreed()
            await fleet.end_process(3, is_graceful=True, restart_after_s=None)
            await fleet.wait_until(all_views_hold("n3", "left"))
            await self.send_command(fleet, 2, "evacuate")
            await fleet.wait_until(
                lambda views: all(member_states(v)["n2"] == "left" for n, v in views.items() if n != 2)
            )
            await fleet.wait_until(lambda views: views[0]["places"] == 2 and views[1]["places"] == 2)
            await self.send_command(fleet, 2, "rejoin")
            await fleet.wait_until_agreed()
            self.assertEqual([self.reported_failures(fleet, n) for n in range(4)], [[]] * 4)

    async def send_command(self, fleet: GatewayFleet, number: int, command: str) -> None:
        """Send a command to the operator address of a gateway."""
        reader, writer = await asyncio.open_connection(gateway_host(number), fleet.ops_port)
        writer.write(f"PUT /api/{command} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        self.assertIn(b" 200 ", await soon(reader.read()))
        writer.close()

    async def test_gateways_restarted_at_once_find_each_other_without_all_seeds(self) -> None:
        async with make_fleet(5) as fleet:  # seeds 0, 1 and 2
            await fleet.wait_until_agreed()
            await asyncio.gather(*(fleet.end_process(n, is_graceful=False, restart_after_s=None) for n in (0, 1)))
            await asyncio.gather(*(fleet.end_process(n, is_graceful=False, restart_after_s=0.5) for n in (2, 3, 4)))
            await fleet.wait_until_agreed()  # through the remaining seed
            await asyncio.gather(*(fleet.end_process(n, is_graceful=False, restart_after_s=None) for n in (2, 3, 4)))
            await asyncio.gather(*(fleet.start_gateway(n) for n in (3, 4)))
            await fleet.wait_until(lambda views: all(v["view"] == "alone" for v in views.values()))
            await fleet.start_gateway(1)
            await fleet.wait_until_agreed()

    async def test_stepping_wall_clock_has_no_effect(self) -> None:
        class SteppingClockFleet(GatewayFleet):
            module = "tests.membership.stepping_gateway"

        async with make_fleet(3, kind=SteppingClockFleet) as fleet:
            await fleet.wait_until_agreed()
            await fleet.wait_until(lambda views: all(v["places"] == 3 for v in views.values()))
            await fleet.end_process(2, is_graceful=False, restart_after_s=None)
            await fleet.wait_until(all_views_hold("n2", "failed"))
            self.assertEqual({name for n in range(2) for name in self.reported_failures(fleet, n)}, {"n2"})

    async def test_overloaded_gateway_declares_no_failure(self) -> None:
        async with make_fleet(4, seconds=6.0) as fleet:
            await fleet.wait_until_agreed()
            load = asyncio.create_task(fleet.run_workload())
            process = fleet.processes[3]
            assert process is not None
            while not load.done():  # the process runs for a third of the time
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(0.1)
                process.send_signal(signal.SIGCONT)
                await asyncio.sleep(0.05)
            await load
            await fleet.wait_until_agreed()
            self.assertEqual(self.reported_failures(fleet, 3), [])
