"""Sends attempts to servers over pooled connections.

`client` is the port for the core and owns all attempts in flight, `server` runs them on the connections of one server,
`receive` reads responses, `request_head` encodes request heads, and `idle_times` learns how long connections may be
idle. `context` holds what these modules share.
"""
