"""Checks the documented bytes of the simulator's protocol and the errors for malformed frames."""

from __future__ import annotations

import io
import struct

import pytest

from garnetusher.policy import settings_text
from garnetusher.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    Fail,
    Forward,
    LogMessage,
    PollEndpoints,
    SendToPeer,
    SetTimer,
    Shed,
    WatchEndpoints,
)
from garnetusher.policy.balancer import Balancer
from garnetusher.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointsUpdated,
    HealthCheckEnded,
    Outcome,
    PeerMessage,
    RequestArrived,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from garnetusher.simulator import __main__ as simulator_main
from garnetusher.simulator import protocol
from tests.simulator_settings import SETTINGS_TEXT

ENDPOINT_LIST_RECORD = (
    "6e 00000000 02000000 074a1203 00 00 0000 01 0000803f 0000000000000000"
    " f211902c 01 00 0000 01 0000c03f 20145d0000000000"
)
ENDPOINTS_UPDATED_RECORD = "50 0300 02 29000000 00000000"
REQUEST_ARRIVED_RECORD = "46 0300 c4913a5d 00 00000000 640ad2557c3bf091 e02e0000 01 da05840000000000"
ATTEMPT_ENDED_RECORD = "0a 0300 c4913a5d 00 074a1203 0000 44480000 01 00"
FIRST_ENDPOINT_ID, SECOND_ENDPOINT_ID, REQUEST_ID, OTHER_REQUEST_ID = 0x03124A07, 0x2C9011F2, 0x5D3A91C4, 0x0E6F2B19

EVENTS: list[tuple[str, protocol.Record]] = [
    (
        ENDPOINT_LIST_RECORD + ENDPOINTS_UPDATED_RECORD,
        EndpointsUpdated(
            UpdateKind.CACHED,
            [Endpoint(FIRST_ENDPOINT_ID), Endpoint(SECOND_ENDPOINT_ID, zone=1, weight=1.5, started_us=6100000)],
            41,
        ),
    ),
    (
        REQUEST_ARRIVED_RECORD,
        RequestArrived(REQUEST_ID, 8652250, 0, 0, 0x91F03B7C55D20A64, 12000),
    ),
    ("28 0300", protocol.InstanceStopped()),
    ("32 0300 4d000000", TimerFired(77)),
    ("3c 0300 192b6f0e", ClientDisconnected(OTHER_REQUEST_ID)),
    (
        ATTEMPT_ENDED_RECORD,
        AttemptEnded(REQUEST_ID, 0, FIRST_ENDPOINT_ID, Outcome.OK, 18500, True),
    ),
    ("1e 0300 0200 0400 68692037", PeerMessage(2, b"hi 7")),
    ("14 0300 c4913a5d 00 22240000 074a1203", ResponseStarted(REQUEST_ID, 0, FIRST_ENDPOINT_ID, 9250)),
    ("5a 0300 f211902c 0000 78050000 00", HealthCheckEnded(SECOND_ENDPOINT_ID, Outcome.OK, 1400)),
]

FORWARD, SET_TIMER = Forward(REQUEST_ID, FIRST_ENDPOINT_ID, 80000), SetTimer(8912250, 77)

ACTIONS: list[tuple[str, protocol.ReplyRecord]] = [
    ("14 0300 c4913a5d 074a1203 80380100", FORWARD),
    ("5a 0300 192b6f0e", Fail(OTHER_REQUEST_ID)),
    ("32 0300 ffffffff 0400 68692037", SendToPeer(b"hi 7")),
    ("46 0300 01", WatchEndpoints()),
    ("6e 0300 f211902c", CloseIdleConnections(SECOND_ENDPOINT_ID)),
    ("28 0300 192b6f0e 90d00300", Shed(OTHER_REQUEST_ID, 250000)),
    ("1e 0300 7afd870000000000 4d000000", SET_TIMER),
    ("50 0300 f211902c", CheckHealth(SECOND_ENDPOINT_ID)),
    ("78 0300 1100 74776f2073657276657273206b6e6f776e", LogMessage("two servers known")),
    ("64 0300 c4913a5d 00", CancelAttempt(REQUEST_ID, 0)),
    ("3c 0300 1200 696e646578206f7574206f662072616e6765", protocol.InternalError("index out of range")),
    ("0a 0300", PollEndpoints()),
]

EMPTY_FRAME = "00000000 00000000 5a5c800000000000"
THREE_RECORD_FRAME = (
    "2f000000 03000000 5a5c800000000000"
    "46 0300 c4913a5d 00 00000000 640ad2557c3bf091 e02e0000 01 da05840000000000"
    "32 0300 4d000000 3c 0500 192b6f0e"
)


def instance_started(text: str = SETTINGS_TEXT, instance: int = 3, seed: int = 9) -> bytes:
    raw = text.encode()
    return struct.pack("<BHQI", 100, instance, seed, len(raw)) + raw


def frame(records: list[bytes], now_us: int = 8_412_250) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(body), len(records), now_us) + body


def serve(data: bytes) -> bytes:
    sink = io.BytesIO()
    simulator_main.serve(io.BytesIO(data), sink)
    return sink.getvalue()


@pytest.mark.parametrize(("text", "event"), EVENTS)
def test_decoder_reads_the_documented_events(text: str, event: protocol.Record) -> None:
    data = bytes.fromhex(text)
    count = 2 if text.startswith("6e") else 1  # 6e is the code of an endpoint list, a record of its own
    assert list(protocol.Decoder().decode_records(data, count)) == [(3, event)]


@pytest.mark.parametrize(("text", "action"), ACTIONS)
def test_encoder_writes_the_documented_actions(text: str, action: protocol.ReplyRecord) -> None:
    assert protocol.encode_record(3, action) == bytes.fromhex(text)


def test_documented_frames_are_decoded_and_encoded() -> None:
    assert serve(bytes.fromhex(EMPTY_FRAME)) == bytes.fromhex("00000000 00000000")
    events = list(protocol.Decoder().decode_records(bytes.fromhex(THREE_RECORD_FRAME)[16:], 3))
    assert [(i, type(e).__name__) for i, e in events] == [
        (3, "RequestArrived"),
        (3, "TimerFired"),
        (5, "ClientDisconnected"),
    ]
    records = [
        protocol.encode_record(3, FORWARD),
        protocol.encode_record(3, SET_TIMER),
        bytes.fromhex("78 0500 1100 74776f2073657276657273206b6e6f776e"),  # a log message of instance 5
    ]
    assert protocol.encode_reply_frame(records) == bytes.fromhex(
        "34000000 03000000 14 0300 c4913a5d 074a1203 80380100 1e 0300 7afd870000000000 4d000000"
        "78 0500 1100 74776f2073657276657273206b6e6f776e"
    )


def test_arrived_request_is_forwarded_to_a_listed_endpoint() -> None:
    start_records = [
        instance_started(),
        bytes.fromhex(ENDPOINT_LIST_RECORD),
        bytes.fromhex(ENDPOINTS_UPDATED_RECORD),
    ]
    arrival = bytes.fromhex(REQUEST_ARRIVED_RECORD)
    replies = serve(frame(start_records) + frame([arrival]))
    size, _ = struct.unpack_from("<II", replies)
    # The record is behind the first reply frame and the header of the second; a header has 8 bytes.
    code, instance, request_id, endpoint_id = struct.unpack_from("<BHII", replies, 8 + size + 8)
    assert (code, instance, request_id) == (20, 3, REQUEST_ID)
    assert endpoint_id in (FIRST_ENDPOINT_ID, SECOND_ENDPOINT_ID)


def test_instance_restarted_within_one_frame_has_no_state() -> None:
    endpoints_updated = bytes.fromhex(ENDPOINTS_UPDATED_RECORD)
    start_records = [instance_started(), bytes.fromhex(ENDPOINT_LIST_RECORD), endpoints_updated]
    restart = [bytes.fromhex("28 0300"), instance_started(seed=10), endpoints_updated]
    earlier_outcome = bytes.fromhex(ATTEMPT_ENDED_RECORD)
    replies = serve(
        frame(start_records)
        + frame([bytes.fromhex(REQUEST_ARRIVED_RECORD)])
        + frame(restart)
        + frame([earlier_outcome])
    )
    assert replies.endswith(bytes(8))  # the new instance ignores the outcome of an earlier attempt


def test_reused_list_number_refers_to_the_latest_list() -> None:
    empty_list = bytes.fromhex("6e 00000000 00000000")
    endpoints_updated = bytes.fromhex("50 0300 01 29000000 00000000")
    data = bytes.fromhex(ENDPOINT_LIST_RECORD) + endpoints_updated + empty_list + endpoints_updated
    first, second = protocol.Decoder().decode_records(data, 4)
    assert isinstance(first[1], EndpointsUpdated)
    assert len(first[1].endpoints) == 2
    assert isinstance(second[1], EndpointsUpdated)
    assert second[1].endpoints == []


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (bytes(7), "batch 0: truncated header: 7 of 16 bytes"),
        (bytes.fromhex(EMPTY_FRAME) + bytes.fromhex(THREE_RECORD_FRAME)[:30], "batch 1: truncated body"),
        (frame([b"\x07\x03\x00"]), "record 0 at byte 0: unknown event code 7"),
        (frame([b"\x32\x03\x00\x01"]), "record 0 at byte 0: truncated"),
        (struct.pack("<IIQ", 3, 0, 5) + b"abc", "3 bytes left over"),
        (frame([bytes.fromhex("50 0300 02 29000000 05000000")]), "upstream list 5 was never sent"),
        (frame([bytes.fromhex("0a 0300 c4913a5d 00 074a1203 6300 44480000 01 00")]), "unknown outcome 99"),
        (frame([bytes.fromhex("0a 0300 c4913a5d 00 074a1203 0000 44480000 01 01 0000c07f")]), "finite"),
        (
            frame([bytes.fromhex("6e 00000000 01000000 074a1203 00 00 0000 09 0000803f 0000000000000000")]),
            "unknown upstream status 9",
        ),
        (frame([instance_started("instances=3\nnonsense")]), "settings line 2: expected path=value"),
        (
            frame([instance_started(SETTINGS_TEXT.replace("instances=3", "instances=many"))]),
            "setting instances: expected a number",
        ),
        (frame([instance_started(SETTINGS_TEXT.replace("instances=3\n", ""))]), "setting instances is missing"),
        (
            frame([instance_started(SETTINGS_TEXT.replace("most-tries=4", "most-tries=-4"))]),
            "max_attempts of 1 or more",
        ),
        (frame([instance_started(SETTINGS_TEXT.replace("=at_most_once", "=sometimes"))]), "expected one of idempotent"),
        (frame([instance_started(SETTINGS_TEXT.replace("cancel=true", "cancel=yes"))]), "expected one of true, false"),
    ],
)
def test_malformed_frame_raises_a_one_line_error(data: bytes, message: str) -> None:
    with pytest.raises(protocol.ProtocolError) as caught:
        serve(data)
    assert message in str(caught.value)
    assert "\n" not in str(caught.value)


def test_settings_are_parsed_and_unknown_keys_ignored() -> None:
    settings = settings_text.parse_settings(SETTINGS_TEXT + "brand-new.key=1\nfees.fleet=0.2\n")
    assert settings == settings_text.parse_settings(SETTINGS_TEXT)
    assert [c.effect for c in settings.classes] == ["idempotent", "at_most_once", "deduplicated"]
    assert settings.classes[2].deduplication_window_us == 1_200_000
    assert settings.classes[2].deduplication_scope == "cell"
    assert settings.tenants[1].quota_per_s == 152.0
    assert settings.poll_interval_us == 10_000_000
    assert settings.poll_endpoints
    assert settings.hedging
    assert not settings.health_checks


def test_load_report_names_are_translated_and_unknown_ones_kept() -> None:
    settings = settings_text.parse_settings(SETTINGS_TEXT.replace("report.names=", "report.names=busy,q,moon"))
    assert settings.load_report_names == ["utilization", "queued", "moon"]


def test_exception_in_the_policy_is_reported_as_an_internal_error(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_index_error(*_: object) -> list[Action]:
        raise IndexError("index out of range")

    monkeypatch.setattr(Balancer, "handle", raise_index_error)
    replies = serve(frame([instance_started()]) + frame([bytes.fromhex("32 0300 4d000000")]))
    assert b"IndexError: index out of range" in replies


def test_instances_reply_the_same_in_one_host_and_in_several() -> None:
    def run_requests(instances: list[int]) -> dict[int, list[bytes]]:
        host = simulator_main.InstanceHost()
        replies_by_instance: dict[int, list[bytes]] = {i: [] for i in instances}
        start_records = [bytes.fromhex(ENDPOINT_LIST_RECORD)]
        for i in instances:
            start_records += [instance_started(instance=i, seed=i), struct.pack("<BHBII", 80, i, 2, 1, 0)]
        host.handle_frame(1_000_000, len(start_records), b"".join(start_records))
        for n in range(50):
            for i in instances:
                record = struct.pack("<BHIBIQIBQ", 70, i, 100 * n + i, n % 3, 0, 0, 0, 0, 1_600_000 + n)
                replies_by_instance[i].append(host.handle_frame(1_000_000 + n, 1, record))
        return replies_by_instance

    together = run_requests([1, 2, 3])
    assert together == {**run_requests([1]), **run_requests([2]), **run_requests([3])}


def test_class_index_out_of_range_raises_a_protocol_error() -> None:
    arrival = struct.pack("<BHIBIQIBQ", 70, 3, 1, 9, 0, 0, 0, 0, 9_000_000)
    with pytest.raises(protocol.ProtocolError, match="batch 1: instance 3: expected a class index below 3, got 9"):
        serve(frame([instance_started()]) + frame([arrival]))
