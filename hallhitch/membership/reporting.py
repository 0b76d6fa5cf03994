"""Reports of the view: as JSON for `GET /api/members`, and as metrics in the Prometheus text format."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from hallhitch.membership.damped_view import GatewayCounts
from hallhitch.membership.member_table import Member
from hallhitch.membership.partition import ViewStatus
from hallhitch.membership.records import MemberRecord, MemberState
from hallhitch.membership.swim import Swim
from hallhitch.membership.udp_transport import DropReason, UdpTransport

METRIC_PREFIX: Final = "svc_members"


@dataclass(frozen=True, slots=True)
class ViewReport:
    """The data of a report."""

    swim: Swim
    cluster: str
    status: ViewStatus
    counts: GatewayCounts
    now: float  # ms


class Metric(NamedTuple):
    """A metric without labels."""

    name: str
    kind: str
    help_text: str
    value: int


def describe_view(report: ViewReport) -> dict[str, Any]:
    """Return the view as the JSON object of `GET /api/members`."""
    swim, now = report.swim, report.now
    records = sorted(swim.records(), key=lambda record: (record.name, record.instance))
    return {
        "name": swim.local.name,
        "instance": f"{swim.local.instance:x}",
        "cluster": report.cluster,
        "view": report.status.value,
        "places": report.counts.placement_count,
        "budgets": report.counts.budget_count,
        "health": swim.health_score,
        "agreed_s": _seconds_since(swim.agreed_at, now),
        "conflicts": {name: [f"{i:x}" for i in instances] for name, instances in swim.conflicts.items()},
        "members": [_describe_member(record, swim.members.get(record.key), now) for record in records],
    }


def render_metrics(report: ViewReport, transport: UdpTransport) -> str:
    """Return the metrics as text."""
    records = report.swim.records()
    prefix = METRIC_PREFIX
    lines = [f"# HELP {prefix} Members by state, this gateway among them.", f"# TYPE {prefix} gauge"]
    for state in MemberState:
        lines.append(f'{prefix}{{state="{state.name.lower()}"}} {sum(record.state is state for record in records)}')
    for metric in (*_view_metrics(report), *_transport_metrics(transport)):
        name = f"{prefix}_{metric.name}"
        lines += [f"# HELP {name} {metric.help_text}", f"# TYPE {name} {metric.kind}", f"{name} {metric.value}"]
    name = f"{prefix}_datagrams_dropped"
    lines += [f"# HELP {name} Datagrams not taken or not sent, by reason.", f"# TYPE {name} counter"]
    lines += [f'{name}{{reason="{reason.value}"}} {transport.dropped[reason]}' for reason in DropReason]
    return "\n".join(lines) + "\n"


def _describe_member(record: MemberRecord, member: Member | None, now: float) -> dict[str, Any]:
    return {
        "name": record.name,
        "instance": f"{record.instance:x}",
        "state": record.state.name.lower(),
        "incarnation": record.incarnation,
        "address": record.address,
        "zone": record.zone,
        "version": record.version,
        "self": member is None,
        "heard_s": None if member is None else _seconds_since(member.last_heard_at, now),
    }


def _seconds_since(time_ms: float, now: float) -> float | None:
    return None if time_ms == -math.inf else round((now - time_ms) / 1000, 1)


def _view_metrics(report: ViewReport) -> list[Metric]:
    swim, counters, counts = report.swim, report.swim.counters, report.counts
    agreed_ms = 0 if swim.agreed_at == -math.inf else round(report.now - swim.agreed_at)
    return [
        Metric("places", "gauge", "Gateways that servers are shared by.", counts.placement_count),
        Metric("budgets", "gauge", "Gateways that budgets are divided by.", counts.budget_count),
        Metric("health", "gauge", "How far this gateway distrusts itself; 0 is well.", swim.health_score),
        Metric("agreed_ms", "gauge", "Time since another view was seen to be the same.", agreed_ms),
        Metric("conflicts", "gauge", "Names that several gateways bear.", len(swim.conflicts)),
        Metric("news", "gauge", "Records still passed on.", swim.pending_updates),
        Metric("accusations", "counter", "Members that this gateway suspected itself.", counters.accusations),
        Metric("failures", "counter", "Members that it gave up.", counters.failures),
        Metric("refutations", "counter", "Accusations of itself that it answered.", counters.refutations),
        Metric("changes", "counter", "Changes of its view.", counters.changes),
        Metric("stalls", "counter", "Times that it stood still.", counters.stalls),
        Metric("exchanges", "counter", "Exchanges of views that it began.", counters.exchanges),
        Metric("records_dropped", "counter", "Records of members that were not taken.", counters.records_dropped),
    ]


def _transport_metrics(transport: UdpTransport) -> list[Metric]:
    return [
        Metric("datagrams_in", "counter", "Datagrams taken.", transport.datagrams_received),
        Metric("datagrams_out", "counter", "Datagrams sent.", transport.datagrams_sent),
        Metric("bytes_in", "counter", "Their bytes.", transport.bytes_received),
        Metric("bytes_out", "counter", "Their bytes.", transport.bytes_sent),
    ]
