"""Exchanges, deadlines and the decision module's actor, shared by all frontends and independent of any wire format."""
