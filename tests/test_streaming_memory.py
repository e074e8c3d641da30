"""Memory use of long request bodies and responses."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import cast

from garnetusher.policy.settings import Settings
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.requests.messages import Disposition, FinalResponse, HttpRequest, ResponseSink
from garnetusher.sidecar.streaming import BodyMemory
from garnetusher.sidecar.transitions import ClientCloseReason
from tests.downstream import NullDispatcher, NullTransport, new_connection, new_server
from tests.net import TEST_TIMEOUT_S, classes, entry, listing, request, wait_for_listener
from tests.processes import program, write_configuration
from tests.runner import run
from tests.streams import LONG_BODY, FunctionUpstream


def test_body_memory_starts_bodies_in_order_when_memory_is_short() -> None:
    memory, started = BodyMemory(2 * 256 * 1024), list[int]()
    start_callbacks = [lambda number=number: started.append(number) for number in range(5)]
    for each in start_callbacks:
        memory.acquire(each)
    assert started == [0, 1]
    memory.release(start_callbacks[2])  # the client of this waiting body has disconnected
    memory.release(start_callbacks[0])
    assert started == [0, 1, 3]
    for number in (1, 3, 4):
        memory.release(start_callbacks[number])
    assert started == [0, 1, 3, 4]
    assert memory.free == 2


def test_sidecar_bounds_memory_when_hundreds_of_peers_are_slow(tmp_path: Path) -> None:
    """The operators' memory limit is 80 MB, and each of the 100 responses and 100 bodies has 4 MB."""
    size, peer_count = 4 * 1024 * 1024, 100

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"POST"):
            await asyncio.sleep(TEST_TIMEOUT_S)  # the upstream reads none of the body
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // 65536):
            writer.write(b"x" * 65536)
            await writer.drain()

    async def test() -> None:
        upstreams = [FunctionUpstream(handle) for _ in range(40)]
        for upstream in upstreams:
            await upstream.start()
        known = listing(*(entry(f"u{i}", upstream.port) for i, upstream in enumerate(upstreams)))
        path = write_configuration(tmp_path, known=known, limits={"cores": 1.0, "memory_mb": 80, "sockets": 1024})
        config = json.loads(path.read_text())
        config["settings"]["request-classes"] = [
            {"name": name, "aim": 9_000_000, "deadline": 19_000_000, "effect": effect, "worth": 1.0}
            for name, effect in (("read", "idempotent"), ("pay", "at_most_once"))
        ]
        path.write_text(json.dumps(config))
        host, port = config["listen"].split(":")
        writers = []
        with program(path) as process:
            await wait_for_listener(int(port))
            for number in range(2 * peer_count):
                _reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
                writers.append(writer)
                class_name = "pay" if number % 2 else "read"
                writer.write(request(class_name, str(number), b"x" * size if number % 2 else b""))
            await asyncio.sleep(2.0)
            status_file = Path(f"/proc/{process.pid}/status")
            lines = status_file.read_text().splitlines()  # noqa: ASYNC240 - procfs does not block
            peak_kb = next(int(line.split()[1]) for line in lines if line.startswith("VmHWM"))
            for writer in writers:
                writer.transport.abort()
            assert process.poll() is None
            assert peak_kb < 80_000
        for upstream in upstreams:
            upstream.stop()

    run(test)


def test_connection_sheds_with_retry_after_when_body_memory_stays_short() -> None:
    class RecordingTransport(NullTransport):
        sent = b""

        def write(self, data: object) -> None:
            assert isinstance(data, bytes)
            self.sent += data

    async def test() -> None:
        transport = RecordingTransport()
        client_connection = new_connection(transport)
        client_connection.server.body_memory.free = 0
        client_connection.server.router = RequestRouter(Settings(classes(), max_retry_after_us=2_000_000))
        client_connection.data_received(request("pay", body=LONG_BODY)[:70_000])
        assert not client_connection.has_open_request
        client_connection.check_timeouts(client_connection.arrival_times.paused_since_us + 4_000_000)
        assert not transport.sent
        client_connection.check_timeouts(client_connection.arrival_times.paused_since_us + 6_000_000)
        assert transport.sent.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 2.000\r\n" in transport.sent
        assert not client_connection.server.body_memory.waiting

    run(test)


def test_body_memory_is_released_once_when_the_next_body_replaces_the_request_in_the_buffer() -> None:
    """The request whose body gets the memory may make the policy shed the request that is giving it back."""

    sinks = list[ResponseSink]()

    class ReplacingDispatcher(NullDispatcher):
        def on_request(self, http_request: HttpRequest, sink: object, *, body_complete: bool = True) -> int:
            sinks.append(cast(ResponseSink, sink))
            self.calls.append("request")
            if len(sinks) == 2 and "client disconnected" not in self.calls:
                sinks[0].send_response(FinalResponse(Disposition.SHED))
            return len(sinks)

    async def test() -> None:
        dispatcher = ReplacingDispatcher(Settings(classes()))
        server = new_server(dispatcher)
        server.body_memory.free = 1
        connections = [new_connection(server=server) for _ in range(3)]
        for client_connection in connections:
            client_connection.data_received(request("pay", body=LONG_BODY)[:70_000])
        assert dispatcher.calls == ["request"]
        connections[0].shed_incomplete_request(ClientCloseReason.BODY_MEMORY)
        assert len(server.body_memory.waiting) == 1
        assert dispatcher.calls == ["request", "client disconnected", "request"]
        assert server.body_memory.free == 0

    run(test)


def test_waiting_bodies_are_all_answered_when_their_class_is_removed_before_they_start() -> None:
    """Each rejected body hands its memory on to the next one; there are more of them than calls can be nested."""

    class RecordingTransport(NullTransport):
        def write(self, data: object) -> None:
            assert isinstance(data, bytes)
            responses.append(data)

    responses = list[bytes]()

    async def test() -> None:
        server = new_server()
        server.body_memory.free = 1
        connections = [new_connection(RecordingTransport(), server) for _ in range(400)]
        for client_connection in connections:
            client_connection.data_received(request("pay", body=LONG_BODY)[:70_000])
        server.router = RequestRouter(Settings(classes()[:1]))
        connections[0].shed_incomplete_request(ClientCloseReason.BODY_MEMORY)
        assert [response.split(b" ")[1] for response in responses].count(b"404") == 399
        assert len(responses) == 400
        assert server.body_memory.free == 1

    run(test)
