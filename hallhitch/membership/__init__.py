"""Which gateways there are: who lives, who failed, who left, and what follows for places and budgets.

It never learns of quotas, tenants or requests, and never judges a server. The platform's `run` imports none of it.
"""
