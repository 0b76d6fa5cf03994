"""Many gateways with faults between them: time lines, links that fail, members in virtual time, real processes."""
