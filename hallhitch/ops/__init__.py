"""The operators' side of one gateway: the second address, figures, drain, replacement of the process.

It decides nothing on traffic, and knows nothing of the hosted parts.
"""
