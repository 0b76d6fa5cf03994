"""Attempts carried to servers over pooled connections.

`client` is the port of the core and owns all attempts in flight, `server` runs them on one server's connections,
`receive` reads answers, `request_head` writes requests, `idle_times` learns how long connections may stand idle.
"""
