"""Applies the time-outs of client connections.

Without them, a client that sends nothing or only part of a request would stay connected forever.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetusher.sidecar.requests.messages import RESPONSE_MARGIN_US
from garnetusher.sidecar.streaming import STALL_TIMEOUT_US
from garnetusher.sidecar.transitions import ClientCloseReason

if TYPE_CHECKING:
    from garnetusher.sidecar.downstream.connection import DownstreamConnection

CHECK_INTERVAL_S = 0.1  # interval between time-out checks of all connections
BODY_MEMORY_TIMEOUT_US = 5_000_000  # maximum wait for free memory for a long body


def check(connection: DownstreamConnection, now_us: int) -> None:
    """Apply the time-outs of one connection at a time."""
    reader = connection.reader
    if connection.has_stalled_client(now_us):
        connection.record_close(ClientCloseReason.CLIENT_STALLED)
        connection.reset()
        return
    if connection.closing or reader.complete:
        return
    if connection.has_sent_valid_request and reader.message_started_us == 0:
        return  # the connection is idle between two requests
    if connection.arrival_times.paused_since_us:
        _check_paused_body(connection, now_us)
    elif connection.writer.source is None and must_respond_before_next_check(connection, now_us):
        connection.shed_incomplete_request(ClientCloseReason.BODY_NOT_READ)
    elif now_us > reader.deadline_us and (connection.reading.is_paced or not connection.has_unread_bytes()):
        if reader.message_started_us:
            connection.reject(408, ClientCloseReason.READ_TIMEOUT)
        else:
            connection.schedule_close(ClientCloseReason.NO_REQUEST)


def _check_paused_body(connection: DownstreamConnection, now_us: int) -> None:
    if connection.writer.source is not None:
        return  # no time-out interrupts a started response; the pool resets it if the upstream stops sending
    paused_us = now_us - connection.arrival_times.paused_since_us
    if connection.client_has_closed():
        connection.shed_incomplete_request(ClientCloseReason.CLIENT_CLOSED)
    elif must_respond_before_next_check(connection, now_us):
        connection.shed_incomplete_request(ClientCloseReason.BODY_NOT_READ)
    elif not connection.has_open_request and paused_us > BODY_MEMORY_TIMEOUT_US:
        connection.shed_incomplete_request(ClientCloseReason.BODY_MEMORY, BODY_MEMORY_TIMEOUT_US)
    elif connection.has_open_request and paused_us > STALL_TIMEOUT_US:
        connection.arrival_times.restart_pause(now_us)  # the next attempt has the full time-out to take the body
        connection.report_stalled_body()


def must_respond_before_next_check(connection: DownstreamConnection, now_us: int) -> bool:
    """Return whether the body may have been written to its end and the response is due before the next check."""
    http_request = connection.reader.http_request
    unread_end_since_us = connection.arrival_times.unread_end_since_us(connection.reader.missing_size)
    if not unread_end_since_us or http_request is None:
        return False
    response_due_us = unread_end_since_us + http_request.client_timeout_us - RESPONSE_MARGIN_US
    return now_us + int(CHECK_INTERVAL_S * 1e6) > response_due_us
