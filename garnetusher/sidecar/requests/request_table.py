"""The requests in progress, by id."""

from __future__ import annotations

from collections.abc import Callable

from garnetusher.sidecar.memory_budget import REQUEST_SIZE, MemoryBudget, MemoryHolding
from garnetusher.sidecar.requests.messages import PendingRequest, ResponseState


class RequestTable:
    """The requests that have no final response yet, or that have an attempt in flight."""

    def __init__(self, memory: MemoryBudget, on_removed: Callable[[PendingRequest], None]) -> None:
        """Start without requests.

        Args:
            memory: bounds the bytes that all peers together make this process hold.
            on_removed: called with each request that is done.
        """
        self._memory = memory
        self._on_removed = on_removed
        self._requests: dict[int, PendingRequest] = {}
        self._holdings: dict[int, MemoryHolding] = {}

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._requests

    def add(self, request: PendingRequest) -> None:
        """Add a request."""
        self._requests[request.request_id] = request
        holding = self._holdings[request.request_id] = MemoryHolding(self._memory)
        holding.resize(REQUEST_SIZE + request.http_request.held_size)

    def get(self, request_id: int) -> PendingRequest | None:
        """Return a request, or None if it is no longer in progress."""
        return self._requests.get(request_id)

    def snapshot(self) -> list[PendingRequest]:
        """Return a copy of the list of requests, in order of arrival."""
        return list(self._requests.values())

    def remove_if_done(self, request: PendingRequest) -> None:
        """Remove a request if it is completed and has no attempt in flight."""
        if request.response_state is not ResponseState.COMPLETED:
            return
        if request.request_id in self._requests and all(attempt.ended for attempt in request.attempts):
            del self._requests[request.request_id]
            self._holdings.pop(request.request_id).release()
            self._on_removed(request)
