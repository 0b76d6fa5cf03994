"""Administration service of the hosted product: the catalog's store, its single writer and the HTTP API.

No traffic of tenants passes through it.
"""
