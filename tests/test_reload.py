"""Tests of a configuration file that replaces another: either all of it is applied or nothing."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

import pytest

from garnetusher.sidecar.configuration import load
from garnetusher.sidecar.reload import Reloader
from garnetusher.sidecar.sidecar import Sidecar
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
    until,
    wait_for_listener,
)
from tests.processes import SETTINGS, program, with_value, without_key, write_configuration

INVALID_CHANGES: list[tuple[str, Any]] = [
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


@pytest.mark.parametrize(("path", "value"), INVALID_CHANGES)
def test_reloader_changes_nothing_when_the_file_is_malformed(tmp_path: Path, path: str, value: object) -> None:
    async def test() -> None:
        file = write_configuration(tmp_path)
        document = json.loads(file.read_text())
        sidecar = Sidecar(load(str(file)))
        before = (sidecar.configuration, sidecar.server.router, sidecar.dispatcher.settings)
        invalid = without_key(document, path) if value is None else with_value(document, path, value)
        file.write_text(json.dumps(invalid | {"discovery": "127.0.0.1:2"} if path != "discovery" else invalid))
        Reloader(str(file), sidecar.reload).on_signal()
        assert (sidecar.configuration, sidecar.server.router, sidecar.dispatcher.settings) == before
        assert sidecar.dispatcher.balancer.settings is before[2]
        assert sidecar.endpoint_watcher.address == ("127.0.0.1", 1)
        assert sidecar.endpoint_watcher.watch is None

    asyncio.run(test())


@pytest.mark.parametrize("text", ["", "{", "null", "[]", "5", '"x"', "\x00", "[" * 100_000])
def test_reloader_changes_nothing_when_the_file_is_not_a_configuration(tmp_path: Path, text: str) -> None:
    async def test() -> None:
        file = write_configuration(tmp_path)
        sidecar = Sidecar(load(str(file)))
        before = sidecar.configuration
        file.write_text(text)
        Reloader(str(file), sidecar.reload).on_signal()
        file.unlink()
        Reloader(str(file), sidecar.reload).on_signal()
        assert sidecar.configuration is before
        assert sidecar.endpoint_watcher.watch is None

    asyncio.run(test())


def test_reloader_applies_everything_when_the_file_is_valid(tmp_path: Path) -> None:
    async def test() -> None:
        file = write_configuration(tmp_path)
        document = json.loads(file.read_text())
        sidecar = Sidecar(load(str(file)))
        new = with_value(
            document,
            "settings.request-classes",
            [
                {"name": "read", "aim": 300000, "deadline": 900000, "effect": "idempotent", "worth": 1.0},
                {"name": "pay", "aim": 400000, "deadline": 1200000, "effect": "deduplicated", "worth": 10.0},
            ],
        )
        new = with_value(new, "settings.bounds.most-tries", 2)
        new = with_value(new, "settings.bounds.conn-idle", 900000)
        file.write_text(json.dumps(without_key(new, "known") | {"discovery": "127.0.0.1:2"}))
        Reloader(str(file), sidecar.reload).on_signal()
        assert list(sidecar.server.router.class_indexes) == [b"read", b"pay"]
        assert sidecar.dispatcher.settings.max_attempts == sidecar.dispatcher.balancer.settings.max_attempts == 2
        assert sidecar.connection_pool.idle_reuse.max_idle_us == 600_000
        assert sidecar.endpoint_watcher.address == ("127.0.0.1", 2)
        assert sidecar.endpoint_watcher.watch is not None
        sidecar.endpoint_watcher.stop()

    asyncio.run(test())


def test_program_keeps_the_class_of_a_request_when_sighup_changes_the_classes(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if number == 0:
                await release.wait()
            writer.write(OK)

        upstream = Upstream(script)
        await upstream.start()
        path = write_configuration(tmp_path, known=listing(entry("u0", upstream.port)))
        document = json.loads(path.read_text())
        long_deadline_document = with_value(document, "settings.request-classes.0.aim", 10_000_000)
        long_deadline_document = with_value(long_deadline_document, "settings.request-classes.0.deadline", 20_000_000)
        path.write_text(json.dumps(long_deadline_document))
        host, port = document["listen"].split(":")

        async def request_status(class_name: str) -> int:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request(class_name, "1", b"" if class_name == "read" else b"b"))
            response = await read_message(reader)
            writer.close()
            return int(response[0].split(b" ")[1])

        with program(path) as process:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await wait_for_listener(int(port))
                assert await request_status("read") == 404
                outstanding = asyncio.create_task(request_status("pay"))
                await until(lambda: len(upstream.requests) == 1)
                read = {"name": "read", "aim": 300000, "deadline": 900000, "effect": "idempotent", "worth": 1.0}
                path.write_text(json.dumps(with_value(long_deadline_document, "settings.request-classes", [read])))
                process.send_signal(signal.SIGHUP)
                while await request_status("read") != 200:
                    pass
                sent_count = len(upstream.requests)
                assert await request_status("pay") == 404
                assert len(upstream.requests) == sent_count
                release.set()
                assert await outstanding == 200
                assert process.poll() is None
        upstream.stop()

    asyncio.run(test())


def test_program_moves_its_watch_when_sighup_changes_the_discovery_address(tmp_path: Path) -> None:
    async def test() -> None:
        old, new, upstream = Discovery(), Discovery(), Upstream(respond_with(OK))
        for peer in (old, new, upstream):
            await peer.start()
        path = write_configuration(tmp_path, discovery=f"127.0.0.1:{old.port}")
        document = json.loads(path.read_text())
        with program(path) as process:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await old.wait_for_watch()
                path.write_text(json.dumps(document | {"discovery": f"127.0.0.1:{new.port}"}))
                process.send_signal(signal.SIGHUP)
                await new.wait_for_watch()
                new.send_update(listing(entry("moved", upstream.port), rev=2))
                host, port = document["listen"].split(":")
                while not upstream.requests:
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(request("pay", "1", b"b", deadline_ms=1000))
                    await read_message(reader)
                    writer.close()
            assert process.poll() is None
        for peer in (old, new, upstream):
            peer.stop()

    asyncio.run(test())


@pytest.mark.parametrize("path", ["settings.request-classes.0.name", "settings.accounts.0.name"])
def test_sidecar_moves_its_watch_when_a_file_that_it_rejected_is_corrected(tmp_path: Path, path: str) -> None:
    """A name that no request can carry is found only after the file has been read."""

    async def test() -> None:
        file = write_configuration(tmp_path)
        document = json.loads(file.read_text())
        account = {"name": "a", "allowance-per-s": 1.0}
        document = with_value(document, "settings.accounts", [account]) | {"discovery": "127.0.0.1:2"}
        sidecar = Sidecar(load(str(file)))
        before = sidecar.configuration
        file.write_text(json.dumps(with_value(document, path, "\ud800")))
        reloader = Reloader(str(file), sidecar.reload)
        reloader.on_signal()
        assert sidecar.configuration is before
        file.write_text(json.dumps(document))
        reloader.on_signal()
        assert sidecar.endpoint_watcher.address == ("127.0.0.1", 2)
        sidecar.endpoint_watcher.stop()

    asyncio.run(test())
