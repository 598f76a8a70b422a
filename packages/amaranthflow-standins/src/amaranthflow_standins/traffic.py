"""Network traffic, CPU time and memory of a process, from the kernel."""

import dataclasses
import os
import socket
import struct

_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_REQUEST_DUMP_FLAGS = 0x301
_NLMSG_DONE = 3
_NLMSG_ERROR = 2
_INFO_EXTENSION = 2
_INET_DIAG_INFO = 2
_ALL_STATES = 0xFFFFFFFF
_HEADER = struct.Struct('=IHHII')
_REQUEST = struct.Struct('=BBBBI48s')
_MESSAGE_SIZE_BYTES = 72
_INODE_OFFSET = 68
_ATTRIBUTE = struct.Struct('=HH')
_BYTES = struct.Struct('=QQ')
_BYTES_OFFSET = 120


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Resource usage of a process up to now.

    :ivar cpu_s: CPU time in user and kernel mode.
    :ivar rss_kb: resident memory.
    :ivar tcp_bytes: bytes sent and received on each open TCP socket, by
        inode.
    """

    cpu_s: float
    rss_kb: int
    tcp_bytes: dict[int, int]


def read(pid: int) -> Usage:
    """Reads the usage of a process from /proc and the sock_diag interface."""
    inodes = _socket_inodes(pid)
    counts = _tcp_bytes()
    return Usage(
        cpu_s=_cpu_s(pid),
        rss_kb=_rss_kb(pid),
        tcp_bytes={i: n for i, n in counts.items() if i in inodes},
    )


def bytes_between(before: Usage, after: Usage) -> int:
    """Returns the bytes transferred on sockets still open in ``after``."""
    return sum(
        count - before.tcp_bytes.get(inode, 0)
        for inode, count in after.tcp_bytes.items()
    )


def _cpu_s(pid: int) -> float:
    with open(f'/proc/{pid}/stat') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def _rss_kb(pid: int) -> int:
    with open(f'/proc/{pid}/status') as status:
        for line in status:
            if line.startswith('VmRSS:'):
                return int(line.split()[1])
    return 0


def _socket_inodes(pid: int) -> set[int]:
    inodes = set()
    folder = f'/proc/{pid}/fd'
    for name in os.listdir(folder):
        try:
            target = os.readlink(f'{folder}/{name}')
        except OSError:
            continue
        if target.startswith('socket:['):
            inodes.add(int(target[8:-1]))
    return inodes


def _tcp_bytes() -> dict[int, int]:
    counts = {}
    for family in (socket.AF_INET, socket.AF_INET6):
        for message in _dump_sockets(family):
            inode = struct.unpack_from('=I', message, _INODE_OFFSET)[0]
            counts[inode] = _tcp_info_bytes(message)
    return counts


def _dump_sockets(family: int) -> list[bytes]:
    body = _REQUEST.pack(
        family,
        socket.IPPROTO_TCP,
        _INFO_EXTENSION,
        0,
        _ALL_STATES,
        bytes(48),
    )
    size = _HEADER.size + len(body)
    head = _HEADER.pack(size, _SOCK_DIAG_BY_FAMILY, _REQUEST_DUMP_FLAGS, 1, 0)
    messages: list[bytes] = []
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as sock:
        sock.settimeout(1.0)
        sock.send(head + body)
        while _parse_dump(sock.recv(1 << 20), messages):
            pass
    return messages


def _parse_dump(data: bytes, messages: list[bytes]) -> bool:
    """Collects messages; returns False at the end of the dump."""
    offset = 0
    while offset < len(data):
        size, kind, _, _, _ = _HEADER.unpack_from(data, offset)
        if kind in (_NLMSG_DONE, _NLMSG_ERROR):
            return False
        messages.append(data[offset + _HEADER.size : offset + size])
        offset += (size + 3) & ~3
    return True


def _tcp_info_bytes(message: bytes) -> int:
    offset = _MESSAGE_SIZE_BYTES
    while offset + _ATTRIBUTE.size <= len(message):
        size, kind = _ATTRIBUTE.unpack_from(message, offset)
        if kind == _INET_DIAG_INFO:
            return sum(
                _BYTES.unpack_from(
                    message, offset + _ATTRIBUTE.size + _BYTES_OFFSET
                )
            )
        offset += max(_ATTRIBUTE.size, (size + 3) & ~3)
    return 0
