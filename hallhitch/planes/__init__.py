"""The planes of the system, one library each. They exchange the types in `values` and never use internals of others."""
