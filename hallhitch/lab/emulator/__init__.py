"""Runs the system's real processes on loopback among emulated clients, backends, platform and operator.

`emulator.Emulator` assembles the parts, `scenarios` lists the fault scenarios by name, and `rules` checks what the
emulated parties recorded. The system's own programs must not import this package.
"""
