"""Guards against memory and work without a bound while one field after a body never ends."""

from __future__ import annotations

import pytest

from garnetusher.policy.settings import RequestClass, Settings
from garnetusher.sidecar.downstream.errors import RequestRejected
from garnetusher.sidecar.downstream.request_reader import MAX_FIELD_SIZE, RequestReader
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.streaming import Head
from garnetusher.sidecar.upstream.response_reader import MAX_FRAMING_SIZE, MAX_HEADERS_SIZE, ResponseReader
from tests.streams import CHUNKED

PART_SIZE = 512
BODY = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
FIELD_START = b"0\r\nX-Trailer: "
EXTENSION_START = b"1;extension="
REQUEST_HEAD = (
    b"POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 900\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class Client:
    """Takes a streamed response."""

    def start_streaming(self, head: Head) -> Client:
        return self

    def write_chunk(self, data: bytes) -> None:
        pass


def feed_field(reader: RequestReader | ResponseReader, size: int) -> None:
    for _ in range(size // PART_SIZE):
        reader.feed(b"a" * PART_SIZE)


@pytest.mark.parametrize("start", [FIELD_START, EXTENSION_START])
def test_request_is_rejected_when_a_field_after_its_body_never_ends(start: bytes) -> None:
    router = RequestRouter(Settings([RequestClass("pay", 400_000, 1_200_000, effect="at_most_once")]))
    reader = RequestReader(lambda: None)
    reader.feed(REQUEST_HEAD)
    reader.route(router)
    for _ in range(16):  # the limit on all framing grows with the body
        reader.feed(BODY)
        reader.take_body()
    reader.feed(start)
    with pytest.raises(RequestRejected) as rejection:
        feed_field(reader, 2 * MAX_FIELD_SIZE)
    assert rejection.value.status == 413


@pytest.mark.parametrize("start", [FIELD_START, EXTENSION_START])
def test_response_exceeds_its_limit_when_a_field_after_its_body_never_ends(start: bytes) -> None:
    reader = ResponseReader()
    reader.start(Client())
    reader.feed(CHUNKED + 16 * BODY + start)
    reader.received = len(CHUNKED) + 16 * len(BODY)  # its connection counts these bytes
    feed_field(reader, 2 * MAX_HEADERS_SIZE)
    assert reader.exceeds_framing_limit


def test_response_is_read_when_it_has_thousands_of_short_trailers() -> None:
    reader = ResponseReader()
    reader.start(Client())
    trailers = b"a: b\r\n" * (MAX_FRAMING_SIZE // 8)
    data = CHUNKED + b"1\r\nx\r\n0\r\n" + trailers + b"\r\n"
    for start in range(0, len(data), PART_SIZE):
        reader.feed(data[start : start + PART_SIZE])
        assert start == 0 or reader.calls > 0  # the pacing of reads counts trailers
        assert not reader.exceeds_framing_limit
    assert reader.complete
