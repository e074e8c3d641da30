"""Fails system calls of a process under test, shortens its reads and writes, and steps its wall clock.

The process is started with a library in LD_PRELOAD (syscall_faults.c), which is compiled with `cc` when it is first
wanted. It and this module share a file: a `FaultBoard`, on which faults can be put at any time while the process runs.
"""

from __future__ import annotations

import enum
import errno
import hashlib
import mmap
import os
import shutil
import struct
import subprocess
import tempfile
import time
from pathlib import Path

SOURCE = Path(__file__).with_name("syscall_faults.c")
SHORT_TRANSFER = -1  # in place of an error: fewer bytes are moved than were asked for
MOST_FAULTS = 64
_HEAD = struct.Struct("=IIq")
_COUNT = struct.Struct("=q")
_RECORD = struct.Struct("=iiIiqq")
_FOREVER_NS = 1 << 62


class Call(enum.IntEnum):
    """The calls that can be made to fail, by their place in the library."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    BIND = 3
    LISTEN = 4
    RECV = 5
    SEND = 6
    EPOLL_WAIT = 7
    EPOLL_CTL = 8
    EPOLL_CREATE = 9
    SETSOCKOPT = 10
    GETSOCKOPT = 11
    SHUTDOWN = 12
    POLL = 13
    OPEN = 14
    WRITE = 15


class CompilerError(RuntimeError):
    """The library could not be compiled; `str` says why."""


def library() -> Path:
    """The compiled library; raises CompilerError where there is no working `cc`."""
    compiler = shutil.which("cc")
    if compiler is None:
        raise CompilerError("faults in system calls need a C compiler: expected `cc` on PATH")
    digest = hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]
    built = Path(tempfile.gettempdir()) / f"garnetusher-faults-{os.getuid()}-{digest}.so"
    if not built.exists():
        partial = built.with_suffix(f".{os.getpid()}")
        done = subprocess.run(
            [compiler, "-shared", "-fPIC", "-O2", "-o", str(partial), str(SOURCE), "-ldl"],
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode != 0:
            raise CompilerError(f"{SOURCE.name}: cc ended with {done.returncode}: {done.stderr.strip()[-500:]}")
        partial.replace(built)
    return built


class FaultBoard:
    """The faults of one process; may be made before it starts and outlives its restarts."""

    def __init__(self, path: Path, seed: int = 1) -> None:
        self.path = path
        self.size = _HEAD.size + 2 * len(Call) * _COUNT.size + MOST_FAULTS * _RECORD.size
        path.write_bytes(_HEAD.pack(seed & 0xFFFF_FFFF, 0, 0).ljust(self.size, b"\0"))
        with path.open("r+b") as file:
            self.memory = mmap.mmap(file.fileno(), self.size)
        self.used = 0

    def environment(self) -> dict[str, str]:
        """What the process has to be told."""
        return {"LD_PRELOAD": str(library()), "GARNETUSHER_FAULTS": str(self.path)}

    def inject(
        self, call: Call, error: int, for_s: float = 0.0, count: int = -1, per_mille: int = 1000, after_s: float = 0.0
    ) -> None:
        """Fail a call with this errno, from `after_s` on: for some seconds (0: for good), `count` times at the most
        (negative: any number), and of the calls in that time so many in a thousand."""
        if self.used == MOST_FAULTS:
            raise ValueError(f"expected at most {MOST_FAULTS} faults for one process")
        from_ns = time.monotonic_ns() + int(after_s * 1e9)
        until_ns = from_ns + int(for_s * 1e9) if for_s > 0 else _FOREVER_NS
        record = _RECORD.pack(call, error, per_mille, count, from_ns, until_ns)
        place = self.size - (MOST_FAULTS - self.used) * _RECORD.size
        self.memory[place : place + _RECORD.size] = record
        self.used += 1
        self.memory[4:8] = struct.pack("=I", self.used)

    def clear(self) -> None:
        """Let all calls through again."""
        self.used = 0
        self.memory[4:8] = struct.pack("=I", 0)

    def step_wall_clock(self, seconds: float) -> None:
        """Move the wall clock away from the true time by so much; the monotonic clock runs on."""
        self.memory[8:16] = struct.pack("=q", int(seconds * 1e9))

    def hits(self, call: Call) -> int:
        """How many calls were changed so far."""
        return self._counter(_HEAD.size, call)

    def calls(self, call: Call) -> int:
        """How many calls were made so far."""
        return self._counter(_HEAD.size + len(Call) * _COUNT.size, call)

    def _counter(self, start: int, call: Call) -> int:
        place = start + call * _COUNT.size
        return int(_COUNT.unpack(self.memory[place : place + _COUNT.size])[0])


# What Linux documents for each call and what can happen to a correct program for a moment (man 2 and 7 ip, tcp).
DOCUMENTED: dict[Call, tuple[int, ...]] = {
    Call.ACCEPT: (
        errno.EAGAIN,
        errno.EINTR,
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
    ),
    Call.SOCKET: (errno.EACCES, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    Call.CONNECT: (
        errno.EACCES,
        errno.EPERM,
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ECONNREFUSED,
        errno.EINTR,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EHOSTUNREACH,
        errno.ENOBUFS,
    ),
    Call.BIND: (errno.EACCES, errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENOMEM),
    Call.LISTEN: (errno.EADDRINUSE,),
    Call.RECV: (
        errno.EAGAIN,
        errno.EINTR,
        errno.ENOMEM,
        errno.ECONNRESET,
        errno.ETIMEDOUT,
        errno.EHOSTUNREACH,
        SHORT_TRANSFER,
    ),
    Call.SEND: (
        errno.EAGAIN,
        errno.EINTR,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ECONNRESET,
        errno.EPIPE,
        errno.ETIMEDOUT,
        errno.EHOSTUNREACH,
        SHORT_TRANSFER,
    ),
    Call.EPOLL_WAIT: (errno.EINTR,),
    Call.EPOLL_CTL: (errno.ENOMEM, errno.ENOSPC),
    Call.EPOLL_CREATE: (errno.EMFILE, errno.ENFILE, errno.ENOMEM),
    Call.SETSOCKOPT: (errno.ENOMEM, errno.ENOBUFS),
    Call.GETSOCKOPT: (errno.ENOBUFS,),
    Call.SHUTDOWN: (errno.ENOTCONN,),
    Call.POLL: (errno.EINTR, errno.ENOMEM),
    Call.OPEN: (errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.ENOENT),
    Call.WRITE: (errno.EAGAIN, errno.EINTR, errno.EIO, errno.ENOSPC, errno.EPIPE),
}
