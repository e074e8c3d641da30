"""Each request of a run with all tries of its client, and what it earned."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from msgspec import Struct

from garnetusher.model.experiment import Experiment
from garnetusher.model.records import AnyRecord, ClientConnectFailed, RequestSent, ResponseReceived

QUOTA_WINDOW_US = 5_000_000  # over which a tenant's rate is measured
QUOTA_TOLERANCE = 1.25  # chance alone takes a small tenant over its rate in some windows
STATUS_OK = 200


class Request(Struct):
    """A request with all its tries."""

    ident: str
    sidecar: str
    cls: int
    tenant: int
    first_us: int
    worth: float  # the weight that it earns if it is served in time
    answered_us: int | None = None  # when it was first served

    def served(self, aim_us: float) -> bool:
        """Return whether it was served within a latency objective."""
        return self.answered_us is not None and self.answered_us - self.first_us <= aim_us


def requests_of(experiment: Experiment, records: Iterable[AnyRecord]) -> list[Request]:
    """Return all requests, in the order in which their first tries were due."""
    found: dict[str, Request] = {}
    request_of_try: dict[str, Request] = {}
    for record in records:
        if isinstance(record, RequestSent | ClientConnectFailed):
            if record.request not in found:
                found[record.request] = _new_request(experiment, record)
            request_of_try[record.id] = found[record.request]
        elif isinstance(record, ResponseReceived) and _is_served(record) and record.id in request_of_try:
            request = request_of_try[record.id]
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
    """Reduce the weight of what tenants send beyond their quotas, over all their requests of a window alike."""
    counts: dict[tuple[int, int], int] = defaultdict(int)
    for request in requests:
        counts[request.tenant, request.first_us // QUOTA_WINDOW_US] += 1
    over_quota_weight = experiment.over_share_worth
    for request in requests:
        count = counts[request.tenant, request.first_us // QUOTA_WINDOW_US]
        quota = experiment.tenants[request.tenant].share * experiment.load.requests_per_s * QUOTA_WINDOW_US / 1e6
        within = min(1.0, quota * QUOTA_TOLERANCE / count)
        request.worth *= over_quota_weight + (1 - over_quota_weight) * within
