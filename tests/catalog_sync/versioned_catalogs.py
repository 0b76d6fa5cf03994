"""Catalogs that differ by version, for tests of what a gateway keeps."""

from __future__ import annotations

from hallhitch.catalog.changes import Change, Edit, apply_change
from hallhitch.catalog.model import Catalog, Kind, Plan
from tests.catalog.catalog_strategies import populated_catalog


def catalog_at_version(version: int) -> Catalog:
    """A catalogue of that version, unlike all others."""
    base = apply_change(populated_catalog(), Change("a", (Edit(Kind.PLAN, "y", Plan(float(version), 1.0)),))).catalog
    return Catalog(base.epoch, version, base.tenants, base.operators, base.hosts, base.checksum)
