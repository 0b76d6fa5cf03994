"""The operators' side of one gateway: its HTTP address, metrics, lifecycle and hot restart.

Decides nothing about traffic and does not depend on the hosted service.
"""
