"""Whose a connection is: the process of ours that opened it, by the kernel's tables of sockets and open files.

All processes connect from one loopback address, and nothing they say names them. It only reads, and only of processes
that the world has started.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping

TABLE = "/proc/net/tcp"
Address = tuple[str, int]


def shown(address: Address) -> str:
    """An address as the kernel's table writes it.

    >>> shown(("127.0.0.1", 80))
    '0100007F:0050'
    """
    host, port = address
    return "".join(f"{int(part):02X}" for part in reversed(host.split("."))) + f":{port:04X}"


def inode_in(table: str, local: Address, remote: Address) -> str:
    """The inode of the socket with these two ends, "" = none."""
    at = table.find(f" {shown(local)} {shown(remote)} ")
    if at < 0:
        return ""
    return table[at:table.find("\n", at)].split()[8]


class Owners:
    """Finds the owner of a connection. `pids`: the processes there are now, with their names."""

    def __init__(self, pids: Callable[[], Mapping[int, str]]) -> None:
        self._pids = pids
        self._known: dict[str, str] = {}  # by inode, of the last look

    def of(self, peer: Address, here: Address) -> str:
        """Who opened the connection that came from `peer` to `here`; "" = a stranger, or already gone."""
        try:
            with open(TABLE) as file:
                inode = inode_in(file.read(), peer, here)
        except OSError:
            return ""
        if inode in ("", "0"):
            return ""
        if inode not in self._known:
            self._look()
        return self._known.get(inode, "")

    def _look(self) -> None:
        self._known = {}
        for pid, name in self._pids().items():
            folder = f"/proc/{pid}/fd"
            try:
                files = os.listdir(folder)
            except OSError:
                continue
            for file in files:
                try:
                    target = os.readlink(f"{folder}/{file}")
                except OSError:
                    continue
                if target.startswith("socket:["):
                    self._known[target[8:-1]] = name
