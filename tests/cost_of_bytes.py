"""Measures what the bytes of one peer cost at n and at 4n, in large and in small parts: a command, not a test.

`python -m tests.cost_of_bytes` prints a Markdown table; there are no sockets, and each reader gets parts of one size.
The ratio should be about 4; it is 16 where the cost grows with the square of the size.
"""

from __future__ import annotations

import json
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from garnetusher.errors import GarnetusherError
from garnetusher.policy.settings import RequestClass, Settings
from garnetusher.sidecar import configuration
from garnetusher.sidecar.discovery.list_reader import ListReader
from garnetusher.sidecar.downstream.request_reader import RequestReader
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.memory_budget import MemoryBudget
from garnetusher.sidecar.requests.request_ids import RequestIds
from garnetusher.sidecar.requests.shared_request_ids import SharedRequestIds
from garnetusher.sidecar.requests.trace import EventName, Trace
from garnetusher.sidecar.upstream.response_reader import (
    MAX_HEADERS_SIZE,
    ResponsePart,
    ResponseReader,
    ResponseTooLargeError,
)
from tests.net import entry, listing
from tests.processes import SETTINGS, write_configuration

GROWTH = 4
REPETITIONS = 3
PART_SIZES = (1, 512, 64 * 1024)
MILLISECONDS_PER_S = 1000
HEAD = b"POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 900\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OK_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
ROUTER = RequestRouter(Settings([RequestClass("pay", 400_000, 1_200_000, effect="at_most_once")]))
Feed = Callable[[bytes], object]


@dataclass(frozen=True)
class ByteCase:
    """A reader that gets bytes in parts.

    Attributes:
        name: the row of the table.
        count: the smaller number of elements.
        make_reader: returns a function that takes one part.
        make_data: returns the bytes with a number of elements.
    """

    name: str
    count: int
    make_reader: Callable[[], Feed]
    make_data: Callable[[int], bytes]


def request_reader() -> Feed:
    def on_head_complete() -> None:
        reader.route(ROUTER)

    reader = RequestReader(on_head_complete)

    def feed(data: bytes) -> None:
        reader.feed(data)
        reader.take_body()

    return feed


def response_reader() -> Feed:
    class Consumer:
        def start_streaming(self, head: object) -> Consumer:
            return self

        def write_chunk(self, data: bytes) -> None:
            pass

    reader = ResponseReader()
    reader.start(Consumer())

    def feed(data: bytes) -> None:
        reader.received += len(data)
        reader.feed(data)
        if reader.exceeds_framing_limit:  # its connection then ends the response
            raise ResponseTooLargeError(ResponsePart.HEADERS, MAX_HEADERS_SIZE)

    return feed


def list_reader() -> Feed:
    reader = ListReader()

    def feed(data: bytes) -> None:
        reader.feed(data)
        reader.next_message()

    return feed


def fleet(count: int) -> dict[str, object]:
    return listing(*(entry(f"u{number}", number % 60_000 + 1) for number in range(count)))


CASES = (
    ByteCase("endpoint list, one line", 800, list_reader, lambda n: json.dumps(fleet(n)).encode() + b"\n"),
    ByteCase("endpoint list, indented", 800, list_reader, lambda n: json.dumps(fleet(n), indent=2).encode() + b"\n"),
    ByteCase(
        "endpoint list, commas first",
        800,
        list_reader,
        lambda n: json.dumps(fleet(n), indent=2).replace(",\n", "\n,").encode() + b"\n",
    ),
    ByteCase("request head, one field", 3_500, request_reader, lambda n: HEAD + b"X-A: " + b"a" * n + b"\r\n\r\n"),
    ByteCase("request head, short fields", 500, request_reader, lambda n: HEAD + b"a: b\r\n" * n + b"\r\n"),
    ByteCase(
        "request body, chunks of one byte",
        20_000,
        request_reader,
        lambda n: CHUNKED_HEAD + b"1\r\nx\r\n" * n + b"0\r\n\r\n",
    ),
    ByteCase(
        "request body, one chunk",
        500_000,
        request_reader,
        lambda n: CHUNKED_HEAD + b"%x\r\n%s\r\n0\r\n\r\n" % (n, b"x" * n),
    ),
    ByteCase(
        "request trailer, one field",
        200_000,
        request_reader,
        lambda n: CHUNKED_HEAD + b"%x\r\n%s\r\n0\r\nX-A: " % (n, b"x" * n) + b"a" * n + b"\r\n\r\n",
    ),
    ByteCase("response head, short fields", 2_000, response_reader, lambda n: OK_HEAD[:-2] + b"a: b\r\n" * n + b"\r\n"),
    ByteCase("interim responses", 5_000, response_reader, lambda n: INTERIM * n + OK_HEAD),
    ByteCase(
        "response body, chunks of one byte",
        20_000,
        response_reader,
        lambda n: OK_HEAD + b"1\r\nx\r\n" * n + b"0\r\n\r\n",
    ),
    ByteCase(
        "response trailer, one field",
        200_000,
        response_reader,
        lambda n: OK_HEAD + b"1\r\nx\r\n0\r\nX-A: " + b"a" * n + b"\r\n\r\n",
    ),
    ByteCase(
        "surplus responses", 5_000, response_reader, lambda n: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * n
    ),
)


def cost_s(case: ByteCase, count: int, part_size: int) -> tuple[float, float, str]:
    """Return the sum and the largest time of a part, in seconds, and the error that ended the reading."""
    data = case.make_data(count)
    feed = case.make_reader()
    total_s = largest_s = 0.0
    for start in range(0, len(data), part_size):
        part = data[start : start + part_size]
        started_s = time.perf_counter()
        try:
            feed(part)
        except GarnetusherError as error:
            return total_s, largest_s, str(error)
        duration_s = time.perf_counter() - started_s
        total_s += duration_s
        largest_s = max(largest_s, duration_s)
    return total_s, largest_s, ""


def byte_lines() -> Iterator[str]:
    for case in CASES:
        for part_size in PART_SIZES:
            smaller = min(cost_s(case, case.count, part_size) for _ in range(REPETITIONS))
            larger = min(cost_s(case, GROWTH * case.count, part_size) for _ in range(REPETITIONS))
            yield line(f"{case.name}, parts of {part_size}", case.count, smaller[0], larger[0], larger[1], larger[2])


def line(name: str, count: int, smaller_s: float, larger_s: float, largest_s: float, error: str = "") -> str:
    figures = [f"{MILLISECONDS_PER_S * each:.2f}" for each in (smaller_s, larger_s)]
    ratio = f"{larger_s / max(smaller_s, 1e-9):.1f}"
    columns = [name, str(count), *figures, ratio, f"{MILLISECONDS_PER_S * largest_s:.2f}", error]
    return f"| {' | '.join(columns)} |"


def timed(action: Callable[[], object]) -> float:
    started_s = time.perf_counter()
    action()
    return time.perf_counter() - started_s


def configuration_cost_s(**changes: object) -> float:
    """Return the time of a reload of a changed file."""
    with tempfile.TemporaryDirectory() as folder:
        path = str(write_configuration(Path(folder), **changes))
        previous = configuration.load(path)
        return timed(lambda: configuration.reload(path, previous))


def tenants(count: int) -> dict[str, object]:
    accounts = [{"name": f"t{n}", "share": 1 / count, "allowance-per-s": 10.0} for n in range(count)]
    return SETTINGS | {"accounts": accounts}


def classes(count: int) -> dict[str, object]:
    return SETTINGS | {"request-classes": [SETTINGS["request-classes"][0] | {"name": f"c{n}"} for n in range(count)]}


def shared_ids_cost_s(count: int) -> float:
    with tempfile.TemporaryDirectory() as folder:
        writer = SharedRequestIds(Path(folder))
        for key in range(count):
            writer.write(key, key + 1, claimed=True)
        ids = RequestIds(MemoryBudget(), 0, SharedRequestIds(Path(folder)))
        return timed(lambda: ids.claim(count + 1, 0))


def trace_cost_s(count: int) -> float:
    trace = Trace()
    for number in range(count):
        trace.record_event(EventName.RECEIVED, number + 1, reason="9b1f03aa5c7e2d41")
    return timed(lambda: "\n".join(json.dumps(event.to_dict()) for event in trace.all_events()))


WHOLE_CASES: dict[str, tuple[int, Callable[[int], float]]] = {
    "reload with known endpoints": (800, lambda n: configuration_cost_s(known=fleet(n))),
    "reload with tenants": (200, lambda n: configuration_cost_s(settings=tenants(n))),
    "reload with classes": (50, lambda n: configuration_cost_s(settings=classes(n))),
    "first claim with shared ids": (4_096, shared_ids_cost_s),
    "trace, all events": (256, trace_cost_s),
}


def whole_lines() -> Iterator[str]:
    for name, (count, cost) in WHOLE_CASES.items():
        smaller_s, larger_s = (min(cost(size) for _ in range(REPETITIONS)) for size in (count, GROWTH * count))
        yield line(name, count, smaller_s, larger_s, larger_s)


def main() -> None:
    print("| place | n | n, ms | 4n, ms | ratio | longest part at 4n, ms | error at 4n |")
    print("| --- | ---: | ---: | ---: | ---: | ---: | --- |")
    for each in byte_lines():
        print(each, flush=True)
    for each in whole_lines():
        print(each, flush=True)


if __name__ == "__main__":
    main()
