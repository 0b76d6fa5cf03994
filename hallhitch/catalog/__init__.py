"""Catalog of tenants, its changes and diffs, credentials. Decisions over values: no HTTP, no SQL, no clock."""
