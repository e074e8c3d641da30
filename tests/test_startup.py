"""Tests of the program that the deploy file starts: readiness, SIGTERM and an invalid configuration."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.net import (
    OK,
    TEST_TIMEOUT_S,
    Discovery,
    Upstream,
    entry,
    listing,
    read_message,
    request,
    until,
    wait_for_listener,
)
from tests.processes import program, write_configuration
from tests.runner import run


def test_program_is_ready_and_exits_with_0_when_it_receives_sigterm(tmp_path: Path) -> None:
    path = write_configuration(tmp_path)
    port = int(json.loads(path.read_text())["listen"].split(":")[1])
    with program(path) as process:
        response, deadline_s = b"", time.monotonic() + TEST_TIMEOUT_S
        while not response and time.monotonic() < deadline_s:
            assert process.poll() is None
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=TEST_TIMEOUT_S) as sock:
                    sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    response = sock.recv(100)
            except ConnectionRefusedError:
                time.sleep(0.02)
        assert response.startswith(b"HTTP/1.1 200 ")
        process.send_signal(signal.SIGTERM)
        assert process.wait(TEST_TIMEOUT_S) == 0


def test_program_answers_all_executed_requests_when_it_receives_sigterm_under_load(tmp_path: Path) -> None:
    async def slow(upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        writer.write(OK)

    async def client(name: int, port: int, stopped: asyncio.Event, answered: set[str]) -> None:
        """Send requests one after another until the connection closes, which may only happen once `stopped` is set."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in range(10_000):
            request_id = f"{name}-{number}"
            try:
                writer.write(request("pay", request_id, b"b"))
                head, _ = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                assert stopped.is_set()  # the sidecar closed the connection between requests
                break
            answered.add(request_id)
            if b"Connection: close" in head:
                assert stopped.is_set()
                break
        writer.close()

    async def test() -> None:
        upstreams = [Upstream(slow) for _ in range(4)]
        for upstream in upstreams:
            await upstream.start()
        known = listing(*(entry(f"u{i}", upstream.port) for i, upstream in enumerate(upstreams)))
        path = write_configuration(tmp_path, known=known)
        port = int(json.loads(path.read_text())["listen"].split(":")[1])
        stopped, answered = asyncio.Event(), set[str]()
        with program(path) as process:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await wait_for_listener(port)
                async with asyncio.TaskGroup() as group:
                    for name in range(8):
                        group.create_task(client(name, port, stopped, answered))
                    await asyncio.sleep(0.5)
                    stopped.set()
                    process.send_signal(signal.SIGTERM)
                assert await asyncio.to_thread(process.wait, TEST_TIMEOUT_S) == 0
        for upstream in upstreams:
            upstream.stop()
        executed = {
            head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
            for upstream in upstreams
            for head, _ in upstream.requests
        }
        assert executed
        assert executed <= answered

    asyncio.run(test())


@pytest.mark.parametrize("changes", [{"listen": "nowhere"}, {"settings": {}}, {"limits": {}}])
def test_program_exits_with_one_line_when_the_file_is_malformed(tmp_path: Path, changes: dict[str, Any]) -> None:
    with program(write_configuration(tmp_path, **changes)) as process:
        _, errors = process.communicate(timeout=TEST_TIMEOUT_S)
        assert process.returncode == 2
        assert len(errors.splitlines()) == 1


def test_program_applies_the_new_file_when_sighup_arrives_while_it_still_reads_the_old_one(tmp_path: Path) -> None:
    """An operator who replaces the file of a whole fleet does not know which sidecars are just starting."""

    async def test() -> None:
        discovery = Discovery()
        await discovery.start()
        path = write_configuration(tmp_path)
        old_file = path.read_text()
        new_file = tmp_path / "new.json"
        new_file.write_text(json.dumps(json.loads(old_file) | {"discovery": f"127.0.0.1:{discovery.port}"}))
        path.unlink()
        os.mkfifo(path)
        with program(path) as process:
            pipe = await open_pipe_when_it_is_read(path, lambda: process.poll() is None)
            new_file.replace(path)
            process.send_signal(signal.SIGHUP)
            with os.fdopen(pipe, "w") as writer:
                writer.write(old_file)
            await until(lambda: bool(discovery.watch_requests) or process.poll() is not None)
            assert process.poll() is None
        discovery.stop()

    run(test)


async def open_pipe_when_it_is_read(path: Path, is_alive: Callable[[], bool]) -> int:
    """Wait until a program opens a named pipe for reading, and return a descriptor for writing."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while True:
            assert is_alive()
            try:
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError as error:
                if error.errno != errno.ENXIO:  # nobody reads yet
                    raise
            await asyncio.sleep(0.005)
