"""Traffic and processor time of a process, as the kernel counts them."""

import dataclasses
import os
import socket
import struct

_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_DUMP_REQUEST = 0x301
_DONE = 3
_ERROR = 2
_INFO_EXTENSION = 2
_INFO_ATTRIBUTE = 2
_ALL_STATES = 0xFFFFFFFF
_HEADER = struct.Struct('=IHHII')
_REQUEST = struct.Struct('=BBBBI48s')
_MESSAGE_BYTES = 72
_INODE_POSITION = 68
_ATTRIBUTE = struct.Struct('=HH')
_BYTES = struct.Struct('=QQ')
_BYTES_POSITION = 120


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """What a process has used so far.

    :ivar tcp_bytes: sent and received on each open TCP socket, by inode.
    :ivar rss_kb: resident memory now.
    """

    cpu_s: float
    rss_kb: int
    tcp_bytes: dict[int, int]


def read(pid: int) -> Usage:
    """Reads the usage of a process from /proc and the kernel's sockets."""
    mine = _socket_inodes(pid)
    counts = _tcp_bytes()
    return Usage(
        cpu_s=_cpu_s(pid),
        rss_kb=_rss_kb(pid),
        tcp_bytes={i: n for i, n in counts.items() if i in mine},
    )


def bytes_between(before: Usage, after: Usage) -> int:
    """Returns the bytes on sockets that are still open at the end."""
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
        for message in _dump(family):
            inode = struct.unpack_from('=I', message, _INODE_POSITION)[0]
            counts[inode] = _count(message)
    return counts


def _dump(family: int) -> list[bytes]:
    body = _REQUEST.pack(
        family,
        socket.IPPROTO_TCP,
        _INFO_EXTENSION,
        0,
        _ALL_STATES,
        bytes(48),
    )
    size = _HEADER.size + len(body)
    head = _HEADER.pack(size, _SOCK_DIAG_BY_FAMILY, _DUMP_REQUEST, 1, 0)
    messages: list[bytes] = []
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _SOCK_DIAG) as sock:
        sock.settimeout(1.0)
        sock.send(head + body)
        while _split(sock.recv(1 << 20), messages):
            pass
    return messages


def _split(data: bytes, messages: list[bytes]) -> bool:
    """Collects messages; False when the dump has ended."""
    position = 0
    while position < len(data):
        size, kind, _, _, _ = _HEADER.unpack_from(data, position)
        if kind in (_DONE, _ERROR):
            return False
        messages.append(data[position + _HEADER.size : position + size])
        position += (size + 3) & ~3
    return True


def _count(message: bytes) -> int:
    position = _MESSAGE_BYTES
    while position + _ATTRIBUTE.size <= len(message):
        size, kind = _ATTRIBUTE.unpack_from(message, position)
        if kind == _INFO_ATTRIBUTE:
            return sum(
                _BYTES.unpack_from(
                    message, position + _ATTRIBUTE.size + _BYTES_POSITION
                )
            )
        position += max(_ATTRIBUTE.size, (size + 3) & ~3)
    return 0
