"""The planes of the whole system: a library each. They meet in `values` alone, never in each other's insides."""
