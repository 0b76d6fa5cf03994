"""Distribution of soft state: each process pulls what it lacks from its peers, as snapshots and deltas."""
