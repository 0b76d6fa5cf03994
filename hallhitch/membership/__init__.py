"""Group membership of the gateways: which are alive, failed or gone, and how many share servers and budgets.

The package is used only by `hallhitch --peers`; the programs of the whole system have their own membership in
`planes/`. It has no knowledge of quotas, tenants or requests, and does not check the health of servers.

`swim` is the protocol's state machine, `damped_view` derives gateway counts from its view, and `protocol` combines the
two. None of them does I/O or reads a clock; `service` and `udp_transport` do.
"""
