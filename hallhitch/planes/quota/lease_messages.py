"""Claims and votes as messages, and back. Owns nothing."""

from __future__ import annotations

from hallhitch.messages import system_pb2 as messages
from hallhitch.planes.quota.lease import LeaseClaim, LeaseVotes, PredecessorReport, UsageReport
from hallhitch.planes.values import LeaseMembership


def claim(asked: LeaseClaim, to: int) -> messages.LeaseRequest:
    """A claim for one incarnation of a coordinator."""
    return messages.LeaseRequest(
        holder=asked.holder,
        incarnation=asked.incarnation,
        sequence=asked.number,
        membership_version=asked.membership_version,
        renew=asked.renew,
        acquire=asked.acquire,
        release=asked.release,
        drop=asked.drop,
        coordinator_incarnation=to,
        usage_reports=[
            messages.UsageReportMessage(bucket=bucket, is_partial=account.partial, tenant_usage=_sums(account))
            for bucket, account in asked.accounts.items()
        ],
    )


def asked(claim: messages.LeaseRequest) -> LeaseClaim:
    """What a claim asks."""
    return LeaseClaim(
        claim.holder,
        claim.incarnation,
        claim.sequence,
        claim.membership_version,
        tuple(claim.renew),
        tuple(claim.acquire),
        tuple(claim.release),
        tuple(claim.drop),
        {told.bucket: _account(told) for told in claim.usage_reports},
        claim.coordinator_incarnation,
    )


def granted(votes: LeaseVotes) -> messages.LeaseResponse:
    """A coordinator's answer."""
    return messages.LeaseResponse(
        ok=votes.ok,
        incarnation=votes.incarnation,
        in_grace_period=votes.in_grace_period,
        rejected=sorted(votes.refused),
        idle_ms=votes.idle,
        gateways_seen=votes.seen,
        membership=votes.membership.to_message() if votes.membership is not None else None,
        usage_reports=[
            messages.UsageReportMessage(
                bucket=bucket,
                is_partial=left.account.partial,
                tenant_usage=_sums(left.account),
                holder=left.holder,
                incarnation=left.incarnation,
                sequence=left.number,
                age_ms=int(left.age),
                is_final=left.final,
            )
            for bucket, left in votes.left.items()
        ],
    )


def votes(granted: messages.LeaseResponse) -> LeaseVotes:
    """What a coordinator answered."""
    return LeaseVotes(
        granted.ok,
        granted.incarnation,
        granted.in_grace_period,
        frozenset(granted.rejected),
        tuple(granted.idle_ms),
        granted.gateways_seen,
        {
            told.bucket: PredecessorReport(
                told.holder, told.incarnation, told.sequence, _account(told), told.is_final, told.age_ms
            )
            for told in granted.usage_reports
        },
        LeaseMembership.from_message(granted.membership) if granted.HasField("membership") else None,
    )


def _sums(account: UsageReport) -> list[messages.TenantUsageMessage]:
    return [messages.TenantUsageMessage(tenant=tenant, units_by_cell=cells) for tenant, cells in account.sums.items()]


def _account(told: messages.UsageReportMessage) -> UsageReport:
    return UsageReport({one.tenant: tuple(one.units_by_cell) for one in told.tenant_usage}, told.is_partial)
