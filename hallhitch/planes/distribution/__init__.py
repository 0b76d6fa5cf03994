"""Distribution of soft state: each process pulls the state that it lacks from its peers, as snapshots and deltas."""
