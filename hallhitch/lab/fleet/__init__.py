"""Fleets of gateways with faults between them.

Fault timelines, the state of links under faults, a modelled membership cluster in virtual time, and real processes.
"""
