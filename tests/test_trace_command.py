"""The command `garnetusher trace` against a running sidecar, against a peer that is none, and without any peer."""

from __future__ import annotations

import asyncio
import json
from functools import partial

import pytest

from tests.net import NOT_RUN, OK, Upstream, free_port, request, respond_with, sidecar
from tests.runner import run
from tests.test_command_errors import run_command

REQUEST_ID = "a&b%41/é"  # as it is in a URL, it would be another id


def test_trace_prints_the_way_of_a_request_and_the_latest_state_events(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(NOT_RUN, OK))) as running:
            monkeypatch.setenv("BALANCER_ADMIN", f"127.0.0.1:{running.admin_port}")
            call = partial(run_command, capsys, monkeypatch, "trace")
            for request_id in ("other", REQUEST_ID):
                await running.send_request(request(request_id=request_id))
            status, out, err = await asyncio.to_thread(call, "--request", REQUEST_ID)
            title, header, *rows = out.splitlines()
            assert (status, title, err) == (0, "request 2", "")
            assert header.split() == ["since", "received", "event", "attempt", "upstream", "reason"]
            assert [row.split()[2] for row in rows] == ["taken", "chosen", "written", "ended", "answered"]
            assert rows[0].split()[:2] == ["+0.0", "ms"]
            _, out, _ = await asyncio.to_thread(call, "--request", "other", "--json")
            assert "full" in [event.get("reason") for event in json.loads(out)]
            _, out, _ = await asyncio.to_thread(call)
            assert [line.split()[-1] for line in out.splitlines() if "lifecycle" in line] == ["starting", "serving"]
            assert "taken" not in out
            _, out, _ = await asyncio.to_thread(call, "--json")
            assert not [event for event in json.loads(out) if "request" in event]
            status, _, err = await asyncio.to_thread(call, "--request", "unknown")
            assert (status, "no request with the X-Request-Id 'unknown' is in the trace" in err) == (1, True)

    run(test)


@pytest.mark.parametrize(
    ("answer", "message"),
    [
        (None, "no answer from"),
        (b"noise\r\n\r\n", "no answer from"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone", "the answer is not a trace"),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"what": "ok"}', "the answer is not a trace"),
        (b"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone", "the sidecar answered 404: none"),
    ],
)
def test_trace_fails_with_one_line_when_the_peer_is_no_sidecar(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch, answer: bytes | None, message: str
) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer or b"")
        writer.close()

    async def test() -> None:
        async with await asyncio.start_server(handle, "127.0.0.1", 0) as server:
            port = free_port() if answer is None else server.sockets[0].getsockname()[1]
            address = f"127.0.0.1:{port}"
            status, out, err = await asyncio.to_thread(run_command, capsys, monkeypatch, "trace", "--at", address)
        assert (status, out, len(err.splitlines())) == (1, "", 1)
        assert message in err

    run(test)
