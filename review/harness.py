"""Stand-ins for clients, upstreams, discovery and the platform, and the start of one sidecar, for the cases here.

Only the standard library is used. Every socket is bound to a loopback address and a free port.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
ZONES = ["pacheco", "barracas", "ezeiza"]
LAST_CHUNK = b"0\r\n\r\n"
EMPTY_LINE_INTERVAL_S = 2.0  # of a watch on which nothing changes
READY_TIMEOUT_S = 10.0
CASE_TIMEOUT_S = 107.0
HELD, BROKEN, NOT_RUN = 0, 10, 2  # exit statuses of a case; `run.sh` turns 10 into 1, and all others into 2


class CaseError(Exception):
    """The case could not run as it is meant to."""


class Record:
    """The lines of `record.txt`: what was sent, answered and run, with the seconds since the start of the case.

    Attributes:
        trouble: whether the disruption happens in this run.
    """

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start_s:8.3f} {text}\n")
        self._file.flush()


@dataclass
class HttpMessage:
    """One message as it was read: its first line, its headers by lower-case name, and its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> str:
        """The status code of a response."""
        return self.first_line.split(" ")[1]

    @property
    def request_id(self) -> str:
        """The id of a request."""
        return self.headers.get("x-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> HttpMessage:
    """Read the first line and the headers of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:-2])
    return HttpMessage(lines[0], {name.strip().lower(): value.strip() for name, _, value in fields})


async def read_body(reader: asyncio.StreamReader, head: HttpMessage) -> bytes:
    """Read the body of a message; without a length, a request has none and a response ends with the connection."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return bytes(body)
    if "content-length" in head.headers:
        return await reader.readexactly(int(head.headers["content-length"]))
    return await reader.read(-1) if head.first_line.startswith("HTTP/") else b""


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read one whole message."""
    head = await read_head(reader)
    head.body = await read_body(reader, head)
    return head


def response_body(request_id: str) -> bytes:
    """Return the body that an upstream makes for a request: it names the request."""
    return f"served {request_id}".encode()


def response(request: HttpMessage) -> bytes:
    """Return the response 200 to a request."""
    body = response_body(request.request_id)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


Respond = Callable[[HttpMessage, asyncio.StreamWriter], Awaitable[None]]
Case = Callable[[Path, Record], Awaitable[bool]]


async def respond_once(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """Answer a request as a sound upstream does."""
    writer.write(response(request))
    await writer.drain()


def use_default_socket_options(writer: asyncio.StreamWriter) -> None:
    """Undo TCP_NODELAY, which only this library sets by itself; a plain TCP socket does not have it."""
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)


@dataclass
class Upstream:
    """An upstream of the pages: it runs a request from its last byte on, one at a time on each connection.

    Attributes:
        name: its uid in the list of discovery.
        zone: its zone in the list of discovery.
        record: where each request is written.
        work_s: how long a request takes.
        respond: writes the response to a request.
        runs: how often each request was run, by its id.
        running: cleared while the process hangs: it then accepts connections, reads nothing and answers nothing.
    """

    name: str
    zone: str
    record: Record
    work_s: float = 0.03
    respond: Respond = respond_once
    runs: dict[str, int] = field(default_factory=dict)
    running: asyncio.Event = field(default_factory=asyncio.Event)
    port: int = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.running.set()
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, object]:
        """Return the entry of this upstream in the list of discovery."""
        return {
            "uid": self.name,
            "endpoint": f"{HOST}:{self.port}",
            "az": self.zone,
            "model": "nodo-estandar",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                await self.running.wait()
                request = await read_head(reader)
                await self.running.wait()
                request.body = await read_body(reader, request)
                await self.running.wait()
                self.runs[request.request_id] = self.runs.get(request.request_id, 0) + 1
                self.record.write(f"{self.name} runs {request.request_id} ({len(request.body)} bytes)")
                await asyncio.sleep(self.work_s)
                await self.respond(request, writer)
        writer.close()


async def start_upstreams(number: int, record: Record, respond: Respond = respond_once) -> list[Upstream]:
    """Start upstreams, spread over the zones in turn."""
    upstreams = [Upstream(f"s-{index}", ZONES[index % len(ZONES)], record, respond=respond) for index in range(number)]
    for upstream in upstreams:
        await upstream.start()
    return upstreams


class Discovery:
    """The agent of the pages: it answers a watch at once with the whole list, then with an empty line every 2 s."""

    def __init__(self, upstreams: list[Upstream], record: Record) -> None:
        self.record = record
        self.port = 0
        self._upstreams = upstreams

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def document(self) -> dict[str, object]:
        """Return the whole list."""
        return {"rev": 1, "all": True, "targets": [upstream.entry() for upstream in self._upstreams]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            request = await read_head(reader)
            self.record.write(f"discovery answers {request.first_line}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(self.document()).encode()
            while True:
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
                await writer.drain()
                await asyncio.sleep(EMPTY_LINE_INTERVAL_S)
                line = b""
        writer.close()


def _request_class(name: str, aim_ms: int, deadline_ms: int, effect: str) -> dict[str, object]:
    return {
        "name": name,
        "aim": aim_ms * 1000,
        "deadline": deadline_ms * 1000,
        "effect": effect,
        "group": "all",
        "late-worth": 0.0,
        "memory-span": 5000000,
        "stream": False,
        "worth": 5.0 if effect == "at_most_once" else 3.0,
    }


def registro_settings() -> dict[str, object]:
    """Return the settings of the site registro-camara, as the page of the wire lists them, with one tenant."""
    return {
        "accounts": [{"name": "sistemas-delta", "share": 1.0, "allowance-per-s": 281.0}],
        "areas": ZONES,
        "locality": 0,
        "kinds": ["nodo-estandar"],
        "family": "mesh",
        "bounds": {
            "cancel": True,
            "conn-idle": 5000000,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 50000,
            "dial-timeout": 200000,
            "max-open": 20000,
            "max-retry-after": 2000000,
            "most-tries": 3,
            "multiplex": 1,
            "peers": False,
            "probes": True,
            "retry-after": True,
            "second-copies": True,
        },
        "client-habits": {"marks-retry": True},
        "fees": {"cross-zone": 0.022},
        "granularity": 5000,
        "instances": 2,
        "self-index": 0,
        "invariants": {
            "answer-slack": 20000,
            "ask-within": 10000000,
            "cold-share": 0.13,
            "drain-grace": 1000000,
            "fall": 3000000,
            "overload-factor": 3.0,
            "warm-up": 24000000,
        },
        "over-share-worth": 0.2,
        "registry-mode": "pushed",
        "report": {"how": "none", "names": []},
        "specifics": {"warm-keys": False},
        "value-by": "request",
        "weights": "rough",
        "request-classes": [
            _request_class("manifest-read", 400, 1500, "idempotent"),
            _request_class("tag-write", 400, 1000, "idempotent"),
            _request_class("version-publish", 600, 2000, "at_most_once"),
        ],
    }


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Sidecar:
    """One sidecar, started with `run` of the deploy file; leaving the context ends it.

    Attributes:
        port: the port at which clients connect.
        memory_mb: the limit on memory that its configuration states.
        process: the process of the sidecar.
    """

    process: asyncio.subprocess.Process

    def __init__(self, folder: Path, discovery: Discovery, memory_mb: int = 80, sockets: int = 384) -> None:
        self.port = _free_port()
        self.memory_mb = memory_mb
        self._folder = folder
        self._environment = {
            "PATH": os.environ.get("PATH", os.defpath),
            "BALANCER_NAME": "n1",
            "BALANCER_LISTEN": f"{HOST}:{self.port}",
            "BALANCER_DISCOVERY": f"{HOST}:{discovery.port}",
            "BALANCER_CONFIG": str(folder / "config.json"),
            "TMPDIR": str(folder / "tmp"),
        }
        configuration = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.document(),
            "settings": registro_settings(),
        }
        (folder / "tmp").mkdir()
        (folder / "config.json").write_text(json.dumps(configuration), encoding="utf-8")

    async def __aenter__(self) -> Sidecar:
        """Start the process and wait until `GET /up` answers 200."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        with (self._folder / "sidecar.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=self._environment, stdout=log, stderr=log
            )
        try:
            await self._wait_until_ready()
        except BaseException:  # also a cancellation: nobody leaves a context that was not entered
            await self.stop()
            raise
        return self

    async def _wait_until_ready(self) -> None:
        ready_by_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < ready_by_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await self._is_ready():
                    return
            await asyncio.sleep(0.1)
        text = f"the sidecar is not ready after {READY_TIMEOUT_S} s: {self.log()}"
        raise CaseError(text)

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End the process."""
        await self.stop()

    async def _is_ready(self) -> bool:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
        try:
            return (await read_message(reader)).status == "200"
        finally:
            writer.close()

    async def stop(self) -> None:
        """End the process with SIGTERM, or SIGKILL after 5 s."""
        if self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 5)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    def own_memory_mb(self) -> float:
        """Return the memory that belongs to this process alone: anonymous pages, without files and libraries."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii").splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        text = "the kernel does not report RssAnon"
        raise CaseError(text)

    def log(self) -> str:
        """Return what the process has written so far."""
        return (self._folder / "sidecar.log").read_text(encoding="utf-8", errors="replace")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client's connection."""
        return await asyncio.open_connection(HOST, self.port)


def request_head(class_name: str, request_id: str, deadline_ms: int, framing: str = "") -> bytes:
    """Return the head of a client's request; `framing` is its Content-Length or Transfer-Encoding header, if any."""
    lines = [
        f"{'POST' if framing else 'GET'} /{class_name} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        f"X-Class: {class_name}",
        "X-Tenant: sistemas-delta",
        f"X-Deadline-Ms: {deadline_ms}",
        *([framing] if framing else []),
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def chunked(body: bytes, size: int = 65536) -> bytes:
    """Return a body in chunked transfer coding."""
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + LAST_CHUNK


async def _run(case: Case, record: Record) -> bool:
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await case(Path(folder), record)


def main(file: str, case: Case) -> int:
    """Run a case and return its exit status.

    Args:
        file: the file of the case; `record.txt` is written beside it.
        case: the case. It gets a temporary folder and the record, and returns whether the rule held.
    """
    record = Record(Path(file).resolve().parent)
    record.write(f"disruption: {'yes' if record.trouble else 'no'}")
    try:
        held = asyncio.run(_run(case, record))
    except (Exception, asyncio.CancelledError) as error:  # whatever stops a case, its rule has not been checked
        record.write(f"could not run: {error!r}\n{traceback.format_exc()}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    record.write("held" if held else "BROKEN")
    print("held" if held else "BROKEN")
    return HELD if held else BROKEN
