"""The command `garnetusher trace` against a running sidecar, against a peer that is none, and without any peer."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.net import NOT_RUN, OK, Upstream, free_port, request, respond_with, sidecar
from tests.runner import run
from tests.test_command_errors import run_command


def test_trace_prints_the_way_of_a_request_and_the_latest_state_events(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(NOT_RUN, OK))) as running:

            async def call(*arguments: str) -> tuple[int, str, str]:
                address = f"127.0.0.1:{running.admin_port}"
                return await asyncio.to_thread(run_command, capsys, monkeypatch, "trace", "--at", address, *arguments)

            for request_id in ("other", "a&b%41/é"):
                await running.send_request(request(request_id=request_id))
            status, out, err = await call("--request", "a&b%41/é")
            assert (status, err) == (0, "")
            title, header, *rows = out.splitlines()
            assert title == "request 2"
            assert header.split() == ["since", "received", "event", "attempt", "upstream", "reason"]
            assert [row.split()[2] for row in rows] == ["taken", "chosen", "written", "ended", "answered"]
            assert rows[0].split()[:2] == ["+0.0", "ms"]
            assert rows[-1].endswith("served")
            _, out, _ = await call("--request", "other", "--json")
            assert "full" in [event.get("reason") for event in json.loads(out)]
            status, out, _ = await call()
            assert status == 0
            shown = [line.split(maxsplit=4)[2:] for line in out.splitlines()[1:]]
            assert [row for row in shown if row[0] == "lifecycle"] == [
                ["lifecycle", "-", "starting"],
                ["lifecycle", "-", "serving"],
            ]
            assert "taken" not in out
            _, out, _ = await call("--json")
            assert all(set(event) <= {"at_us", "what", "reason", "upstream"} for event in json.loads(out))
            status, out, err = await call("--request", "unknown")
            assert (status, out) == (1, "")
            assert "no request with the X-Request-Id 'unknown' is in the trace" in err

    run(test)


@pytest.mark.parametrize(
    ("answer", "message"),
    [
        (b"", "no answer from"),
        (b"noise\r\n\r\n", "no answer from"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone", "the answer is not a trace"),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"what": "ok"}', "the answer is not a trace"),
        (b"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone", "the sidecar answered 404: none"),
    ],
)
def test_trace_fails_with_one_line_when_the_peer_is_no_sidecar(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch, answer: bytes, message: str
) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async def test() -> None:
        async with await asyncio.start_server(handle, "127.0.0.1", 0) as server:
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            status, out, err = await asyncio.to_thread(run_command, capsys, monkeypatch, "trace", "--at", address)
        assert (status, out, len(err.splitlines())) == (1, "", 1)
        assert message in err

    run(test)


def test_trace_fails_when_nothing_listens_or_the_address_is_malformed(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    status, _, err = run_command(capsys, monkeypatch, "trace", "--request", "1", "--at", f"127.0.0.1:{free_port()}")
    assert status == 1
    assert "no answer from" in err
    status, _, err = run_command(capsys, monkeypatch, "trace", "--at", "nowhere")
    assert status == 2
    assert "expected host:port" in err
