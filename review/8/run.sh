#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruption. Needs the build of deploy/system.toml.
exec python3 "$(dirname "$0")/case.py"
