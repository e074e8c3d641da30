"""The program that `run` in the deploy file starts: configuration, readiness, SIGTERM."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from garnetusher.sidecar.configuration import Configuration, flatten, load
from garnetusher.sidecar.reload import Reloader
from garnetusher.sidecar.sidecar import Sidecar
from tests.net import (
    OK,
    PATIENCE_S,
    Discovery,
    Upstream,
    answering,
    entry,
    free_port,
    listening,
    listing,
    read_message,
    request,
    until,
)

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
SETTINGS: dict[str, Any] = {
    "accounts": [],
    "areas": ["a", "b"],
    "granularity": 5000,
    "bounds": {
        "conn-idle": 5000000,
        "dial-timeout": 200000,
        "most-tries": 4,
        "cancel": True,
        "probes": True,
        "retry-after": True,
        "second-copies": True,
    },
    "instances": 3,
    "invariants": {
        "ask-within": 10000000,
        "cold-share": 0.32,
        "fall": 2000000,
        "overload-factor": 2.5,
        "warm-up": 8900000,
    },
    "kinds": ["m"],
    "locality": 1,
    "registry-mode": "on_request",
    "report": {"how": "probe", "names": ["rif", "q"]},
    "weights": "nominal",
    "request-classes": [{"name": "pay", "aim": 400000, "deadline": 1200000, "effect": "at_most_once", "worth": 10.0}],
}


def configuration(folder: Path, **changes: Any) -> Path:
    path = folder / "config.json"
    whole = {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "known": listing(entry("u", 1)),
    }
    path.write_text(json.dumps(whole | changes))
    return path


@contextmanager
def program(path: Path, keep: tuple[int, ...] = (), **told: str) -> Iterator[subprocess.Popen[bytes]]:
    """The running program, which is told more by its environment and keeps these descriptors."""
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=600)
    plain = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV"))}
    process = subprocess.Popen(
        ["/bin/sh", "-c", DEPLOY["run"]],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        pass_fds=keep,
        env=plain | {"BALANCER_CONFIG": str(path)} | told,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def test_settings_are_read_by_their_names_on_the_simulators_wire(tmp_path: Path) -> None:
    config: Configuration = load(str(configuration(tmp_path)))
    assert (config.seed, config.max_descriptors, config.idle_timeout_us) == (0x8C1F, 1024, 5_000_000)
    assert (config.zones, config.machine_types) == (["a", "b"], ["m"])
    assert config.settings.zone == 1 and config.settings.poll_endpoints and config.settings.endpoint_weights
    assert config.settings.load_report_names == ["in_flight", "queued"]
    assert [kind.effect for kind in config.settings.classes] == ["at_most_once"]


def test_nested_settings_become_pairs() -> None:
    nested = {"a": {"b": True, "c": [1, 2]}, "d": [{"e": 0.5}], "f": []}
    assert flatten(nested) == {"a.b": "true", "a.c": "1,2", "d.count": "1", "d.0.e": "0.5", "f.count": "0"}


def test_the_program_is_ready_and_ends_with_0_on_sigterm(tmp_path: Path) -> None:
    path = configuration(tmp_path)
    port = int(json.loads(path.read_text())["listen"].split(":")[1])
    with program(path) as process:
        answer, ends = b"", time.monotonic() + PATIENCE_S
        while not answer and time.monotonic() < ends:
            assert process.poll() is None
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S) as sock:
                    sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    answer = sock.recv(100)
            except ConnectionRefusedError:
                time.sleep(0.02)
        assert answer.startswith(b"HTTP/1.1 200 ")
        process.send_signal(signal.SIGTERM)
        assert process.wait(PATIENCE_S) == 0


def test_sighup_moves_the_watch_to_the_address_that_the_file_names_by_then(tmp_path: Path) -> None:
    async def test() -> None:
        old, new, upstream = Discovery(), Discovery(), Upstream(answering(OK))
        for peer in (old, new, upstream):
            await peer.start()
        path = configuration(tmp_path, discovery=f"127.0.0.1:{old.port}")
        whole = json.loads(path.read_text())
        with program(path) as process:
            async with asyncio.timeout(PATIENCE_S):
                await old.watched()
                path.write_text(json.dumps(whole | {"discovery": f"127.0.0.1:{new.port}"}))
                process.send_signal(signal.SIGHUP)
                await new.watched()
                new.line(listing(entry("moved", upstream.port), rev=2))
                host, port = whole["listen"].split(":")
                while not upstream.requests:
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(request("pay", "1", b"b", deadline_ms=1000))
                    await read_message(reader)
                    writer.close()
            assert process.poll() is None
        for peer in (old, new, upstream):
            peer.stop()

    asyncio.run(test())


def copied(whole: Any, path: str) -> tuple[Any, Any, str]:
    """A copy, with the part of it that holds the key at the end of this path, and that key."""
    copy = json.loads(json.dumps(whole))
    *way, last = path.split(".")
    inner: Any = copy
    for key in way:
        inner = inner[int(key) if isinstance(inner, list) else key]
    return copy, inner, last


def without(whole: Any, path: str) -> Any:
    """A copy that lacks this key."""
    copy, inner, last = copied(whole, path)
    del inner[last]
    return copy


def with_value(whole: Any, path: str, value: object) -> Any:
    """A copy with another value there."""
    copy, inner, last = copied(whole, path)
    inner[last] = value
    return copy


BROKEN: list[tuple[str, Any]] = [
    *[
        (path, None)
        for path in (
            "listen",
            "discovery",
            "seed",
            "limits",
            "settings",
            "name",
            "settings.request-classes",
            "settings.bounds",
            "settings.bounds.most-tries",
            "settings.bounds.conn-idle",
            "settings.locality",
            "settings.registry-mode",
            "settings.invariants.ask-within",
            "settings.request-classes.0.deadline",
            "settings.request-classes.0.name",
            "settings.request-classes.0.effect",
            "limits.memory_mb",
        )
    ],
    *[
        (path, value)
        for path in ("settings.request-classes.0.deadline", "settings.bounds.most-tries")
        for value in list[object]((0, -1, "many", "3", True, [], {}, 1e999, float("nan")))
    ],
    ("settings.request-classes", []),
    ("settings.request-classes", {}),
    ("settings", []),
    ("settings", 5),
    ("discovery", "nowhere"),
    ("settings.areas", None),
    ("settings.bounds.conn-idle", float("inf")),
    ("settings.request-classes", 2 * SETTINGS["request-classes"]),
]


@pytest.mark.parametrize(("path", "value"), BROKEN)
def test_of_a_broken_file_nothing_is_taken(tmp_path: Path, path: str, value: object) -> None:
    async def test() -> None:
        file = configuration(tmp_path)
        whole = json.loads(file.read_text())
        sidecar = Sidecar(load(str(file)))
        before = (sidecar.configuration, sidecar.server.router, sidecar.dispatcher.settings)
        broken = without(whole, path) if value is None else with_value(whole, path, value)
        file.write_text(json.dumps(broken | {"discovery": "127.0.0.1:2"} if path != "discovery" else broken))
        Reloader(str(file), sidecar.reload).signal()
        assert (sidecar.configuration, sidecar.server.router, sidecar.dispatcher.settings) == before
        assert sidecar.dispatcher.balancer.settings is before[2]
        assert sidecar.endpoint_watcher.address == ("127.0.0.1", 1) and sidecar.endpoint_watcher.watch is None

    asyncio.run(test())


@pytest.mark.parametrize("text", ["", "{", "null", "[]", "5", '"x"', "\x00", "[" * 100_000])
def test_a_file_that_is_no_configuration_changes_nothing(tmp_path: Path, text: str) -> None:
    async def test() -> None:
        file = configuration(tmp_path)
        sidecar = Sidecar(load(str(file)))
        before = sidecar.configuration
        file.write_text(text)
        Reloader(str(file), sidecar.reload).signal()
        file.unlink()
        Reloader(str(file), sidecar.reload).signal()
        assert sidecar.configuration is before and sidecar.endpoint_watcher.watch is None

    asyncio.run(test())


def test_a_whole_file_is_taken_whole(tmp_path: Path) -> None:
    async def test() -> None:
        file = configuration(tmp_path)
        whole = json.loads(file.read_text())
        sidecar = Sidecar(load(str(file)))
        new = with_value(
            whole,
            "settings.request-classes",
            [
                {"name": "read", "aim": 300000, "deadline": 900000, "effect": "idempotent", "worth": 1.0},
                {"name": "pay", "aim": 400000, "deadline": 1200000, "effect": "deduplicated", "worth": 10.0},
            ],
        )
        new = with_value(new, "settings.bounds.most-tries", 2)
        new = with_value(new, "settings.bounds.conn-idle", 900000)
        file.write_text(json.dumps(without(new, "known") | {"discovery": "127.0.0.1:2"}))
        Reloader(str(file), sidecar.reload).signal()
        assert list(sidecar.server.router.class_indexes) == [b"read", b"pay"]
        assert sidecar.dispatcher.settings.max_attempts == sidecar.dispatcher.balancer.settings.max_attempts == 2
        assert sidecar.connection_pool.idle_reuse.max_idle_us == 600_000
        assert sidecar.endpoint_watcher.address == ("127.0.0.1", 2) and sidecar.endpoint_watcher.watch is not None
        sidecar.endpoint_watcher.stop()

    asyncio.run(test())


def test_sighup_changes_the_classes_while_a_request_under_way_keeps_its_own(tmp_path: Path) -> None:
    async def test() -> None:
        held = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if number == 0:
                await held.wait()
            writer.write(OK)

        upstream = Upstream(script)
        await upstream.start()
        path = configuration(tmp_path, known=listing(entry("u0", upstream.port)))
        whole = json.loads(path.read_text())
        slow = with_value(whole, "settings.request-classes.0.aim", 10_000_000)
        slow = with_value(slow, "settings.request-classes.0.deadline", 20_000_000)
        path.write_text(json.dumps(slow))
        host, port = whole["listen"].split(":")

        async def ask(kind: str) -> int:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request(kind, "1", b"" if kind == "read" else b"b"))
            answer = await read_message(reader)
            writer.close()
            return int(answer[0].split(b" ")[1])

        with program(path) as process:
            async with asyncio.timeout(PATIENCE_S):
                await listening(int(port))
                assert await ask("read") == 404
                under_way = asyncio.create_task(ask("pay"))
                await until(lambda: len(upstream.requests) == 1)
                read = {"name": "read", "aim": 300000, "deadline": 900000, "effect": "idempotent", "worth": 1.0}
                path.write_text(json.dumps(with_value(slow, "settings.request-classes", [read])))
                process.send_signal(signal.SIGHUP)
                while await ask("read") != 200:
                    pass
                sent = len(upstream.requests)
                assert await ask("pay") == 404 and len(upstream.requests) == sent
                held.set()
                assert await under_way == 200
                assert process.poll() is None
        upstream.stop()

    asyncio.run(test())


def test_sigterm_under_load_leaves_nothing_that_ran_without_its_answer(tmp_path: Path) -> None:
    async def slow(upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        writer.write(OK)

    async def client(name: int, port: int, stopped: asyncio.Event, answered: set[str]) -> None:
        """Sends one request after another; after the stop until its connection is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in range(10_000):
            ident = f"{name}-{number}"
            try:
                writer.write(request("pay", ident, b"b"))
                head, _ = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                assert stopped.is_set()  # closed between requests
                break
            answered.add(ident)
            if b"Connection: close" in head:
                assert stopped.is_set()
                break
        writer.close()

    async def test() -> None:
        upstreams = [Upstream(slow) for _ in range(4)]
        for upstream in upstreams:
            await upstream.start()
        known = listing(*(entry(f"u{i}", upstream.port) for i, upstream in enumerate(upstreams)))
        path = configuration(tmp_path, known=known)
        port = int(json.loads(path.read_text())["listen"].split(":")[1])
        stopped, answered = asyncio.Event(), set[str]()
        with program(path) as process:
            async with asyncio.timeout(PATIENCE_S):
                await listening(port)
                async with asyncio.TaskGroup() as group:
                    for name in range(8):
                        group.create_task(client(name, port, stopped, answered))
                    await asyncio.sleep(0.5)
                    stopped.set()
                    process.send_signal(signal.SIGTERM)
                assert await asyncio.to_thread(process.wait, PATIENCE_S) == 0
        for upstream in upstreams:
            upstream.stop()
        ran = {
            head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
            for upstream in upstreams
            for head, _ in upstream.requests
        }
        assert ran and ran <= answered

    asyncio.run(test())


@pytest.mark.parametrize("changes", [{"listen": "nowhere"}, {"settings": {}}, {"limits": {}}])
def test_a_configuration_that_can_not_be_read_ends_it_with_one_line(tmp_path: Path, changes: dict[str, Any]) -> None:
    with program(configuration(tmp_path, **changes)) as process:
        _, errors = process.communicate(timeout=PATIENCE_S)
        assert process.returncode == 2 and len(errors.splitlines()) == 1
