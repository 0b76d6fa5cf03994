"""Faults of the links between real gateway processes; with client traffic where the faults could affect it."""

from __future__ import annotations

import asyncio

from hallhitch.lab.fleet.member_views import member_states, present_members
from hallhitch.lab.fleet.timeline import FleetFault
from tests.membership.fleet_case import FAST_SETTINGS, FleetCase, make_fleet, sees_exactly


class LinkFaultsTest(FleetCase):
    """Links that are cut, lossy or flapping, and partitions between gateways."""

    async def test_links_cut_in_one_direction_and_a_gateway_that_cannot_send(self) -> None:
        async with make_fleet(5) as fleet:
            await fleet.wait_until_agreed()
            cut = fleet.begin_fault(FleetFault("cut", 0.0, whom=("g0",), to=("g1",), one_way=True))
            while fleet.datagram_counts["lost"] < 12:  # several probes and their replies
                await fleet.fetch_views()
            fleet.end_fault(cut)
            await fleet.wait_until_agreed()
            self.assertEqual([self.reported_failures(fleet, n) for n in range(5)], [[]] * 5)
            outgoing_cut = fleet.begin_fault(FleetFault("cut", 0.0, whom=("g4",), one_way=True))
            await fleet.wait_until(
                lambda views: all(member_states(v)["n4"] == "failed" for n, v in views.items() if n != 4)
            )
            self.assertEqual({name for n in range(4) for name in self.reported_failures(fleet, n)}, {"n4"})
            fleet.end_fault(outgoing_cut)
            await fleet.wait_until_agreed()

    async def test_partitions_into_halves_and_thirds_under_traffic(self) -> None:
        async with make_fleet(6, seconds=14.0) as fleet:
            await fleet.wait_until_agreed()
            await fleet.wait_until(lambda views: all(v["places"] == 6 and v["budgets"] == 6 for v in views.values()))
            load = asyncio.create_task(fleet.run_workload())
            halves = fleet.begin_fault(FleetFault("split", 0.0, parts=(0.5, 0.5)))
            await fleet.wait_until(
                lambda views: all(
                    sees_exactly("n0", "n1", "n2")(v) if n < 3 else sees_exactly("n3", "n4", "n5")(v)
                    for n, v in views.items()
                )
            )
            await fleet.wait_until(lambda views: all(v["view"] == "part" and v["places"] <= 4 for v in views.values()))
            views = await fleet.fetch_views()
            # Placement counts the visible gateways; budgets also count those that may still be running.
            self.assertTrue(all(v["budgets"] == 6 for v in views.values()), views)
            served = fleet.statuses.get("served", 0)
            while fleet.statuses.get("served", 0) < served + 50:  # both sides continue to serve
                await fleet.fetch_views()
            fleet.end_fault(halves)
            await fleet.wait_until_agreed()
            await fleet.wait_until(lambda views: all(v["view"] == "whole" for v in views.values()))
            thirds = fleet.begin_fault(FleetFault("split", 0.0, parts=(0.34, 0.33, 0.33)))
            await fleet.wait_until(lambda views: all(len(present_members(v)) == 2 for v in views.values()))
            fleet.end_fault(thirds)
            await fleet.wait_until_agreed()
            await fleet.wait_until(lambda views: all(v["view"] == "whole" for v in views.values()))
            await load
            self.assertEqual(fleet.statuses.get("broken", 0), 0)
            partition_events = [
                line["event"]
                for line in fleet.log_lines[0]
                if line["event"]
                in ("membership partition suspected", "membership partition healed", "missing members expired")
            ]
            self.assertEqual(
                partition_events[::2],
                ["membership partition suspected"] * (len(partition_events) // 2),
                partition_events,
            )
            self.assertEqual(partition_events[-1], "membership partition healed")
            for number in range(6):
                excluded = (await fleet.fetch(number, "/api/telemetry")).split("svc_backends_excluded ")[-1].split()[0]
                self.assertEqual(excluded, "0")
            self.assert_no_violations(fleet)

    async def test_isolated_gateway_keeps_its_budget_count_until_it_fades(self) -> None:
        async with make_fleet(4, peers_settings=FAST_SETTINGS.replace("hold_s = 30.0", "hold_s = 8.0")) as fleet:
            await fleet.wait_until_agreed()
            await fleet.wait_until(lambda views: all(v["places"] == 4 and v["budgets"] == 4 for v in views.values()))
            cut = fleet.begin_fault(FleetFault("split", 0.0, parts=(0.75, 0.25)))
            await fleet.wait_until(lambda views: sees_exactly("n3")(views[3]))
            self.assertEqual((await fleet.fetch(3))["budgets"], 4)
            await fleet.wait_until(lambda views: views[3]["budgets"] == 1)
            self.assertEqual(
                [line["budget_count"] for line in fleet.log_lines_of(3, "gateway counts changed")][-4:], [4, 3, 2, 1]
            )
            fleet.end_fault(cut)
            await fleet.wait_until_agreed()
            await fleet.wait_until(lambda views: all(v["places"] == 4 for v in views.values()))

    async def test_flapping_and_lossy_links_and_a_partition_during_a_rolling_restart(self) -> None:
        async with make_fleet(5, seconds=12.0) as fleet:
            await fleet.wait_until_agreed()
            load = asyncio.create_task(fleet.run_workload())
            lossy = [
                fleet.begin_fault(FleetFault("drop", 0.0, share=0.3)),
                fleet.begin_fault(FleetFault("duplicate", 0.0, share=0.3)),
                fleet.begin_fault(FleetFault("delay", 0.0, delay_ms=(0.0, 30.0), share=0.5)),
            ]
            for _ in range(3):
                flap = fleet.begin_fault(FleetFault("cut", 0.0, whom=("g0", "g1"), to=("g2-g4",)))
                lost = fleet.datagram_counts["lost"]
                while fleet.datagram_counts["lost"] < lost + 10:
                    await fleet.fetch_views()
                fleet.end_fault(flap)
                carried = fleet.datagram_counts["datagrams"]
                while fleet.datagram_counts["datagrams"] < carried + 40:
                    await fleet.fetch_views()
            for number in lossy:
                fleet.end_fault(number)
            await fleet.wait_until_agreed()
            served = fleet.statuses.get("served", 0)
            backend_cuts = [
                fleet.begin_fault(FleetFault("cut", 0.0, whom=(f"g{n}",), to=(endpoint,)))
                for n, endpoint in enumerate(("counter", "node-1", "discovery"))
            ]
            while fleet.statuses.get("served", 0) < served + 60:
                await fleet.fetch_views()
            for number in backend_cuts:
                fleet.end_fault(number)
            split = fleet.begin_fault(FleetFault("split", 0.0, parts=(0.4, 0.6)))
            for number in (0, 2, 3):
                await fleet.end_process(number, is_graceful=True, restart_after_s=0.1)
            fleet.end_fault(split)
            await fleet.wait_until_agreed()
            await load
            self.assert_no_violations(fleet)
