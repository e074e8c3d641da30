"""`garnetusher model cost`: the CPU time of the decisions on one request, by the length of the endpoint list."""

from __future__ import annotations

import statistics
import time

from msgspec import Struct, field

from garnetusher.cli import markdown
from garnetusher.cli.markdown import Column, number_column
from garnetusher.model.steady_load import EndpointListUpdate, SteadyLoad, endpoint_list, status_update

LIST_LENGTHS = (10, 100, 1000, 10_000)
SEED = 1
ROUND_COUNT = 7  # number of measured rounds; the table shows the median of their costs
REQUESTS_PER_ROUND = 400
CHANGE_COUNT = 50  # number of measured updates of one list entry; the table shows the cost of the slowest update

COLUMNS = (
    number_column("upstreams"),
    Column("state"),
    number_column("us a request"),
    number_column("ms a list"),
    number_column("ms the same list"),
    number_column("ms a change, longest"),
    number_column("sent"),
)


class DecisionCost(Struct):
    """The CPU time that the policy uses with an endpoint list of one length.

    Attributes:
        upstreams: the number of endpoints in the list.
        all_warming: whether all endpoints are warming up.
        request_us: CPU time of the decisions on one request.
        list_ms: CPU time to process the complete list.
        same_list_ms: CPU time to process the same list again.
        change_ms: CPU time to process a change of one entry; the maximum of `CHANGE_COUNT` changes.
        sent_share: the share of requests that the policy forwarded.
    """

    upstreams: int
    all_warming: bool = field(name="cold")
    request_us: float
    list_ms: float
    same_list_ms: float
    change_ms: float
    sent_share: float = field(name="sent")


def measure(upstreams: int, *, all_warming: bool) -> DecisionCost:
    """Measure the CPU time that one balancer uses for list updates and for a steady stream of requests."""
    steady_load = SteadyLoad(SEED)
    complete_list = endpoint_list(upstreams, all_warming)
    list_ms = _event_ms(steady_load, complete_list)
    same_list_ms = _event_ms(steady_load, endpoint_list(upstreams, all_warming))
    _round_us(steady_load)  # the first round fills caches and is not measured
    request_us = statistics.median([_round_us(steady_load) for _ in range(ROUND_COUNT)])
    sent_share = steady_load.sent / steady_load.requests
    change_ms = max(
        _event_ms(steady_load, status_update(complete_list, index, CHANGE_COUNT)) for index in range(CHANGE_COUNT)
    )
    return DecisionCost(
        upstreams=upstreams,
        all_warming=all_warming,
        request_us=round(request_us, 1),
        list_ms=round(list_ms, 2),
        same_list_ms=round(same_list_ms, 2),
        change_ms=round(change_ms, 3),
        sent_share=round(sent_share, 3),
    )


def _round_us(steady_load: SteadyLoad) -> float:
    """Return the mean CPU time of one request in a round, in microseconds."""
    started_ns = time.process_time_ns()
    for _ in range(REQUESTS_PER_ROUND):
        steady_load.send_request()
    return (time.process_time_ns() - started_ns) / 1000 / REQUESTS_PER_ROUND


def _event_ms(steady_load: SteadyLoad, event: EndpointListUpdate) -> float:
    """Return the CPU time of one event, in milliseconds."""
    started_ns = time.process_time_ns()
    steady_load.handle(event)
    return (time.process_time_ns() - started_ns) / 1e6


def table(costs: list[DecisionCost]) -> str:
    """Return a Markdown table with a row for each measurement."""
    rows = [
        [
            str(cost.upstreams),
            "all cold" if cost.all_warming else "warm",
            f"{cost.request_us:.1f}",
            f"{cost.list_ms:.2f}",
            f"{cost.same_list_ms:.2f}",
            f"{cost.change_ms:.3f}",
            f"{cost.sent_share:.3f}",
        ]
        for cost in costs
    ]
    return markdown.table(COLUMNS, rows)
