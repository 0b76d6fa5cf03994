"""Gateways that share a name, and datagrams from outside the cluster."""

from __future__ import annotations

import os
import socket
from typing import Any

from hallhitch.lab.fleet.member_views import member_states
from hallhitch.lab.fleet.processes import GatewayFleet
from hallhitch.lab.fleet.relay import gateway_host
from hallhitch.membership.messages import PROTOCOL_VERSION, Ping, encode
from hallhitch.membership.records import MemberRecord, MemberState
from tests.membership.fleet_case import FleetCase, make_fleet


class NameConflictTest(FleetCase):
    """A gateway is configured with the name of another."""

    async def test_two_gateways_with_one_name_are_a_conflict_and_both_serve(self) -> None:
        class FleetWithSharedName(GatewayFleet):
            def _gateway_config(self, number: int) -> dict[str, Any]:
                return super()._gateway_config(number) | ({"name": "n1"} if number == 3 else {})

        async with make_fleet(4, kind=FleetWithSharedName) as fleet:
            await fleet.wait_until(
                lambda views: len(views) == 4
                and all(list(v["conflicts"]) == ["n1"] and v["places"] == 4 for v in views.values())
            )
            await fleet.run_workload()
            self.assert_no_violations(fleet)
            for number in range(4):
                self.assertEqual(len(fleet.log_lines_of(number, "member name conflict")), 1)
                self.assertIn("svc_members_conflicts 1\n", await fleet.fetch(number, "/api/telemetry"))
            serving_gateways = {event[4] for event in fleet.journal.events if event[1] == "send"}
            self.assertEqual(serving_gateways, {0, 1, 2, 3})


class ForeignDatagramsTest(FleetCase):
    """The socket receives datagrams that are not from members of the cluster."""

    async def test_foreign_datagrams_change_no_view_and_are_counted(self) -> None:
        async with make_fleet(3) as fleet:
            await fleet.wait_until_agreed()
            before = {n: member_states(v) for n, v in (await fleet.fetch_views()).items()}
            outside_sender = MemberRecord("outsider", 1, 0, MemberState.ALIVE, "127.9.9.9:9", 1)
            forged_records = tuple(MemberRecord(f"x{n}", n, 0, MemberState.ALIVE, "192.168.1.1:9", n) for n in range(8))
            valid_ping = encode(Ping(PROTOCOL_VERSION, f"fleet-{fleet.port}", outside_sender, 0, (), 1, 1))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                for data in (
                    b"",
                    b"\xff" * 1400,
                    valid_ping[:-3],
                    b"x" * 4000,
                    encode(Ping(PROTOCOL_VERSION, "other", outside_sender, 0, (), 1, 1)),
                    encode(Ping(PROTOCOL_VERSION + 1, f"fleet-{fleet.port}", outside_sender, 0, (), 1, 1)),
                    encode(Ping(PROTOCOL_VERSION, f"fleet-{fleet.port}", forged_records[0], 0, forged_records, 1, 1)),
                ):
                    sock.sendto(data, (gateway_host(0), fleet.port))
                for _ in range(3_000):
                    sock.sendto(os.urandom(64), (gateway_host(0), fleet.port))

            def drop_counts(text: str) -> dict[str, int]:
                return {
                    line.split('"')[1]: int(line.split()[-1])
                    for line in text.splitlines()
                    if line.startswith("svc_members_datagrams_dropped{")
                }

            while (
                not (dropped := drop_counts(await fleet.fetch(0, "/api/telemetry")))["cluster"] or not dropped["form"]
            ):
                pass
            self.assertGreaterEqual(dropped["size"], 1)
            self.assertEqual({n: member_states(v) for n, v in (await fleet.fetch_views()).items()}, before)
            await fleet.wait_until_agreed()
            self.assert_no_violations(fleet)
