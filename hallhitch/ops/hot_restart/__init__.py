"""Hot restart: a new process of a gateway starts beside the old one and takes over its clients.

`sibling_locks` detects the other process, `sibling_monitor` notifies the components of this process about it, and
`state_transfer` passes the state that was learned from traffic to the new process.
"""
