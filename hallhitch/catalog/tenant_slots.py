"""One gateway's slots (connections, handshakes, open requests), shared among tenants by weight. No I/O, no clock.

A tenant that floods, errs, sends slowly or keeps what it has uses up its own share. Beyond it, a tenant may have what
no other wants, and never the reserve.
"""

from __future__ import annotations

from typing import Final

from hallhitch.catalog.errors import SlotError

RESERVED_SLOT_RATIO: Final = 0.1  # of all slots: only tenants under their own share take these


class TenantSlots:
    """A number of slots for all tenants.

    A tenant's share is its weight's part of all slots but the reserve, among the tenants that hold any. Up to its
    share it gets a slot while there is one; beyond it only while more than the reserve is free. A tenant that comes
    while others hold more than their share gets slots of the reserve at once, and more as others release theirs.
    Cost: O(1) a call; memory grows with the tenants that hold any.
    """

    def __init__(self, total: int) -> None:
        if total < 1:
            raise SlotError(f"no places to share: {total}")
        self.total = total
        self.free = total
        self._held: dict[str, int] = {}
        self._weights: dict[str, float] = {}
        self._total_weight = 0.0  # of the tenants that hold any

    def held(self, tenant: str) -> int:
        """Return how many slots a tenant holds."""
        return self._held.get(tenant, 0)

    def share(self, tenant: str, weight: float) -> float:
        """Return a tenant's own share of the slots, among the tenants that hold any."""
        other_weight = self._total_weight - self._weights.get(tenant, 0.0)
        return self.total * (1 - RESERVED_SLOT_RATIO) * weight / (other_weight + weight)

    def acquire(self, tenant: str, weight: float, limit: int) -> bool:
        """Take a slot if the tenant may have one; `limit` is its own, whatever is free."""
        held = self.held(tenant)
        if held >= limit or not self.free:
            return False
        is_only_reserve_free = self.free <= RESERVED_SLOT_RATIO * self.total
        if held + 1 > self.share(tenant, weight) and is_only_reserve_free:
            return False
        self._total_weight += weight - self._weights.get(tenant, 0.0)
        self._weights[tenant] = weight
        self._held[tenant] = held + 1
        self.free -= 1
        return True

    def release(self, tenant: str) -> None:
        """Give a slot back.

        Raises:
            SlotError: The tenant holds none.
        """
        held = self.held(tenant)
        if not held:
            raise SlotError(f"{tenant} holds no place")
        self.free += 1
        if held > 1:
            self._held[tenant] = held - 1
            return
        del self._held[tenant]
        weight = self._weights.pop(tenant)
        # Zero where no tenant holds a slot, so that rounding errors do not add up.
        self._total_weight = self._total_weight - weight if self._held else 0.0
