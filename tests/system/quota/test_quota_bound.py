"""Under random faults, no sliding window of a tenant exceeds the rule, and no bucket has two holders."""

from __future__ import annotations

import pytest

from tests.system.quota.fault_schedule import TENANT_LIMITS, run_with_faults
from tests.system.quota.simulated_process import QUOTA


@pytest.mark.parametrize("block", range(6))
def test_no_fault_schedule_admits_more_than_the_rule(block: int) -> None:
    for seed in range(block * 8, block * 8 + 8):
        record = run_with_faults(seed).traffic.record
        for tenant, limit in TENANT_LIMITS.items():
            assert record.max_admitted(tenant) <= QUOTA.total_limit(limit), f"seed {seed}, {tenant}"
            by_holders = record.max_admitted_by_holders(tenant)
            assert by_holders <= QUOTA.holder_limit(limit), f"seed {seed}, {tenant}: admitted by holders"
