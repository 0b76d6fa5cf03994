"""A gateway's replica of the catalog: the client of the feed and the cache on disk."""
