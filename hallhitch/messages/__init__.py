"""Messages between the processes of the system: the protobuf schema, framing, and calls over TCP."""
