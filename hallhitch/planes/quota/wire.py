"""Claims and votes as messages, and back. Owns nothing."""

from __future__ import annotations

from hallhitch.messages import system_pb2 as messages
from hallhitch.planes.quota.lease import Account, LeaseClaim, LeaseVotes, Left
from hallhitch.planes.values import LeaseMembership


def claim(asked: LeaseClaim, to: int) -> messages.LeaseRequest:
    """A claim for one incarnation of a coordinator."""
    return messages.LeaseRequest(
        holder=asked.holder,
        incarnation=asked.incarnation,
        number=asked.number,
        membership_version=asked.membership_version,
        renew=asked.renew,
        acquire=asked.acquire,
        release=asked.release,
        drop=asked.drop,
        to=to,
        accounts=[
            messages.Account(bucket=bucket, partial=account.partial, sums=_sums(account))
            for bucket, account in asked.accounts.items()
        ],
    )


def asked(claim: messages.LeaseRequest) -> LeaseClaim:
    """What a claim asks."""
    return LeaseClaim(
        claim.holder,
        claim.incarnation,
        claim.number,
        claim.membership_version,
        tuple(claim.renew),
        tuple(claim.acquire),
        tuple(claim.release),
        tuple(claim.drop),
        {told.bucket: _account(told) for told in claim.accounts},
        claim.to,
    )


def granted(votes: LeaseVotes) -> messages.LeaseResponse:
    """A coordinator's answer."""
    return messages.LeaseResponse(
        ok=votes.ok,
        incarnation=votes.incarnation,
        in_grace_period=votes.in_grace_period,
        refused=sorted(votes.refused),
        idle=votes.idle,
        seen=votes.seen,
        membership=votes.membership.message() if votes.membership is not None else None,
        accounts=[
            messages.Account(
                bucket=bucket,
                partial=left.account.partial,
                sums=_sums(left.account),
                holder=left.holder,
                incarnation=left.incarnation,
                number=left.number,
                age=int(left.age),
                final=left.final,
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
        frozenset(granted.refused),
        tuple(granted.idle),
        granted.seen,
        {
            told.bucket: Left(told.holder, told.incarnation, told.number, _account(told), told.final, told.age)
            for told in granted.accounts
        },
        LeaseMembership.of(granted.membership) if granted.HasField("membership") else None,
    )


def _sums(account: Account) -> list[messages.TenantSum]:
    return [messages.TenantSum(tenant=tenant, cells=cells) for tenant, cells in account.sums.items()]


def _account(told: messages.Account) -> Account:
    return Account({one.tenant: tuple(one.cells) for one in told.sums}, told.partial)
