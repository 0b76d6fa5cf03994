"""Converts claims and votes to and from protobuf messages."""

from __future__ import annotations

from hallhitch.messages import system_pb2 as messages
from hallhitch.planes.quota.lease import LeaseClaim, LeaseVotes, RelayedReport, UsageReport
from hallhitch.planes.values import LeaseMembership


def encode_claim(claim: LeaseClaim, coordinator_incarnation: int) -> messages.LeaseRequest:
    """Return the request that carries a claim to one incarnation of a coordinator."""
    return messages.LeaseRequest(
        holder=claim.holder,
        incarnation=claim.incarnation,
        sequence=claim.sequence,
        membership_version=claim.membership_version,
        renew=claim.renew,
        acquire=claim.acquire,
        release=claim.release,
        drop=claim.drop,
        coordinator_incarnation=coordinator_incarnation,
        usage_reports=[
            messages.UsageReportMessage(bucket=bucket, is_partial=usage.is_partial, tenant_usage=_encode_usage(usage))
            for bucket, usage in claim.usage_reports.items()
        ],
    )


def decode_claim(request: messages.LeaseRequest) -> LeaseClaim:
    """Return the claim that a request carries."""
    return LeaseClaim(
        holder=request.holder,
        incarnation=request.incarnation,
        sequence=request.sequence,
        membership_version=request.membership_version,
        renew=tuple(request.renew),
        acquire=tuple(request.acquire),
        release=tuple(request.release),
        drop=tuple(request.drop),
        usage_reports={report.bucket: _decode_usage(report) for report in request.usage_reports},
        coordinator_incarnation=request.coordinator_incarnation,
    )


def encode_votes(votes: LeaseVotes) -> messages.LeaseResponse:
    """Return the response that carries a coordinator's votes."""
    return messages.LeaseResponse(
        ok=votes.is_accepted,
        incarnation=votes.incarnation,
        in_grace_period=votes.in_grace_period,
        rejected=sorted(votes.rejected),
        idle_ms=votes.idle_ms,
        gateways_seen=votes.gateways_seen,
        membership=votes.membership.to_message() if votes.membership is not None else None,
        usage_reports=[_encode_predecessor(bucket, report) for bucket, report in votes.predecessors.items()],
    )


def decode_votes(response: messages.LeaseResponse) -> LeaseVotes:
    """Return the votes that a response carries."""
    return LeaseVotes(
        is_accepted=response.ok,
        incarnation=response.incarnation,
        in_grace_period=response.in_grace_period,
        rejected=frozenset(response.rejected),
        idle_ms=tuple(response.idle_ms),
        gateways_seen=response.gateways_seen,
        predecessors={report.bucket: _decode_predecessor(report) for report in response.usage_reports},
        membership=LeaseMembership.from_message(response.membership) if response.HasField("membership") else None,
    )


def _encode_predecessor(bucket: int, report: RelayedReport) -> messages.UsageReportMessage:
    return messages.UsageReportMessage(
        bucket=bucket,
        is_partial=report.usage.is_partial,
        tenant_usage=_encode_usage(report.usage),
        holder=report.holder,
        incarnation=report.incarnation,
        sequence=report.sequence,
        age_ms=int(report.age_ms),
        is_final=report.is_final,
    )


def _decode_predecessor(report: messages.UsageReportMessage) -> RelayedReport:
    return RelayedReport(
        holder=report.holder,
        incarnation=report.incarnation,
        sequence=report.sequence,
        usage=_decode_usage(report),
        is_final=report.is_final,
        age_ms=report.age_ms,
    )


def _encode_usage(usage: UsageReport) -> list[messages.TenantUsageMessage]:
    return [
        messages.TenantUsageMessage(tenant=tenant, units_by_cell=units)
        for tenant, units in usage.units_by_tenant.items()
    ]


def _decode_usage(report: messages.UsageReportMessage) -> UsageReport:
    units_by_tenant = {usage.tenant: tuple(usage.units_by_cell) for usage in report.tenant_usage}
    return UsageReport(units_by_tenant, report.is_partial)
