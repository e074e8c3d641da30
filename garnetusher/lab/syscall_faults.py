"""Injection of faults into the system calls of a process under test.

Faults make calls fail, make reads and writes transfer fewer bytes, or step the wall clock. The process loads
a library through LD_PRELOAD (syscall_faults.c), which is compiled with `cc` on first use. The library and this module
share a memory-mapped file, `FaultTable`, so faults can be added at any time while the process runs.
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
SHORT_TRANSFER = -1  # used instead of an errno: the call transfers fewer bytes than requested
MAX_FAULTS = 64
_HEADER = struct.Struct("=IIq")  # seed, used, wall_clock_offset_ns
_COUNTER = struct.Struct("=q")
_FAULT = struct.Struct("=iiIiqq")  # the fields of `struct fault` in syscall_faults.c
_FOREVER_NS = 1 << 62


class Call(enum.IntEnum):
    """The system calls that can fail, numbered as in `enum call` of syscall_faults.c."""

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
    """The library could not be compiled; the message gives the reason."""


def compile_library() -> Path:
    """Compile the library unless this version of it is already compiled, and return its path.

    Raises:
        CompilerError: If there is no `cc` on PATH, or if it fails.
    """
    compiler = shutil.which("cc")
    if compiler is None:
        raise CompilerError("system call faults need a C compiler: expected `cc` on PATH")
    digest = hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]
    library_path = Path(tempfile.gettempdir()) / f"garnetusher-faults-{os.getuid()}-{digest}.so"
    if not library_path.exists():
        partial_path = library_path.with_suffix(f".{os.getpid()}")
        completed = subprocess.run(
            [compiler, "-shared", "-fPIC", "-O2", "-o", str(partial_path), str(SOURCE), "-ldl"],
            capture_output=True,
            text=True,
            check=False,
        )
        if completed.returncode != 0:
            raise CompilerError(
                f"{SOURCE.name}: cc failed with exit status {completed.returncode}: {completed.stderr.strip()[-500:]}"
            )
        partial_path.replace(library_path)
    return library_path


class FaultTable:
    """The faults of one process, in a file with the layout of `struct fault_table` in syscall_faults.c.

    A table can be created before the process starts, and stays in effect when the process restarts.

    Attributes:
        path: The shared file.
        size: The size of the file in bytes.
        memory: The mapped file.
        used: The number of faults in the table.
    """

    def __init__(self, path: Path, seed: int = 1) -> None:
        self.path = path
        self.size = _HEADER.size + 2 * len(Call) * _COUNTER.size + MAX_FAULTS * _FAULT.size
        path.write_bytes(_HEADER.pack(seed & 0xFFFF_FFFF, 0, 0).ljust(self.size, b"\0"))
        with path.open("r+b") as file:
            self.memory = mmap.mmap(file.fileno(), self.size)
        self.used = 0

    def environment(self) -> dict[str, str]:
        """Return the environment variables with which the process must start."""
        return {"LD_PRELOAD": str(compile_library()), "GARNETUSHER_FAULTS": str(self.path)}

    def inject(
        self, call: Call, error: int, for_s: float = 0.0, count: int = -1, per_mille: int = 1000, after_s: float = 0.0
    ) -> None:
        """Add a fault that makes a system call fail.

        Args:
            call: The system call.
            error: The errno with which it fails, or `SHORT_TRANSFER`.
            for_s: The duration of the fault in seconds; 0 means until `clear`.
            count: The maximum number of calls that fail; a negative number means no limit.
            per_mille: The probability that a call fails while the fault lasts, in thousandths.
            after_s: The time until the fault starts, in seconds.

        Raises:
            ValueError: If the table is full.
        """
        if self.used == MAX_FAULTS:
            raise ValueError(f"fault table: expected at most {MAX_FAULTS} faults for one process")
        from_ns = time.monotonic_ns() + int(after_s * 1e9)
        until_ns = from_ns + int(for_s * 1e9) if for_s > 0 else _FOREVER_NS
        fault = _FAULT.pack(call, error, per_mille, count, from_ns, until_ns)
        offset = self.size - (MAX_FAULTS - self.used) * _FAULT.size  # the faults are at the end of the file
        self.memory[offset : offset + _FAULT.size] = fault
        self.used += 1
        self.memory[4:8] = struct.pack("=I", self.used)  # the field `used`

    def clear(self) -> None:
        """Remove all faults from the table."""
        self.used = 0
        self.memory[4:8] = struct.pack("=I", 0)

    def step_wall_clock(self, seconds: float) -> None:
        """Replace the offset of the wall clock from the true time, in seconds; the monotonic clock is not changed."""
        self.memory[8:16] = struct.pack("=q", int(seconds * 1e9))  # the field `wall_clock_offset_ns`

    def hits(self, call: Call) -> int:
        """Return the number of calls that have failed or transferred fewer bytes because of a fault."""
        return self._counter(_HEADER.size, call)

    def calls(self, call: Call) -> int:
        """Return the number of calls made so far."""
        return self._counter(_HEADER.size + len(Call) * _COUNTER.size, call)

    def _counter(self, start: int, call: Call) -> int:
        offset = start + call * _COUNTER.size
        return int(_COUNTER.unpack(self.memory[offset : offset + _COUNTER.size])[0])


# The errors that Linux documents for each call (section 2 of the manual, ip(7) and tcp(7)), limited to temporary errors
# that a correct program can encounter.
DOCUMENTED_ERRORS: dict[Call, tuple[int, ...]] = {
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
