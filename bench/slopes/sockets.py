"""Bytes that TCP sockets have carried, read from the kernel's socket diagnostics."""

import os
import socket
import struct

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST_DUMP = 0x301
NLMSG_DONE = 3
NLMSG_ERROR = 2
INET_DIAG_INFO = 2
ALL_STATES_BUT_LISTEN = 0xFFFFFFFF & ~(1 << 10)
BYTES_ACKED_OFFSET = 120
BYTES_RECEIVED_OFFSET = 128


def _attributes(data):
    at = 0
    while at + 4 <= len(data):
        length, kind = struct.unpack_from("=HH", data, at)
        if length < 4:
            return
        yield kind, data[at + 4:at + length]
        at += (length + 3) & ~3


def tcp_sockets():
    """Yields (inode, local port, remote port, bytes sent, bytes received) of each TCP socket."""
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as link:
        body = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 1 << (INET_DIAG_INFO - 1),
                           ALL_STATES_BUT_LISTEN) + bytes(48)
        link.send(struct.pack("=IHHII", 16 + len(body), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST_DUMP,
                              1, 0) + body)
        while True:
            data = link.recv(1 << 20)
            at = 0
            while at + 16 <= len(data):
                length, kind = struct.unpack_from("=IH", data, at)
                if kind == NLMSG_DONE:
                    return
                if kind == NLMSG_ERROR:
                    raise OSError("socket diagnostics refused")
                message = data[at + 16:at + length]
                local, remote = struct.unpack_from(">HH", message, 4)
                inode, = struct.unpack_from("=I", message, 68)
                for attribute, value in _attributes(message[72:]):
                    if attribute == INET_DIAG_INFO and len(value) >= BYTES_RECEIVED_OFFSET + 8:
                        sent, received = struct.unpack_from("=QQ", value, BYTES_ACKED_OFFSET)
                        yield inode, local, remote, sent, received
                at += (length + 3) & ~3


def inodes_of(pid):
    """The inodes of a process's sockets."""
    found = set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(f"/proc/{pid}/fd/{name}")
        except OSError:
            continue
        if target.startswith("socket:["):
            found.add(int(target[8:-1]))
    return found


class byte_counter:
    """Sums what the sockets of some processes carried since the first sample, by kind of peer.

    Sockets that open and close between two samples are missed; the last bytes of a closed one too.
    """

    def __init__(self, kinds_by_pid):
        """kinds_by_pid: pid -> function (local port, remote port) -> name of the kind."""
        self.kinds_by_pid = kinds_by_pid
        self.first = None
        self.carried = {}
        self.last = {}

    def sample(self):
        owner = {}
        for pid in self.kinds_by_pid:
            for inode in inodes_of(pid):
                owner[inode] = pid
        now = {}
        for inode, local, remote, sent, received in tcp_sockets():
            if inode in owner:
                pid = owner[inode]
                now[(inode, local, remote)] = (pid, self.kinds_by_pid[pid](local, remote),
                                               sent + received)
        for key, (pid, kind, total) in now.items():
            before = self.last.get(key)
            if self.first is not None:
                since = total - (before if before is not None and before <= total else 0)
                by_kind = self.carried.setdefault(pid, {})
                by_kind[kind] = by_kind.get(kind, 0) + since
        self.first = self.first or True
        self.last = {key: value[2] for key, value in now.items()}
