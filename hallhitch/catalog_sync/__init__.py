"""A gateway's replica of the catalog: the client of the feed, and the copy on disk."""
