"""Runs of a scenario on real sockets.

Emulated nodes, counter and discovery on loopback, real gateway processes between them and HTTP clients. Models,
traffic and faults are those of virtual runs, and so is the journal.
"""
