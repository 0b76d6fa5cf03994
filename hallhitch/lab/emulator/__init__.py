"""The emulator: the system's real processes on loopback, and emulated parties for everything that they talk to.

`emulator.Emulator` puts the parts together, `scenarios` has the faults by name, `rules` checks what the emulated
parties recorded. Programs never import it.
"""
