"""`python -m hallhitch` starts the platform's gateway; with a subcommand it runs the command line.

The gateway must not import the packages of the hosted service, so both are imported only when they are used.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Run the command line if the first argument is a subcommand, the gateway otherwise; return the exit code."""
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        from hallhitch.cli.main import main as run_command_line

        return run_command_line()
    from hallhitch.gateway import main as run_gateway

    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
