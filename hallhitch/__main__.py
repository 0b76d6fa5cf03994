"""`python -m hallhitch`: the platform's gateway, or with a subcommand the command line.

The gateway's way through here imports nothing of the hosted parts.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Run what the first argument asks for; an option or nothing means the gateway."""
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        from hallhitch.cli.main import main as command_line

        return command_line()
    from hallhitch.gateway import main as gateway

    return gateway()


if __name__ == "__main__":
    sys.exit(main())
