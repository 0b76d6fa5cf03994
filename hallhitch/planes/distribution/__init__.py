"""News: who lacks what, by a vector of versions; snapshots first, then changes. It must not know what the news mean."""
