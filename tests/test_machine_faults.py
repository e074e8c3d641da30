"""The real program while its machine fails it: calls that fail for a moment, hold-ups, a wall clock that is wrong."""

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
from tests.machine import machine
from tests.net import OK, PATIENCE_S, Discovery, Upstream, answering, entry, listening, listing, read_message, request
from tests.processes import SETTINGS, configuration, program
from tests.test_crossing_stop import never_up
from tests.test_sidecar import run, status

SLACK_MS = 150  # of the time that an attempt tells its upstream, beyond what its client has left
LATE_S = 1.0  # after which the kernel tries again to connect to a listener whose backlog was full
BOUNDS = SETTINGS["bounds"] | {"dial-timeout": 3_000_000}
PATIENT: dict[str, Any] = SETTINGS | {
    "bounds": BOUNDS | {"second-copies": False},
    "request-classes": [
        {"name": name, "aim": 1_400_000, "deadline": 1_500_000, "effect": effect, "worth": 1.0}
        for name, effect in (("pay", "at_most_once"), ("read", "idempotent"))
    ],
}


@contextlib.contextmanager
def late_listener() -> Iterator[tuple[socket.socket, list[socket.socket]]]:
    """A listener whose backlog is full, and the connections that fill it: those that come now are up 1 s later, if
    the backlog has been emptied by then."""
    with socket.socket() as held, contextlib.ExitStack() as stack:
        held.bind(("127.0.0.1", 0))
        held.listen(0)
        fillers = [stack.enter_context(socket.socket()) for _ in range(2)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(held.getsockname())
        yield held, fillers


def told_ms(head: bytes) -> int:
    line = next(line for line in head.split(b"\r\n") if line.lower().startswith(b"x-deadline-ms:"))
    return int(line.split(b":")[1])


async def head_of_a_late_attempt(folder: Path, data: bytes) -> tuple[bytes, float]:
    """What an upstream reads first whose connection comes up 1 s late, and how long after the request was sent."""
    loop = asyncio.get_running_loop()
    with late_listener() as (held, fillers):
        async with machine(folder, settings=PATIENT, known=listing(entry("u", held.getsockname()[1]))) as it:
            _, writer = await it.connect()
            asked_at = time.monotonic()
            writer.write(data)
            await asyncio.sleep(0.2)
            held.setblocking(False)
            for filler in fillers:
                with contextlib.suppress(BlockingIOError):
                    held.accept()[0].close()  # no more than is there: the next to come is the sidecar's
                filler.close()
            async with asyncio.timeout(PATIENCE_S):
                head = b""
                while not head:
                    sock, _ = await loop.sock_accept(held)
                    with sock:
                        head = await loop.sock_recv(sock, 65536)
            writer.close()
    return head, time.monotonic() - asked_at


@pytest.mark.parametrize(
    "data", [request("read", deadline_ms=1500), request("pay", "1", b"x" * 150_000, 1500)], ids=["short", "long body"]
)
def test_the_time_told_to_an_upstream_is_what_is_left_when_it_is_written(tmp_path: Path, data: bytes) -> None:
    async def test() -> None:
        head, after_s = await head_of_a_late_attempt(tmp_path, data)
        left_ms = 1500 - after_s * 1000
        assert left_ms < 1000  # it did come up late
        assert told_ms(head) <= left_ms + SLACK_MS

    run(test)


def test_a_long_body_that_waits_whole_for_its_upstream_is_answered_in_its_time(tmp_path: Path) -> None:
    async def test() -> None:
        with never_up() as port:
            async with machine(tmp_path, settings=PATIENT, known=listing(entry("u", port))) as it:
                asked_at = time.monotonic()
                assert await it.ask(request("pay", "1", b"x" * 150_000, 1500)) == 503
                assert time.monotonic() - asked_at < 1.5 + 0.05

    run(test)


@pytest.mark.parametrize("kind", ["read", "pay"])
def test_nothing_is_sent_on_for_a_client_that_left_while_the_program_was_held_up(tmp_path: Path, kind: str) -> None:
    async def test() -> None:
        upstream = Upstream(answering(OK))
        await upstream.start()
        async with machine(tmp_path, settings=PATIENT, known=listing(entry("u", upstream.port))) as it:
            async with it.held_up(0.3):
                for number in range(10):
                    it.leave_unread(request(kind, f"left-{number}", b"b" if kind == "pay" else b"", 1500))
            await asyncio.sleep(0.2)
            assert await it.ask(request(kind, "stays", b"b" if kind == "pay" else b"", 1500)) == 200
        assert [b"left-" in head for head, _ in upstream.requests] == [False]
        upstream.stop()

    run(test)


async def served_after_s(folder: Path, error: int) -> float:
    """How long clients wait, of which the first comes when accept fails once."""
    upstream = Upstream(answering(OK))
    await upstream.start()
    async with machine(folder, settings=PATIENT, known=listing(entry("u", upstream.port))) as it:
        await asyncio.sleep(0.1)  # the loop has looked once more at the listener since it was found up
        it.faults.inject(Call.ACCEPT, error, count=1)
        asked_at = time.monotonic()
        for number in range(2):  # an event loop's own listener takes the first and then pauses for a second
            assert await it.ask(request("read", str(number), deadline_ms=1500)) == 200
        assert it.faults.hits(Call.ACCEPT) == 1
    upstream.stop()
    return time.monotonic() - asked_at


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_accept_that_finds_no_resources_for_a_moment_costs_a_moment(tmp_path: Path, error: int) -> None:
    run(lambda: not_long(tmp_path, error))


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.EPERM, errno.EPROTO, errno.ENETUNREACH, errno.ETIMEDOUT])
def test_accept_that_fails_with_its_connection_costs_a_moment(tmp_path: Path, error: int) -> None:
    run(lambda: not_long(tmp_path, error))


async def not_long(folder: Path, error: int) -> None:
    assert await served_after_s(folder, error) < 0.6


def test_who_comes_while_accept_fails_at_the_end_of_the_process_is_answered(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(answering(OK))
        await upstream.start()
        async with machine(tmp_path, settings=PATIENT, known=listing(entry("u", upstream.port))) as it:
            it.faults.inject(Call.ACCEPT, errno.ENFILE, for_s=0.7)
            clients = [await it.connect()]
            await asyncio.sleep(0.1)
            it.process.send_signal(signal.SIGTERM)
            for _ in range(3):  # as the platform says, some still come for up to 0.4 s
                clients.append(await it.connect())
                await asyncio.sleep(0.1)
            for number, (_, writer) in enumerate(clients):
                writer.write(request("read", str(number), deadline_ms=1500))
            async with asyncio.timeout(PATIENCE_S):
                answers = [status(await read_message(reader)) for reader, _ in clients]
            assert set(answers) <= {200, 503}
            assert await asyncio.to_thread(it.process.wait) == 0
            assert it.process.stderr is not None
            errors = it.process.stderr.read().decode()
            assert "Traceback" not in errors, errors
        upstream.stop()

    run(test)


def cold_settings(**bounds: Any) -> dict[str, Any]:
    """As above, with upstreams that are cold for long."""
    rules = PATIENT["invariants"] | {
        "cold-share": 0.13,
        "warm-up": 24_000_000,
        "overload-factor": 3.0,
        "fall": 3_000_000,
    }
    return PATIENT | {"invariants": rules, "registry-mode": "pushed", "bounds": PATIENT["bounds"] | bounds}


@pytest.mark.parametrize("step_s", [0.0, 10.0, 3600.0, -3600.0])
def test_an_upstream_that_has_just_started_counts_as_cold_whatever_the_wall_clock_says(
    tmp_path: Path, step_s: float
) -> None:
    async def test() -> None:
        warm, cold = Upstream(answering(OK)), Upstream(answering(OK))
        await warm.start()
        await cold.start()
        known = listing(
            entry("w0", warm.port), entry("w1", warm.port), entry("cold", cold.port, boot_ms=int(time.time() * 1000))
        )
        async with machine(tmp_path, step_s, settings=cold_settings(), known=known) as it:
            reader, writer = await it.connect()
            for number in range(90):
                writer.write(request("read", str(number), deadline_ms=1500))
                await read_message(reader)
            writer.close()
        assert len(warm.requests) > 70
        assert len(cold.requests) <= 15  # a third of them, were it warm
        warm.stop()
        cold.stop()

    run(test)


async def answered_by(discovery: Discovery) -> None:
    async with asyncio.timeout(PATIENCE_S):
        await discovery.watched()


@pytest.mark.parametrize("trouble", ["half written", "no descriptor left"])
def test_a_new_file_that_can_not_be_read_yet_is_read_again(tmp_path: Path, trouble: str) -> None:
    """The old address of discovery takes nobody any more: not to follow would be to miss each drain from now on."""

    async def test() -> None:
        old, new = Discovery(), Discovery()
        await old.start()
        await new.start()
        async with machine(tmp_path, discovery=f"127.0.0.1:{old.port}") as it:
            await answered_by(old)
            text = it.config.read_text().replace(f"127.0.0.1:{old.port}", f"127.0.0.1:{new.port}")
            if trouble == "half written":
                it.config.write_text(text[:-100])
            else:
                it.config.write_text(text)
                it.faults.inject(Call.OPEN, errno.ENFILE, for_s=0.3)
            it.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            it.config.write_text(text)
            await answered_by(new)
        old.stop()
        new.stop()

    run(test)


def test_a_connection_that_can_not_be_shut_down_costs_no_slot(tmp_path: Path) -> None:
    """Its answer has been written; the upstream's slot is free again, and so is the end of the process."""

    async def test() -> None:
        upstream = Upstream(answering(OK))
        await upstream.start()
        async with machine(tmp_path, settings=PATIENT, known=listing(entry("u", upstream.port))) as it:
            it.faults.inject(Call.SHUTDOWN, errno.ENOTCONN)
            for number in range(8):  # more than an upstream has slots
                asked = request("read", str(number), deadline_ms=1500, extra="Connection: close\r\n")
                assert await it.ask(asked) == 200, number
        upstream.stop()

    run(test)


@pytest.mark.parametrize("body", [b"b", b"x" * 150_000], ids=["short", "long body"])
def test_what_came_on_a_new_connection_while_the_program_was_held_up_has_less_time_left(
    tmp_path: Path, body: bytes
) -> None:
    async def test() -> None:
        upstream = Upstream(answering(OK))
        await upstream.start()
        async with machine(tmp_path, settings=PATIENT, known=listing(entry("u", upstream.port))) as it:
            assert await it.ask(request("pay", "first", b"b", 1500)) == 200
            for number in range(5):
                async with it.held_up(0.3):
                    reader, writer = await it.connect()
                    writer.write(request("pay", str(number), body, 1500))
                assert status(await read_message(reader)) == 200
                writer.close()
        for head, _ in upstream.requests[1:]:
            assert told_ms(head) <= 1200 + SLACK_MS
        upstream.stop()

    run(test)


async def told_after(folder: Path, call: Call, error: int) -> int:
    """What an upstream is told of a request with 1,500 ms, which a call that fails for 400 ms holds back."""
    upstream = Upstream(answering(OK))
    await upstream.start()
    async with machine(folder, settings=PATIENT, known=listing(entry("u", upstream.port))) as it:
        assert await it.ask(request("pay", "first", b"b", 1500)) == 200
        it.faults.inject(call, error, for_s=0.4)
        assert await it.ask(request("pay", "second", b"b", 1500)) == 200
    upstream.stop()
    return told_ms(upstream.requests[1][0])


@pytest.mark.parametrize("error", [errno.ENOMEM, errno.EAGAIN])
def test_what_could_not_be_read_for_a_while_is_told_the_time_that_is_left(tmp_path: Path, error: int) -> None:
    async def test() -> None:
        assert await told_after(tmp_path, Call.RECV, error) <= 1100 + SLACK_MS

    run(test)


@pytest.mark.parametrize(
    ("call", "error"), [(Call.ACCEPT, errno.ENONET), (Call.ACCEPT, errno.EAGAIN), (Call.SEND, errno.ENOBUFS)]
)
def test_what_could_not_be_accepted_or_sent_for_a_while_is_told_the_time_that_is_left(
    tmp_path: Path, call: Call, error: int
) -> None:
    async def test() -> None:
        assert await told_after(tmp_path, call, error) <= 1100 + SLACK_MS

    run(test)


async def starts(folder: Path, call: Call, error: int) -> None:
    """The program serves, though a call fails ten times at its start."""
    upstream = Upstream(answering(OK))
    await upstream.start()
    async with machine(
        folder, failing=(call, error, 10), settings=PATIENT, known=listing(entry("u", upstream.port))
    ) as it:
        assert await it.ask(request("pay", "1", b"b", 1500)) == 200
        assert it.faults.hits(call) == 10
    upstream.stop()


@pytest.mark.parametrize("call", [Call.OPEN, Call.EPOLL_CREATE])
def test_a_start_that_is_short_of_descriptors_for_a_moment_is_a_start(tmp_path: Path, call: Call) -> None:
    run(lambda: starts(tmp_path, call, errno.EMFILE))


@pytest.mark.parametrize(
    ("call", "error"), [(Call.SOCKET, errno.ENFILE), (Call.BIND, errno.EADDRINUSE), (Call.EPOLL_CTL, errno.ENOMEM)]
)
def test_a_start_that_can_not_listen_for_a_moment_is_a_start(tmp_path: Path, call: Call, error: int) -> None:
    run(lambda: starts(tmp_path, call, error))


def test_a_log_that_nobody_reads_holds_nothing_up(tmp_path: Path) -> None:
    """Its pipe holds 64 KiB; what does not fit is left out."""

    async def test() -> None:
        upstream = Upstream(answering(OK))
        await upstream.start()
        async with machine(tmp_path, settings=PATIENT, known=listing(entry("u", upstream.port))) as it:
            whole = json.loads(it.config.read_text())
            whole["settings"]["request-classes"][0] |= {"name": "n" * 3500, "aim": -1}
            it.config.write_text(json.dumps(whole))
            for number in range(32):
                it.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.21)  # five lines a second are logged
                async with asyncio.timeout(5):
                    assert await it.ask(request("pay", str(number), b"b", 1500)) == 200
        upstream.stop()

    run(test)


@pytest.mark.parametrize("trouble", ["absent", "half written"])
def test_a_start_whose_file_is_there_in_a_moment_is_a_start(tmp_path: Path, trouble: str) -> None:
    async def test() -> None:
        path = configuration(tmp_path)
        text = path.read_text()
        path.unlink()
        if trouble == "half written":
            path.write_text(text[:-100])
        with program(path) as process:
            await asyncio.sleep(0.5)
            path.write_text(text)
            await listening(int(json.loads(text)["listen"].split(":")[1]), lambda: process.poll() is None)

    run(test)


def test_connections_find_their_place_in_the_loop_on_a_machine_that_is_short(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(answering(OK))
        await upstream.start()
        async with machine(tmp_path, settings=PATIENT, known=listing(entry("u", upstream.port))) as it:
            it.faults.inject(Call.EPOLL_CTL, errno.ENOMEM, for_s=0.2)
            assert await it.ask(request("pay", "1", b"b", 1500)) == 200
            assert it.faults.hits(Call.EPOLL_CTL) > 1
        upstream.stop()

    run(test)
