"""Test bed: models of nodes, the quota counter, discovery, the network and clients; load, experiments and reports.

No module of the gateway imports this package. The gateway's decision code runs here unchanged; everything around it is
modelled.
"""
