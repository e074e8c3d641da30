"""The reasons of trace events about states: one enum for each kind of event, documented in docs/on-call/trace.md.

Their values are part of the JSON of the admin API.
"""

from __future__ import annotations

import enum


class WatchTransition(enum.StrEnum):
    """What happened to the watch of the endpoint list."""

    CONNECTING = "connecting"
    AWAITING_RESPONSE = "awaiting response"  # connected, and the request is sent
    STREAMING = "streaming"  # the first bytes of the response have arrived
    APPLYING = "applying a long list"
    CURRENT = "current"  # all that discovery has sent is applied
    SILENT = "silent"  # discovery answered, and then sent nothing within SILENCE_TIMEOUT_S
    NO_RESPONSE = "no response"  # no first bytes within RESPONSE_TIMEOUT_S, which includes connecting
    CONNECT_FAILED = "connect failed"
    CONNECTION_LOST = "connection lost"
    RESPONSE_ENDED = "response ended"  # discovery completed a response that a healthy watch never completes
    ERROR_RESPONSE = "error response"  # discovery completed a response with another status than 200
    MALFORMED = "malformed data"
    ADDRESS_CHANGED = "address changed"  # the configuration names another address of discovery
    RETRY_WAITING = "waiting to reconnect"  # the watcher itself reconnects after RECONNECT_DELAY_S
    POLICY_WAITING = "waiting for the policy"  # the policy decides when the next watch begins
    STOPPED = "stopped"  # the policy or new settings ended the watch


class LifecycleTransition(enum.StrEnum):
    """A state that the process entered, or a step of its shutdown."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPING = "stopping"
    CLOSED = "closed"  # this process accepts no new connections
    REJECTING_INCOMPLETE = "rejecting incomplete requests"  # the time for final responses has come


class ClientCloseReason(enum.StrEnum):
    """Why a connection from a client was closed; the first reason counts."""

    CLIENT_CLOSED = "client closed"  # while no complete request was open on it
    CLIENT_HALF_CLOSED = "client sends no more"  # closed after the response to its last request
    CLIENT_ASKED = "client asked"  # `Connection: close`, or HTTP/1.0 without keep-alive
    RESET = "reset"  # a read or a write failed
    NO_REQUEST = "no request"  # the first bytes did not arrive within the read time-out
    READ_TIMEOUT = "read timeout"  # the rest of a request did not arrive in time
    CLIENT_STALLED = "client does not read"  # it read nothing of a response for STALL_TIMEOUT_US
    BAD_REQUEST = "bad request"  # the response is an error for the head, the framing or the size of the request
    PIPELINED = "pipelined request"  # bytes arrived before the response to the previous request
    INTERNAL_ERROR = "internal error"
    RESPONSE_BEFORE_BODY_END = "response before the end of the body"
    BODY_NOT_READ = "body not read in time"
    BODY_MEMORY = "no memory for the body"
    MEMORY = "no memory for the request"  # requests that are being read hold all the memory that they may hold
    RESPONSE_REQUIRES_CLOSE = "response requires close"  # only the close of the connection marks its end
    RESPONSE_INCOMPLETE = "response incomplete"  # the upstream broke a streamed response off
    CONNECTION_LIMIT = "connection limit"
    DRAINING = "draining"
    SHUTDOWN = "shutdown"


class LateRequest(enum.StrEnum):
    """Why a request that came late after SIGTERM was refused; SIGKILL could cut its response off."""

    NOT_REPEATABLE = "may not run twice"  # it was refused before it could run
    LONG_RESPONSE = "long response"  # the response would have been streamed


class UpstreamCloseReason(enum.StrEnum):
    """Why an established connection to an upstream was closed; the first reason counts."""

    IDLE_LIMIT = "idle limit"  # closed before the upstream closes it
    IDLE_REUSE_EVIDENCE = "idle reuse evidence"  # connections that were idle for so long have lost requests
    ENDPOINT_REMOVED = "endpoint removed"  # it drains, is gone or has moved
    ENDPOINT_UNUSED = "endpoint not in use"  # the policy uses other endpoints
    UPSTREAM_CLOSED = "upstream closed"
    RESET = "reset"  # a read or a write failed
    UNREQUESTED_DATA = "unrequested data"
    RESPONSE_BEFORE_REQUEST = "response before the request"  # it arrived before the upstream had received the request
    RESPONSE_REQUIRES_CLOSE = "response requires close"
    RESPONSE_BEFORE_REQUEST_END = "response before the end of the request"
    MALFORMED_RESPONSE = "malformed response"
    RESPONSE_TOO_LARGE = "response too large"
    RESPONSE_NOT_WANTED = "response not wanted"  # no client waits for a long response
    RESPONSE_STALLED = "response stalled"  # its upstream sent nothing for STALL_TIMEOUT_US, and room was needed
    ATTEMPT_ABANDONED = "attempt abandoned"  # it was written, and its response is not awaited any more
    LOCAL_SHORTAGE = "shortage on this machine"
