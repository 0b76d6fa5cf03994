"""The JSON of `GET /api/members` and the metrics; operators and programs rely on their names."""

from __future__ import annotations

import asyncio
import random

from hallhitch.membership.damped_view import GatewayCounts
from hallhitch.membership.partition import ViewStatus
from hallhitch.membership.protocol_settings import ProtocolSettings
from hallhitch.membership.records import MemberKey, MemberRecord, MemberState
from hallhitch.membership.reporting import ViewReport, describe_view, render_metrics
from hallhitch.membership.swim import Swim
from hallhitch.membership.udp_transport import TransportSettings, UdpTransport

NOW = 5_000.0


def make_report() -> ViewReport:
    local = MemberRecord("g0", 16, 2, MemberState.ALIVE, "127.0.0.1:1", 16, "z1", "1.0")
    swim = Swim(local, "c", ProtocolSettings(), random.Random(1))
    swim.restore([MemberRecord("g1", 17, 0, MemberState.SUSPECT, "127.0.0.1:2", 17)], 1_000.0)
    swim.members[MemberKey("g1", 17)].last_heard_at = 3_750.0
    counts = GatewayCounts(2, 3, lambda server: 0)
    return ViewReport(swim, "c", ViewStatus.COMPLETE, counts, NOW)


def test_view_is_described_as_json() -> None:
    assert describe_view(make_report()) == {
        "name": "g0",
        "instance": "10",
        "cluster": "c",
        "view": "whole",
        "places": 2,
        "budgets": 3,
        "health": 0,
        "agreed_s": None,
        "conflicts": {},
        "members": [
            {
                "name": "g0",
                "instance": "10",
                "state": "alive",
                "incarnation": 2,
                "address": "127.0.0.1:1",
                "zone": "z1",
                "version": "1.0",
                "self": True,
                "heard_s": None,
            },
            {
                "name": "g1",
                "instance": "11",
                "state": "suspect",
                "incarnation": 0,
                "address": "127.0.0.1:2",
                "zone": "",
                "version": "",
                "self": False,
                "heard_s": 1.2,
            },
        ],
    }


def test_metrics_keep_their_names() -> None:
    loop = asyncio.new_event_loop()
    try:
        settings = TransportSettings("c", lambda address: True, 1)
        transport = UdpTransport(settings, lambda: NOW, loop, lambda message: None, lambda: None)
        text = render_metrics(make_report(), transport)
    finally:
        loop.close()
    samples = [line for line in text.splitlines() if not line.startswith("#")]
    assert samples == [
        'svc_members{state="alive"} 1',
        'svc_members{state="suspect"} 1',
        'svc_members{state="failed"} 0',
        'svc_members{state="left"} 0',
        "svc_members_places 2",
        "svc_members_budgets 3",
        "svc_members_health 0",
        "svc_members_agreed_ms 0",
        "svc_members_conflicts 0",
        "svc_members_news 0",
        "svc_members_accusations 0",
        "svc_members_failures 0",
        "svc_members_refutations 0",
        "svc_members_changes 1",
        "svc_members_stalls 0",
        "svc_members_exchanges 0",
        "svc_members_records_dropped 0",
        "svc_members_datagrams_in 0",
        "svc_members_datagrams_out 0",
        "svc_members_bytes_in 0",
        "svc_members_bytes_out 0",
        *(
            f'svc_members_datagrams_dropped{{reason="{reason}"}} 0'
            for reason in ("network", "flood", "size", "form", "cluster", "unsent")
        ),
    ]
