"""The lease service of one coordinator: it decodes claims, votes on them by its lease table, and encodes the votes."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import Final

from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.clock import now as steady_now
from hallhitch.planes.quota import lease_messages
from hallhitch.planes.quota.lease_table import LeaseTable
from hallhitch.planes.values import LeaseMembership

INCARNATION_BITS: Final = 48  # random, so that no two starts of a process share an incarnation


class LeaseCoordinator:
    """Votes on claims of gateways; `incarnation` distinguishes this start of the process from other starts."""

    def __init__(self, clock: Callable[[], float] = steady_now, incarnation: int | None = None) -> None:
        self._clock = clock
        incarnation = secrets.randbits(INCARNATION_BITS) if incarnation is None else incarnation
        self._table = LeaseTable(incarnation, clock())

    def set_membership(self, membership: LeaseMembership) -> None:
        """Set the newest membership that this coordinator has accepted; it does not vote until one is set."""
        self._table.set_membership(self._clock(), membership)

    def handle(self, envelope: Envelope) -> Envelope:
        """Reply to a `lease_request` with a `lease_response`."""
        claim = lease_messages.decode_claim(envelope.lease_request)
        votes = self._table.vote(self._clock(), claim)
        return Envelope(lease_response=lease_messages.encode_votes(votes))

    def holders(self, now: float) -> dict[int, str]:
        """Return the internal address of each bucket's holder."""
        return self._table.holders(now)
