"""Runs of a scenario on real sockets.

The nodes, the counter and discovery are emulated on loopback; real gateway processes run between them and HTTP
clients. The models, the traffic, the faults and the journal format are the same as in virtual runs.
"""
