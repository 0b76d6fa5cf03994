"""Catalog of tenants: its entries, changes, diffs and credentials. Pure logic without HTTP, SQL or a clock."""
