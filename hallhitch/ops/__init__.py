"""The operator interface of one gateway: its HTTP endpoint, metrics, lifecycle and hot restart.

This package makes no routing decisions and does not depend on the hosted service.
"""
