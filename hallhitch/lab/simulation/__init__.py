"""The control side in virtual time: the programs in service over simulated links, disks and clocks, and a judge.

Used by tests and benchmarks alone. Nothing here decides anything of the system; what it simulates are its surroundings.
"""
