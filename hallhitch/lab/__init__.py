"""The project's own world: a model of nodes, counter, discovery, network and clients; load, experiments, reports.

Nothing of the gateway imports this. Decisions of the gateway run here as they are; what is modelled is the rest.
"""
