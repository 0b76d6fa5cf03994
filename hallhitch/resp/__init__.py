"""RESP2: a server that answers commands for limits, and the client's codec of a counter that speaks RESP."""
