"""Finds the process that opened a connection from the kernel's tables of sockets and open files.

This is necessary because all processes connect from the same loopback address and send nothing that identifies them.
The module only reads, and looks only at processes that the emulator started.
"""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Callable, Mapping
from typing import Final

Address = tuple[str, int]

# Constants of a sock_diag(7) query for one socket by its two addresses: TCP over IPv4, any state, no cookie.
NETLINK_SOCK_DIAG: Final = 4
SOCK_DIAG_BY_FAMILY: Final = 20
NLM_F_REQUEST: Final = 1
MESSAGE_HEADER: Final = "=IHHII"
REQUEST_BODY: Final = "=BBBBI"
ANY_STATE: Final = 0xFFFFFFFF
NO_COOKIE: Final = b"\xff" * 8
# The inode follows the header, four state bytes, the socket id and four 32-bit fields.
INODE_OFFSET: Final = struct.calcsize(MESSAGE_HEADER) + 4 + 48 + 16
MAX_REPLY_BYTES: Final = 8192
REPLY_TIMEOUT_S: Final = 1.0  # the kernel replies immediately


def encode_socket_query(local: Address, remote: Address) -> bytes:
    """Encode the netlink query for the socket with these two addresses."""
    socket_id = (
        struct.pack("!HH", local[1], remote[1])
        + b"".join(socket.inet_aton(host).ljust(16, b"\0") for host, _ in (local, remote))
        + bytes(4)
        + NO_COOKIE
    )
    body = struct.pack(REQUEST_BODY, socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY_STATE) + socket_id
    length = struct.calcsize(MESSAGE_HEADER) + len(body)
    return struct.pack(MESSAGE_HEADER, length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0) + body


class ConnectionOwners:
    """Finds the process that opened a connection; `process_names` returns running processes by pid."""

    def __init__(self, process_names: Callable[[], Mapping[int, str]]) -> None:
        self._process_names = process_names
        self._owner_by_inode: dict[int, str] = {}  # socket inodes at the last scan

    def find_owner(self, peer: Address, local: Address) -> str:
        """Return the process that opened the connection from `peer` to `local`, or "" if unknown or exited."""
        inode = self._find_inode(peer, local)
        if not inode:
            return ""
        if inode not in self._owner_by_inode:
            self._scan_processes()
        return self._owner_by_inode.get(inode, "")

    def _find_inode(self, local: Address, remote: Address) -> int:
        """Return the inode of the socket with these two addresses, or 0 if there is none."""
        try:
            with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as netlink:
                netlink.settimeout(REPLY_TIMEOUT_S)
                netlink.send(encode_socket_query(local, remote))
                reply = netlink.recv(MAX_REPLY_BYTES)
        except OSError:
            return 0
        message_type = struct.unpack_from(MESSAGE_HEADER, reply)[1]
        if message_type != SOCK_DIAG_BY_FAMILY:
            return 0  # an error message: the socket does not exist
        return int(struct.unpack_from("=I", reply, INODE_OFFSET)[0])

    def _scan_processes(self) -> None:
        self._owner_by_inode = {}
        for pid, name in self._process_names().items():
            directory = f"/proc/{pid}/fd"
            try:
                descriptors = os.listdir(directory)
            except OSError:
                continue
            for descriptor in descriptors:
                try:
                    target = os.readlink(f"{directory}/{descriptor}")
                except OSError:
                    continue
                if target.startswith("socket:["):
                    inode = int(target.removeprefix("socket:[").removesuffix("]"))
                    self._owner_by_inode[inode] = name
