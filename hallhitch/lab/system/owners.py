"""Whose a connection is: the process of ours that opened it, by what the kernel tells of sockets and open files.

All processes connect from one loopback address, and nothing they say names them. It only reads, and of processes only
those that the world has started.
"""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Callable, Mapping

Address = tuple[str, int]
# One socket asked of the kernel by its two ends (sock_diag(7)): TCP over IPv4, any state, no cookie.
SOCK_DIAG, BY_FAMILY, REQUEST = 4, 20, 1
HEAD, WHAT, NO_COOKIE = "=IHHII", "=BBBBI", b"\xff" * 8
INODE_AT = struct.calcsize(HEAD) + 4 + 48 + 16  # header, states, ends, four figures


def question(local: Address, remote: Address) -> bytes:
    """What is asked of the kernel about the socket with these two ends."""
    ends = (
        struct.pack("!HH", local[1], remote[1])
        + b"".join(socket.inet_aton(host).ljust(16, b"\0") for host, _ in (local, remote))
        + bytes(4)
        + NO_COOKIE
    )
    body = struct.pack(WHAT, socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF) + ends
    return struct.pack(HEAD, struct.calcsize(HEAD) + len(body), BY_FAMILY, REQUEST, 1, 0) + body


class Owners:
    """Finds the owner of a connection. `pids`: the processes there are now, with their names."""

    def __init__(self, pids: Callable[[], Mapping[int, str]]) -> None:
        self._pids = pids
        self._known: dict[int, str] = {}  # by inode, of the last look

    def of(self, peer: Address, here: Address) -> str:
        """Who opened the connection that came from `peer` to `here`; "" = a stranger, or already gone."""
        inode = self._inode(peer, here)
        if not inode:
            return ""
        if inode not in self._known:
            self._look()
        return self._known.get(inode, "")

    def _inode(self, local: Address, remote: Address) -> int:
        try:
            with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, SOCK_DIAG) as asked:
                asked.settimeout(1.0)
                asked.send(question(local, remote))
                told = asked.recv(8192)
        except OSError:
            return 0
        if struct.unpack_from(HEAD, told)[1] != BY_FAMILY:
            return 0  # an error: there is none
        return int(struct.unpack_from("=I", told, INODE_AT)[0])

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
                    self._known[int(target[8:-1])] = name
