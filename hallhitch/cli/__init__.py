"""The commands, on click: arguments, tables, exit codes. It decides nothing."""
