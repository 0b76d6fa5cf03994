"""A world of our own for the whole system: its real processes on loopback, and all they talk to as stand-ins."""
