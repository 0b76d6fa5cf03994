"""Catalogs with different content at each version, for tests of a gateway's cache."""

from __future__ import annotations

from hallhitch.catalog.changes import Change, Edit, apply_change
from hallhitch.catalog.model import Catalog, Kind, Plan
from tests.catalog.catalog_strategies import populated_catalog


def catalog_at_version(version: int) -> Catalog:
    """Return a catalog at a version; a plan's rate equals the version."""
    base = apply_change(populated_catalog(), Change("a", (Edit(Kind.PLAN, "y", Plan(float(version), 1.0)),))).catalog
    return Catalog(base.epoch, version, base.tenants, base.operators, base.hosts, base.checksum)
