"""The requests that are not done with, by their ids."""

from __future__ import annotations

from garnetusher.sidecar.requests.messages import PendingRequest, ResponseState


class RequestTable:
    """Requests without a final response, and those whose attempts have not all ended."""

    def __init__(self) -> None:
        self._requests: dict[int, PendingRequest] = {}

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._requests

    def add(self, request: PendingRequest) -> None:
        """Add a request."""
        self._requests[request.request_id] = request

    def get(self, request_id: int) -> PendingRequest | None:
        """Return a request, or None if it is done with."""
        return self._requests.get(request_id)

    def snapshot(self) -> list[PendingRequest]:
        """Return the requests in the order of their arrival, as they are now."""
        return list(self._requests.values())

    def remove_if_done(self, request: PendingRequest) -> None:
        """Remove a request that is completed and has no attempt in flight."""
        if request.response_state is not ResponseState.COMPLETED:
            return
        if all(attempt.ended for attempt in request.attempts):
            self._requests.pop(request.request_id, None)
