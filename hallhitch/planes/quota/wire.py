"""Claims and votes as messages, and back. Owns nothing."""

from __future__ import annotations

from hallhitch.messages import system_pb2 as messages
from hallhitch.planes.quota.lease import Account, Asked, Left, Votes


def claim(asked: Asked, to: int) -> messages.Claim:
    """A claim for one life of a coordinator."""
    return messages.Claim(
        holder=asked.holder, life=asked.life, number=asked.number, members=asked.members, renew=asked.renew,
        take=asked.take, release=asked.release, drop=asked.drop, to=to,
        accounts=[messages.Account(bucket=bucket, partial=account.partial, sums=_sums(account))
                  for bucket, account in asked.accounts.items()])


def asked(claim: messages.Claim) -> Asked:
    """What a claim asks."""
    return Asked(
        claim.holder, claim.life, claim.number, claim.members, tuple(claim.renew), tuple(claim.take),
        tuple(claim.release), tuple(claim.drop), {told.bucket: _account(told) for told in claim.accounts}, claim.to)


def granted(votes: Votes) -> messages.Granted:
    """A coordinator's answer."""
    return messages.Granted(
        ok=votes.ok, life=votes.life, young=votes.young, refused=sorted(votes.refused), idle=votes.idle,
        seen=votes.seen, accounts=[
            messages.Account(bucket=bucket, partial=left.account.partial, sums=_sums(left.account),
                             holder=left.holder, life=left.life, number=left.number, age=int(left.age),
                             final=left.final)
            for bucket, left in votes.left.items()])


def votes(granted: messages.Granted) -> Votes:
    """What a coordinator answered."""
    return Votes(
        granted.ok, granted.life, granted.young, frozenset(granted.refused), tuple(granted.idle), granted.seen,
        {told.bucket: Left(told.holder, told.life, told.number, _account(told), told.final, told.age)
         for told in granted.accounts})


def _sums(account: Account) -> list[messages.TenantSum]:
    return [messages.TenantSum(tenant=tenant, cells=cells) for tenant, cells in account.sums.items()]


def _account(told: messages.Account) -> Account:
    return Account({one.tenant: tuple(one.cells) for one in told.sums}, told.partial)
