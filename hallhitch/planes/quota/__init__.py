"""Quota plane: which gateway counts which tenants, the counts, and what is allowed while nobody can be asked."""
