"""Membership of the gateways: who is alive, failed or gone, and what follows for server placement and budgets.

Used by `hallhitch --peers` alone; the system's own programs have their membership in `planes/`. It knows nothing of
quotas, tenants or requests, and judges no server.

`swim` is the protocol's state machine, `damped_view` derives counts from its view, `protocol` joins the two. None of
them does I/O or reads a clock: `service` and `udp_transport` do.
"""
