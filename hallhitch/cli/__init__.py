"""The command line, built with click: it parses arguments, prints results and sets exit codes."""
