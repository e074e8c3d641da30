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
