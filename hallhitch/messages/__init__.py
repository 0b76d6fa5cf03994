"""What the system's own processes say to each other: the schema, and its framing over TCP."""
