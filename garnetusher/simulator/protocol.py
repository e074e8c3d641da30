"""The binary protocol of the simulator: decodes frames into events and encodes actions into frames.

A frame is a header followed by records. Each record contains one event, one action or an endpoint list. It consists of
a code, which identifies the type of the record, the number of a balancer instance, and the fields of that type. An
endpoint list has no instance number. This module makes no balancing decisions.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from garnetusher.errors import GarnetusherError
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
from garnetusher.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    HealthCheckEnded,
    Outcome,
    PeerMessage,
    RequestArrived,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)

HEADER = struct.Struct("<IIQ")  # body size in bytes, number of records, time in us
REPLY_HEADER = struct.Struct("<II")  # body size in bytes, number of records

# Layouts of the fields of an endpoint list, which follow the code of the record.
_ENDPOINT = struct.Struct("<IBBHBfQ")
_ENDPOINT_LIST_HEADER = struct.Struct("<II")

# Layouts of the fields that follow the code and the instance number of other records.
_INSTANCE_STARTED = struct.Struct("<QI")
_ENDPOINTS_UPDATED = struct.Struct("<BII")
_REQUEST_ARRIVED = struct.Struct("<IBIQIBQ")
_ATTEMPT_ENDED = struct.Struct("<IBIHIBB")
_RESPONSE_STARTED = struct.Struct("<IBII")
_HEALTH_CHECK_ENDED = struct.Struct("<IHIB")
_PEER_MESSAGE = struct.Struct("<HH")
_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")
_ALL_PEERS = 0xFFFFFFFF  # recipient number of a message to all other instances
_MAX_TEXT_BYTES = 0xFFFF  # the length field of a text is a u16

_ENDPOINT_LIST_CODE = 110

# Bits in the flags field of a request arrival.
_EXPECTED_WORK_KNOWN = 1
_CLIENT_RETRY = 2
_WRITES = 4

# Codes of outcomes; the protocol uses the errno values of Linux, such as 110 for ETIMEDOUT.
_OUTCOMES = {
    0: Outcome.OK,
    5: Outcome.ERROR,
    11: Outcome.OVERLOADED,
    110: Outcome.TIMEOUT,
    111: Outcome.CONNECT_FAILED,
    104: Outcome.RESET,
    125: Outcome.CANCELLED,
    114: Outcome.NOT_WRITTEN,
}
_STATUSES = {0: EndpointStatus.REMOVED, 1: EndpointStatus.READY, 2: EndpointStatus.DRAINING}
_UPDATE_KINDS = {0: UpdateKind.DELTA, 1: UpdateKind.SNAPSHOT, 2: UpdateKind.CACHED, 3: UpdateKind.FAILED}
_Value = TypeVar("_Value")


class ProtocolError(GarnetusherError):
    """A frame cannot be decoded; the message says what is malformed and where."""


@dataclass(slots=True)
class InstanceStarted:
    """A record of the simulator: an instance has started and has no state yet.

    Attributes:
        seed: the seed of the random draws of the instance.
        settings_text: the settings as lines of path=value.
    """

    seed: int
    settings_text: str


@dataclass(slots=True)
class InstanceStopped:
    """A record of the simulator: an instance was killed."""


@dataclass(slots=True)
class InternalError:
    """A reply record: the policy raised an exception; `text` contains its type and its message."""

    text: str


Record = Event | InstanceStarted | InstanceStopped
ReplyRecord = Action | InternalError


class Decoder:
    """Decodes frame bodies and stores the numbered endpoint lists to which later records refer."""

    def __init__(self) -> None:
        self.endpoint_lists: dict[int, list[Endpoint]] = {}
        self._data = b""
        self._offset = 0

    def decode_records(self, data: bytes, count: int) -> Iterator[tuple[int, Record]]:
        """Yield the (instance number, record) pairs of a frame body, in order.

        Raises:
            ProtocolError: a record is malformed; the message has its index and its offset in the body.
        """
        self._data, self._offset = data, 0
        for index in range(count):
            start = self._offset
            try:
                record = self._read_record()
            except (ProtocolError, UnicodeDecodeError) as error:
                message = f"record {index} at byte {start}: {error}"
                raise ProtocolError(message) from error
            if record is not None:
                yield record
        if self._offset != len(data):
            message = f"{len(data) - self._offset} bytes left over after {count} records"
            raise ProtocolError(message)

    def _read_record(self) -> tuple[int, Record] | None:
        """Read one record; store an endpoint list and return None for it."""
        code = self.read_bytes(1)[0]
        if code == _ENDPOINT_LIST_CODE:
            self._read_endpoint_list()
            return None
        reader = _READERS.get(code)
        if reader is None:
            message = f"unknown event code {code}"
            raise ProtocolError(message)
        instance = self.read_fields(_U16)[0]
        return instance, reader(self)

    def read_bytes(self, size: int) -> bytes:
        """Return the next `size` bytes.

        Raises:
            ProtocolError: fewer bytes are left.
        """
        end = self._offset + size
        if end > len(self._data):
            message = f"truncated: expected {size} bytes, {len(self._data) - self._offset} left"
            raise ProtocolError(message)
        chunk = self._data[self._offset : end]
        self._offset = end
        return chunk

    def read_fields(self, layout: struct.Struct) -> tuple[int, ...]:
        """Return the values of the next fields, which have this layout."""
        return layout.unpack(self.read_bytes(layout.size))

    def read_load_report(self, count: int) -> list[float]:
        """Return the next `count` values of type float, which are a load report.

        Raises:
            ProtocolError: a value is not finite, or fewer values are left.
        """
        values = list(struct.unpack(f"<{count}f", self.read_bytes(4 * count)))
        if not all(map(math.isfinite, values)):
            message = "a load report value is not a finite number"
            raise ProtocolError(message)
        return values

    def _read_endpoint_list(self) -> None:
        list_number, count = self.read_fields(_ENDPOINT_LIST_HEADER)
        data = self.read_bytes(_ENDPOINT.size * count)
        self.endpoint_lists[list_number] = [_endpoint(fields) for fields in _ENDPOINT.iter_unpack(data)]


def _endpoint(fields: tuple[Any, ...]) -> Endpoint:
    endpoint_id, zone, machine_type, cell, status, weight, started_us = fields
    if not math.isfinite(weight):
        message = f"upstream {endpoint_id} has a weight that is not a finite number"
        raise ProtocolError(message)
    return Endpoint(
        endpoint_id, _look_up(_STATUSES, status, "upstream status"), zone, machine_type, cell, weight, started_us
    )


def _look_up(table: dict[int, _Value], code: int, field_name: str) -> _Value:
    value = table.get(code)
    if value is None:
        message = f"unknown {field_name} {code}"
        raise ProtocolError(message)
    return value


def _read_instance_started(decoder: Decoder) -> Record:
    seed, size = decoder.read_fields(_INSTANCE_STARTED)
    return InstanceStarted(seed, decoder.read_bytes(size).decode())


def _read_instance_stopped(_decoder: Decoder) -> Record:
    return InstanceStopped()


def _read_endpoints_updated(decoder: Decoder) -> Record:
    kind_code, version, list_number = decoder.read_fields(_ENDPOINTS_UPDATED)
    update_kind = _look_up(_UPDATE_KINDS, kind_code, "update kind")
    if update_kind is UpdateKind.FAILED:
        return EndpointsUpdated(update_kind, [], version)
    if list_number not in decoder.endpoint_lists:
        message = f"upstream list {list_number} was never sent"
        raise ProtocolError(message)
    return EndpointsUpdated(update_kind, decoder.endpoint_lists[list_number], version)


def _read_request_arrived(decoder: Decoder) -> Record:
    fields = decoder.read_fields(_REQUEST_ARRIVED)
    request_id, class_index, tenant_index, affinity_key, work_us, flags, deadline_us = fields
    return RequestArrived(
        request_id,
        deadline_us,
        class_index,
        tenant_index,
        affinity_key,
        expected_work_us=work_us if flags & _EXPECTED_WORK_KNOWN else 0,
        client_retry=bool(flags & _CLIENT_RETRY),
        writes=bool(flags & _WRITES),
    )


def _read_attempt_ended(decoder: Decoder) -> Record:
    fields = decoder.read_fields(_ATTEMPT_ENDED)
    request_id, attempt_index, endpoint_id, outcome_code, elapsed_us, completed, report_size = fields
    return AttemptEnded(
        request_id,
        attempt_index,
        endpoint_id,
        _look_up(_OUTCOMES, outcome_code, "outcome"),
        elapsed_us,
        request_completed=bool(completed),
        load_report=decoder.read_load_report(report_size),
    )


def _read_response_started(decoder: Decoder) -> Record:
    request_id, attempt_index, elapsed_us, endpoint_id = decoder.read_fields(_RESPONSE_STARTED)
    return ResponseStarted(request_id, attempt_index, endpoint_id, elapsed_us)


def _read_health_check_ended(decoder: Decoder) -> Record:
    endpoint_id, outcome_code, elapsed_us, report_size = decoder.read_fields(_HEALTH_CHECK_ENDED)
    outcome = _look_up(_OUTCOMES, outcome_code, "outcome")
    return HealthCheckEnded(endpoint_id, outcome, elapsed_us, decoder.read_load_report(report_size))


def _read_peer_message(decoder: Decoder) -> Record:
    sender_id, size = decoder.read_fields(_PEER_MESSAGE)
    return PeerMessage(sender_id, decoder.read_bytes(size))


def _read_timer_fired(decoder: Decoder) -> Record:
    return TimerFired(decoder.read_fields(_U32)[0])


def _read_client_disconnected(decoder: Decoder) -> Record:
    return ClientDisconnected(decoder.read_fields(_U32)[0])


_READERS: dict[int, Callable[[Decoder], Record]] = {
    10: _read_attempt_ended,
    20: _read_response_started,
    30: _read_peer_message,
    40: _read_instance_stopped,
    50: _read_timer_fired,
    60: _read_client_disconnected,
    70: _read_request_arrived,
    80: _read_endpoints_updated,
    90: _read_health_check_ended,
    100: _read_instance_started,
}


def _packer(code: int, layout: str) -> Callable[..., bytes]:
    """Return a function that packs a record of this code from an instance number and the fields of this layout."""
    record = struct.Struct("<BH" + layout)
    return lambda instance, *fields: record.pack(code, instance, *fields)


_pack_forward = _packer(20, "IIi")
_pack_shed = _packer(40, "II")
_pack_fail = _packer(90, "I")
_pack_cancel_attempt = _packer(100, "IB")
_pack_check_health = _packer(80, "I")
_pack_set_timer = _packer(30, "QI")
_pack_watch_endpoints = _packer(70, "B")
_pack_poll_endpoints = _packer(10, "")
_pack_close_idle_connections = _packer(110, "I")
_pack_peer_message = _packer(50, "IH")
_pack_log_message = _packer(120, "H")
_pack_internal_error = _packer(60, "H")


def _pack_text(pack: Callable[..., bytes], instance: int, text: str) -> bytes:
    raw = text.encode()[:_MAX_TEXT_BYTES]
    return pack(instance, len(raw)) + raw


def _write_peer_message(instance: int, action: SendToPeer) -> bytes:
    recipient_id = _ALL_PEERS if action.recipient_id is None else action.recipient_id
    return _pack_peer_message(instance, recipient_id, len(action.payload)) + action.payload


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    Forward: lambda instance, action: _pack_forward(instance, action.request_id, action.endpoint_id, action.timeout_us),
    Shed: lambda instance, action: _pack_shed(instance, action.request_id, action.retry_after_us),
    Fail: lambda instance, action: _pack_fail(instance, action.request_id),
    CancelAttempt: lambda instance, action: _pack_cancel_attempt(instance, action.request_id, action.attempt_index),
    CheckHealth: lambda instance, action: _pack_check_health(instance, action.endpoint_id),
    SetTimer: lambda instance, action: _pack_set_timer(instance, action.at_us, action.token),
    WatchEndpoints: lambda instance, action: _pack_watch_endpoints(instance, int(action.active)),
    PollEndpoints: lambda instance, _action: _pack_poll_endpoints(instance),
    CloseIdleConnections: lambda instance, action: _pack_close_idle_connections(instance, action.endpoint_id),
    SendToPeer: _write_peer_message,
    LogMessage: lambda instance, action: _pack_text(_pack_log_message, instance, action.text),
    InternalError: lambda instance, action: _pack_text(_pack_internal_error, instance, action.text),
}


def encode_record(instance: int, action: ReplyRecord) -> bytes:
    """Return the encoded record of an action or of an internal error."""
    return _WRITERS[type(action)](instance, action)


def encode_reply_frame(records: list[bytes]) -> bytes:
    """Return the reply frame that carries these encoded records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body), len(records)) + body
