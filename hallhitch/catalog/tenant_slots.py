"""One gateway's slots (connections, handshakes, open requests), shared among tenants by weight. No I/O, no clock.

A tenant that floods the gateway, fails, sends slowly or keeps its slots exhausts only its own share. Beyond its share,
a tenant may take free slots, but never those of the reserve.
"""

from __future__ import annotations

from typing import Final

from hallhitch.catalog.errors import SlotError

RESERVED_SLOT_RATIO: Final = 0.1  # of all slots: reserved for tenants below their own share


class TenantSlots:
    """A fixed number of slots shared by all tenants.

    The share of a tenant is its fraction, by weight among the tenants that hold slots, of all slots but the reserve. Up
    to its share a tenant gets any free slot; beyond it only while more slots than the reserve are free. A tenant that
    arrives while others exceed their share gets slots of the reserve at once, and more as others release theirs.
    Cost: O(1) per call; memory grows with the number of tenants that hold slots.
    """

    def __init__(self, total: int) -> None:
        if total < 1:
            raise SlotError(f"the number of slots must be at least 1, not {total}")
        self.total = total
        self.free = total
        self._held: dict[str, int] = {}
        self._weights: dict[str, float] = {}
        self._total_weight = 0.0  # of the tenants that hold slots

    def held(self, tenant: str) -> int:
        """Return how many slots a tenant holds."""
        return self._held.get(tenant, 0)

    def share(self, tenant: str, weight: float) -> float:
        """Return a tenant's share of the slots among the tenants that hold slots."""
        other_weight = self._total_weight - self._weights.get(tenant, 0.0)
        return self.total * (1 - RESERVED_SLOT_RATIO) * weight / (other_weight + weight)

    def acquire(self, tenant: str, weight: float, limit: int) -> bool:
        """Take a slot if the tenant may have one; it never holds more than `limit`, even if slots are free."""
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
        """Release one slot of a tenant.

        Raises:
            SlotError: The tenant holds no slot.
        """
        held = self.held(tenant)
        if not held:
            raise SlotError(f"tenant {tenant} holds no slot to release")
        self.free += 1
        if held > 1:
            self._held[tenant] = held - 1
            return
        del self._held[tenant]
        weight = self._weights.pop(tenant)
        # Reset to zero when no tenant holds a slot, so that rounding errors do not accumulate.
        self._total_weight = self._total_weight - weight if self._held else 0.0
