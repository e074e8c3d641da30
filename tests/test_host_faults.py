"""Tests the sidecar process on a host with faults: system calls that fail for a moment, pauses, a wrong wall clock."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from garnetusher.lab.syscall_faults import Call
from garnetusher.sidecar.discovery.watch import SILENCE_TIMEOUT_S
from garnetusher.sidecar.sockets import EPOLL_RETRY_TIMEOUT_S
from tests.faulty_host import sidecar_on_faulty_host
from tests.net import (
    OK,
    TEST_TIMEOUT_S,
    Discovery,
    Upstream,
    entry,
    listing,
    read_message,
    request,
    respond_with,
    wait_for_listener,
)
from tests.processes import SETTINGS, program, write_configuration
from tests.runner import run, status
from tests.test_interleaving_stop import full_backlog_port

DEADLINE_SLACK_MS = 150  # the tolerance of X-Deadline-Ms above the time that remains to the client
BOUNDS_WITH_LONG_CONNECT_TIMEOUT = SETTINGS["bounds"] | {"dial-timeout": 3_000_000}
LONG_TIMEOUT_SETTINGS: dict[str, Any] = SETTINGS | {
    "bounds": BOUNDS_WITH_LONG_CONNECT_TIMEOUT | {"second-copies": False},
    "request-classes": [
        {"name": name, "aim": 1_400_000, "deadline": 1_500_000, "effect": effect, "worth": 1.0}
        for name, effect in (("pay", "at_most_once"), ("read", "idempotent"))
    ],
}


@contextlib.contextmanager
def listener_with_full_backlog() -> Iterator[tuple[socket.socket, list[socket.socket]]]:
    """Provide a listener whose backlog is full, and the connections that fill it.

    Another connection is established 1 s later, when the kernel repeats its SYN, if the backlog is empty by then.
    """
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        fillers = [stack.enter_context(socket.socket()) for _ in range(2)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener, fillers


def deadline_header_ms(head: bytes) -> int:
    line = next(line for line in head.split(b"\r\n") if line.lower().startswith(b"x-deadline-ms:"))
    return int(line.split(b":")[1])


async def head_of_late_attempt(folder: Path, data: bytes) -> tuple[bytes, float]:
    """Return the first bytes that an upstream reads when connecting takes 1 s, and the seconds since the request."""
    loop = asyncio.get_running_loop()
    with listener_with_full_backlog() as (listener, fillers):
        async with sidecar_on_faulty_host(
            folder, settings=LONG_TIMEOUT_SETTINGS, known=listing(entry("u", listener.getsockname()[1]))
        ) as running:
            _, writer = await running.connect()
            sent_at_s = time.monotonic()
            writer.write(data)
            await asyncio.sleep(0.2)
            listener.setblocking(False)
            for filler in fillers:
                with contextlib.suppress(BlockingIOError):
                    listener.accept()[0].close()  # accepts only the fillers; the next connection is the sidecar's
                filler.close()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                head = b""
                while not head:
                    sock, _ = await loop.sock_accept(listener)
                    with sock:
                        head = await loop.sock_recv(sock, 65536)
            writer.close()
    return head, time.monotonic() - sent_at_s


@pytest.mark.parametrize(
    "data", [request("read", deadline_ms=1500), request("pay", "1", b"x" * 150_000, 1500)], ids=["short", "long body"]
)
def test_deadline_header_is_the_time_remaining_at_the_write_when_the_connection_is_established_late(
    tmp_path: Path, data: bytes
) -> None:
    async def test() -> None:
        head, elapsed_s = await head_of_late_attempt(tmp_path, data)
        remaining_ms = 1500 - elapsed_s * 1000
        assert remaining_ms < 1000  # the connection was established late
        assert deadline_header_ms(head) <= remaining_ms + DEADLINE_SLACK_MS

    run(test)


def test_long_body_is_answered_in_time_when_it_is_complete_but_its_upstream_accepts_no_connection(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        with full_backlog_port() as port:
            async with sidecar_on_faulty_host(
                tmp_path, settings=LONG_TIMEOUT_SETTINGS, known=listing(entry("u", port))
            ) as running:
                sent_at_s = time.monotonic()
                assert await running.send_request(request("pay", "1", b"x" * 150_000, 1500)) == 503
                assert time.monotonic() - sent_at_s < 1.5 + 0.05

    run(test)


@pytest.mark.parametrize("class_name", ["read", "pay"])
def test_request_is_not_forwarded_when_its_client_left_while_the_process_was_stopped(
    tmp_path: Path, class_name: str
) -> None:
    async def test() -> None:
        upstream = Upstream(respond_with(OK))
        await upstream.start()
        async with sidecar_on_faulty_host(
            tmp_path, settings=LONG_TIMEOUT_SETTINGS, known=listing(entry("u", upstream.port))
        ) as running:
            async with running.paused(0.3):
                for number in range(10):
                    running.send_and_close(
                        request(class_name, f"left-{number}", b"b" if class_name == "pay" else b"", 1500)
                    )
            await asyncio.sleep(0.2)
            assert (
                await running.send_request(request(class_name, "stays", b"b" if class_name == "pay" else b"", 1500))
                == 200
            )
        assert [b"left-" in head for head, _ in upstream.requests] == [False]
        upstream.stop()

    run(test)


async def time_for_two_requests_s(folder: Path, error: int) -> float:
    """Return how long two consecutive requests take when accept fails once for the first of them."""
    upstream = Upstream(respond_with(OK))
    await upstream.start()
    async with sidecar_on_faulty_host(
        folder, settings=LONG_TIMEOUT_SETTINGS, known=listing(entry("u", upstream.port))
    ) as running:
        await asyncio.sleep(0.1)  # the event loop must wait again after the check that the listener is up
        running.faults.inject(Call.ACCEPT, error, count=1)
        sent_at_s = time.monotonic()
        for number in range(2):  # the listener of asyncio would accept the first connection and then pause for 1 s
            assert await running.send_request(request("read", str(number), deadline_ms=1500)) == 200
        assert running.faults.hits(Call.ACCEPT) == 1
    upstream.stop()
    return time.monotonic() - sent_at_s


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_accept_is_retried_soon_when_resources_are_short_for_a_moment(tmp_path: Path, error: int) -> None:
    run(lambda: assert_served_soon(tmp_path, error))


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.EPERM, errno.EPROTO, errno.ENETUNREACH, errno.ETIMEDOUT])
def test_accept_is_retried_soon_when_one_connection_fails(tmp_path: Path, error: int) -> None:
    run(lambda: assert_served_soon(tmp_path, error))


async def assert_served_soon(folder: Path, error: int) -> None:
    assert await time_for_two_requests_s(folder, error) < 0.6


def test_clients_are_answered_when_accept_fails_at_the_end_of_the_process(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(respond_with(OK))
        await upstream.start()
        async with sidecar_on_faulty_host(
            tmp_path, settings=LONG_TIMEOUT_SETTINGS, known=listing(entry("u", upstream.port))
        ) as running:
            running.faults.inject(Call.ACCEPT, errno.ENFILE, for_s=0.7)
            clients = [await running.connect()]
            await asyncio.sleep(0.1)
            running.process.send_signal(signal.SIGTERM)
            for _ in range(3):  # the platform may route new connections here for up to 0.4 s after SIGTERM
                clients.append(await running.connect())
                await asyncio.sleep(0.1)
            for number, (_, writer) in enumerate(clients):
                writer.write(request("read", str(number), deadline_ms=1500))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                statuses = [status(await read_message(reader)) for reader, _ in clients]
            assert set(statuses) <= {200, 503}
            assert await asyncio.to_thread(running.process.wait) == 0
            assert running.process.stderr is not None
            errors = running.process.stderr.read().decode()
            assert "Traceback" not in errors, errors
        upstream.stop()

    run(test)


def slow_start_settings(**bounds: Any) -> dict[str, Any]:
    """Return LONG_TIMEOUT_SETTINGS with a long slow start of upstreams."""
    invariants = LONG_TIMEOUT_SETTINGS["invariants"] | {
        "cold-share": 0.13,
        "warm-up": 24_000_000,
        "overload-factor": 3.0,
        "fall": 3_000_000,
    }
    return LONG_TIMEOUT_SETTINGS | {
        "invariants": invariants,
        "registry-mode": "pushed",
        "bounds": LONG_TIMEOUT_SETTINGS["bounds"] | bounds,
    }


@pytest.mark.parametrize("step_s", [0.0, 10.0, 3600.0, -3600.0])
def test_upstream_that_has_just_started_counts_as_warming_when_the_wall_clock_is_wrong(
    tmp_path: Path, step_s: float
) -> None:
    async def test() -> None:
        warm, cold = Upstream(respond_with(OK)), Upstream(respond_with(OK))
        await warm.start()
        await cold.start()
        known = listing(
            entry("w0", warm.port), entry("w1", warm.port), entry("cold", cold.port, boot_ms=int(time.time() * 1000))
        )
        async with sidecar_on_faulty_host(tmp_path, step_s, settings=slow_start_settings(), known=known) as running:
            reader, writer = await running.connect()
            for number in range(90):
                writer.write(request("read", str(number), deadline_ms=1500))
                await read_message(reader)
            writer.close()
        assert len(warm.requests) > 70
        assert len(cold.requests) <= 15  # a warm upstream would get a third of the requests
        warm.stop()
        cold.stop()

    run(test)


async def wait_for_watch(discovery: Discovery) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await discovery.wait_for_watch()


@pytest.mark.parametrize("fault_kind", ["half written", "no descriptor left"])
def test_reload_is_retried_when_the_new_file_cannot_be_read_yet(tmp_path: Path, fault_kind: str) -> None:
    """A sidecar that keeps the old address of discovery gets no updates from there and misses all later drains."""

    async def test() -> None:
        old, new = Discovery(), Discovery()
        await old.start()
        await new.start()
        async with sidecar_on_faulty_host(tmp_path, discovery=f"127.0.0.1:{old.port}") as running:
            await wait_for_watch(old)
            text = running.config.read_text().replace(f"127.0.0.1:{old.port}", f"127.0.0.1:{new.port}")
            if fault_kind == "half written":
                running.config.write_text(text[:-100])
            else:
                running.config.write_text(text)
                running.faults.inject(Call.OPEN, errno.ENFILE, for_s=0.3)
            running.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            running.config.write_text(text)
            await wait_for_watch(new)
        old.stop()
        new.stop()

    run(test)


def test_slot_is_released_when_a_client_connection_cannot_be_shut_down(tmp_path: Path) -> None:
    """A failing shutdown of a client connection after its response must not occupy a slot or delay the process exit."""

    async def test() -> None:
        upstream = Upstream(respond_with(OK))
        await upstream.start()
        async with sidecar_on_faulty_host(
            tmp_path, settings=LONG_TIMEOUT_SETTINGS, known=listing(entry("u", upstream.port))
        ) as running:
            running.faults.inject(Call.SHUTDOWN, errno.ENOTCONN)
            for number in range(8):  # more requests than an upstream has slots
                closing_request = request("read", str(number), deadline_ms=1500, extra="Connection: close\r\n")
                assert await running.send_request(closing_request) == 200, number
        upstream.stop()

    run(test)


@pytest.mark.parametrize("body", [b"b", b"x" * 150_000], ids=["short", "long body"])
def test_request_on_a_new_connection_has_less_time_remaining_when_the_process_was_stopped(
    tmp_path: Path, body: bytes
) -> None:
    async def test() -> None:
        upstream = Upstream(respond_with(OK))
        await upstream.start()
        async with sidecar_on_faulty_host(
            tmp_path, settings=LONG_TIMEOUT_SETTINGS, known=listing(entry("u", upstream.port))
        ) as running:
            assert await running.send_request(request("pay", "first", b"b", 1500)) == 200
            for number in range(5):
                async with running.paused(0.3):
                    reader, writer = await running.connect()
                    writer.write(request("pay", str(number), body, 1500))
                assert status(await read_message(reader)) == 200
                writer.close()
        for head, _ in upstream.requests[1:]:
            assert deadline_header_ms(head) <= 1200 + DEADLINE_SLACK_MS
        upstream.stop()

    run(test)


async def deadline_header_ms_after_fault(folder: Path, call: Call, error: int) -> int:
    """Return the X-Deadline-Ms that the upstream gets if a system call fails for 400 ms of a deadline of 1,500 ms."""
    upstream = Upstream(respond_with(OK))
    await upstream.start()
    async with sidecar_on_faulty_host(
        folder, settings=LONG_TIMEOUT_SETTINGS, known=listing(entry("u", upstream.port))
    ) as running:
        assert await running.send_request(request("pay", "first", b"b", 1500)) == 200
        running.faults.inject(call, error, for_s=0.4)
        assert await running.send_request(request("pay", "second", b"b", 1500)) == 200
    upstream.stop()
    return deadline_header_ms(upstream.requests[1][0])


@pytest.mark.parametrize("error", [errno.ENOMEM, errno.EAGAIN])
def test_deadline_header_is_the_time_remaining_when_reads_failed_for_a_while(tmp_path: Path, error: int) -> None:
    async def test() -> None:
        assert await deadline_header_ms_after_fault(tmp_path, Call.RECV, error) <= 1100 + DEADLINE_SLACK_MS

    run(test)


@pytest.mark.parametrize(
    ("call", "error"), [(Call.ACCEPT, errno.ENONET), (Call.ACCEPT, errno.EAGAIN), (Call.SEND, errno.ENOBUFS)]
)
def test_deadline_header_is_the_time_remaining_when_accept_or_send_failed_for_a_while(
    tmp_path: Path, call: Call, error: int
) -> None:
    async def test() -> None:
        assert await deadline_header_ms_after_fault(tmp_path, call, error) <= 1100 + DEADLINE_SLACK_MS

    run(test)


async def assert_process_starts(folder: Path, call: Call, error: int) -> None:
    """Assert that the sidecar serves requests although a system call fails ten times at its start."""
    upstream = Upstream(respond_with(OK))
    await upstream.start()
    async with sidecar_on_faulty_host(
        folder, failing=(call, error, 10), settings=LONG_TIMEOUT_SETTINGS, known=listing(entry("u", upstream.port))
    ) as running:
        assert await running.send_request(request("pay", "1", b"b", 1500)) == 200
        assert running.faults.hits(call) == 10
    upstream.stop()


@pytest.mark.parametrize("call", [Call.OPEN, Call.EPOLL_CREATE])
def test_process_starts_when_descriptors_are_short_for_a_moment(tmp_path: Path, call: Call) -> None:
    run(lambda: assert_process_starts(tmp_path, call, errno.EMFILE))


@pytest.mark.parametrize(
    ("call", "error"), [(Call.SOCKET, errno.ENFILE), (Call.BIND, errno.EADDRINUSE), (Call.EPOLL_CTL, errno.ENOMEM)]
)
def test_process_starts_when_it_cannot_listen_for_a_moment(tmp_path: Path, call: Call, error: int) -> None:
    run(lambda: assert_process_starts(tmp_path, call, error))


def test_requests_are_served_when_the_log_pipe_is_full(tmp_path: Path) -> None:
    """The log pipe holds 64 KiB; the sidecar must drop log lines that do not fit, and must not block."""

    async def test() -> None:
        upstream = Upstream(respond_with(OK))
        await upstream.start()
        async with sidecar_on_faulty_host(
            tmp_path, settings=LONG_TIMEOUT_SETTINGS, known=listing(entry("u", upstream.port))
        ) as running:
            document = json.loads(running.config.read_text())
            document["settings"]["request-classes"][0] |= {"name": "n" * 3500, "aim": -1}
            running.config.write_text(json.dumps(document))
            for number in range(32):
                running.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.21)  # the sidecar logs at most five lines per second
                async with asyncio.timeout(5):
                    assert await running.send_request(request("pay", str(number), b"b", 1500)) == 200
        upstream.stop()

    run(test)


@pytest.mark.parametrize("fault_kind", ["absent", "half written"])
def test_process_starts_when_its_configuration_file_is_complete_a_moment_later(tmp_path: Path, fault_kind: str) -> None:
    async def test() -> None:
        path = write_configuration(tmp_path)
        text = path.read_text()
        path.unlink()
        if fault_kind == "half written":
            path.write_text(text[:-100])
        with program(path) as process:
            await asyncio.sleep(0.5)
            path.write_text(text)
            await wait_for_listener(int(json.loads(text)["listen"].split(":")[1]), lambda: process.poll() is None)

    run(test)


def test_connections_are_added_to_the_event_loop_when_epoll_is_short_of_memory(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(respond_with(OK))
        await upstream.start()
        async with sidecar_on_faulty_host(
            tmp_path, settings=LONG_TIMEOUT_SETTINGS, known=listing(entry("u", upstream.port))
        ) as running:
            running.faults.inject(Call.EPOLL_CTL, errno.ENOMEM, count=20)
            assert await running.send_request(request("pay", "1", b"b", 1500)) == 200
            assert running.faults.hits(Call.EPOLL_CTL) == 20
        upstream.stop()

    run(test)


def test_drain_is_applied_at_once_when_it_arrived_while_the_process_was_stopped(tmp_path: Path) -> None:
    """The watch is not silent: its data waits in the kernel, and must be read before the time without data counts."""

    async def test() -> None:
        draining, other, discovery = Upstream(respond_with(OK)), Upstream(respond_with(OK)), Discovery()
        for peer in (draining, other, discovery):
            await peer.start()
        async with sidecar_on_faulty_host(
            tmp_path, discovery=f"127.0.0.1:{discovery.port}", known=listing(entry("u", draining.port))
        ) as running:
            await wait_for_watch(discovery)
            discovery.send_update(listing(full=False))
            assert await running.send_request(request("pay", "first", b"b", 1200)) == 200
            await asyncio.sleep(0.1)  # the process waits for events when it is stopped
            async with running.paused(SILENCE_TIMEOUT_S + 0.2):
                discovery.send_update(
                    listing(entry("u", draining.port, "leaving"), entry("v", other.port), rev=2, full=False)
                )
            # The first requests may count as old as the pause, and are shed.
            while not other.requests and len(discovery.watch_requests) == 1:
                await running.send_request(request("pay", str(len(draining.requests)), b"b", 1200))
        assert (len(discovery.watch_requests), len(draining.requests)) == (1, 1)
        for peer in (draining, other, discovery):
            peer.stop()

    run(test)


def test_request_is_not_sent_to_an_upstream_whose_drain_arrived_long_before_the_request_is_read(tmp_path: Path) -> None:
    """The request and then the drain arrive while the process is stopped, so the request is read first."""

    async def test() -> None:
        draining, other, discovery = Upstream(respond_with(OK)), Upstream(respond_with(OK)), Discovery()
        for peer in (draining, other, discovery):
            await peer.start()
        async with sidecar_on_faulty_host(
            tmp_path, discovery=f"127.0.0.1:{discovery.port}", known=listing(entry("u", draining.port))
        ) as running:
            await wait_for_watch(discovery)
            discovery.send_update(listing(full=False))
            clients = [await running.connect() for _ in range(3)]
            for reader, writer in clients:
                writer.write(request("pay", None, b"b", 5000))
                assert status(await read_message(reader)) == 200
            sent_count = len(draining.requests)
            await asyncio.sleep(0.1)
            async with running.paused(1.3):
                for _, writer in clients:
                    writer.write(request("pay", None, b"b", 5000))
                await asyncio.sleep(0.1)
                discovery.send_update(
                    listing(entry("u", draining.port, "leaving"), entry("v", other.port), rev=2, full=False)
                )
            for reader, writer in clients:
                await read_message(reader)
                writer.close()
        assert len(draining.requests) == sent_count
        for peer in (draining, other, discovery):
            peer.stop()

    run(test)


def test_connections_are_accepted_again_when_epoll_was_out_of_memory_after_a_failed_accept(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(respond_with(OK))
        await upstream.start()
        async with sidecar_on_faulty_host(tmp_path, known=listing(entry("u", upstream.port))) as running:
            assert await running.send_request(request("pay", "first", b"b", 1200)) == 200
            await asyncio.sleep(0.1)
            running.faults.inject(Call.EPOLL_CTL, errno.ENOMEM, for_s=EPOLL_RETRY_TIMEOUT_S + 0.5)
            running.faults.inject(Call.ACCEPT, errno.ENFILE, count=1)
            _, writer = await running.connect()
            await asyncio.sleep(EPOLL_RETRY_TIMEOUT_S + 1.0)
            writer.close()
            assert await running.send_request(request("pay", "second", b"b", 1200)) == 200
        upstream.stop()

    run(test)
