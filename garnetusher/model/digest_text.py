"""The text of policy actions in the digest of a run: a hash over all actions, by which runs are compared.

Digests must stay comparable with those of earlier runs. Therefore this module writes each action with the names that
it had when the first digests were recorded, even if the action has been renamed since.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

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

_EJECTION_LINE = re.compile(r"endpoint (\d+) (ejected|readmitted)")
_ORIGINAL_EJECTION_WORDS = {"ejected": "rests", "readmitted": "is back"}


def _log_text(text: str) -> str:
    """Return a log line in the wording of the first digests (docs/logs.md)."""
    match = _EJECTION_LINE.fullmatch(text)
    if match is None:
        return text
    endpoint_id, change = match.groups()
    return f"upstream {endpoint_id} {_ORIGINAL_EJECTION_WORDS[change]}"


_WRITERS: dict[type[Any], Callable[[Any], str]] = {
    Forward: lambda action: (
        f"Send(request={action.request_id}, upstream={action.endpoint_id}, "
        f"timeout_us={action.timeout_us}, start_by_us={action.latest_start_us})"
    ),
    Shed: lambda action: f"Refuse(request={action.request_id}, retry_after_us={action.retry_after_us})",
    Fail: lambda action: f"Fail(request={action.request_id})",
    CancelAttempt: lambda action: f"Cancel(request={action.request_id}, attempt={action.attempt_index})",
    CheckHealth: lambda action: f"Probe(upstream={action.endpoint_id})",
    SetTimer: lambda action: f"SetTimer(at_us={action.at_us}, token={action.token})",
    WatchEndpoints: lambda action: f"Subscribe(active={action.active})",
    PollEndpoints: lambda _action: "FetchList()",
    CloseIdleConnections: lambda action: f"CloseIdle(upstream={action.endpoint_id})",
    SendToPeer: lambda action: f"TellPeer(payload={action.payload!r}, to={action.recipient_id})",
    LogMessage: lambda action: f"Log(text={_log_text(action.text)!r})",
}


def digest_text(action: Action) -> str:
    """Return the text of an action in the wording of the first digests."""
    return _WRITERS[type(action)](action)
