"""The requests of a run, each with its outcome over all calls of its client."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from msgspec import Struct

from garnetusher.model.experiment import Experiment
from garnetusher.model.records import AnyRecord, ClientConnectFailed, RequestSent, ResponseReceived

QUOTA_WINDOW_US = 5_000_000  # the window in which a tenant's rate is measured
QUOTA_TOLERANCE = 1.25  # a factor, because random variation alone makes a small tenant exceed its quota
STATUS_OK = 200


class Request(Struct):
    """A request, which comprises all calls with its id."""

    ident: str
    sidecar: str
    cls: int
    tenant: int
    first_us: int
    worth: float  # the request's weight in served worth
    answered_us: int | None = None  # the time of the first successful response

    def served(self, aim_us: float) -> bool:
        """Return whether the request was served within the latency objective `aim_us`."""
        return self.answered_us is not None and self.answered_us - self.first_us <= aim_us


def requests_of(experiment: Experiment, records: Iterable[AnyRecord]) -> list[Request]:
    """Return all requests, in the order in which their first calls were due."""
    found: dict[str, Request] = {}
    request_of_call: dict[str, Request] = {}
    for record in records:
        if isinstance(record, RequestSent | ClientConnectFailed):
            if record.request not in found:
                found[record.request] = _new_request(experiment, record)
            request_of_call[record.id] = found[record.request]
        elif isinstance(record, ResponseReceived) and _is_served(record) and record.id in request_of_call:
            request = request_of_call[record.id]
            if request.answered_us is None:
                request.answered_us = record.t
    requests = sorted(found.values(), key=lambda request: request.first_us)
    if experiment.tenants:
        _discount_over_quota(experiment, requests)
    return requests


def _new_request(experiment: Experiment, record: RequestSent | ClientConnectFailed) -> Request:
    return Request(
        ident=record.request,
        sidecar=record.sidecar,
        cls=record.cls,
        tenant=record.tenant,
        first_us=record.first_t,
        worth=experiment.classes[record.cls].worth,
    )


def _is_served(answer: ResponseReceived) -> bool:
    return answer.status == STATUS_OK and answer.by != ""


def _discount_over_quota(experiment: Experiment, requests: list[Request]) -> None:
    """Reduce the weight of a tenant's requests in each window in which it exceeds its quota.

    All requests of the tenant in a window get the same reduction.
    """
    counts: dict[tuple[int, int], int] = defaultdict(int)
    for request in requests:
        counts[request.tenant, request.first_us // QUOTA_WINDOW_US] += 1
    over_quota_weight = experiment.over_share_worth
    for request in requests:
        count = counts[request.tenant, request.first_us // QUOTA_WINDOW_US]
        quota = experiment.tenants[request.tenant].share * experiment.load.requests_per_s * QUOTA_WINDOW_US / 1e6
        share_within_quota = min(1.0, quota * QUOTA_TOLERANCE / count)
        request.worth *= over_quota_weight + (1 - over_quota_weight) * share_within_quota
