"""`garnetusher model cost`: the CPU time of the decisions on one request, by the length of the endpoint list."""

from __future__ import annotations

import statistics
import time

from msgspec import Struct, field

from garnetusher.cli import markdown
from garnetusher.cli.markdown import Column, number_column
from garnetusher.model.steady import Listing, Steady, change, listing

LIST_LENGTHS = (10, 100, 1000, 10_000)
SEED = 1
ROUNDS = 7  # the median of these counts
REQUESTS_PER_ROUND = 400
CHANGES = 50  # changes of one entry each, of which the longest counts

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
    """What one endpoint list costs, in CPU time of this process.

    Attributes:
        upstreams: the length of the list.
        all_warming: whether all its endpoints are warming up.
        request_us: the decisions on one request.
        list_ms: taking the complete list.
        same_list_ms: taking it again with nothing changed.
        change_ms: taking a change of one entry; the longest of `CHANGES`.
        sent_share: the share of requests that were forwarded.
    """

    upstreams: int
    all_warming: bool = field(name="cold")
    request_us: float
    list_ms: float
    same_list_ms: float
    change_ms: float
    sent_share: float = field(name="sent")


def measure(upstreams: int, *, all_warming: bool) -> DecisionCost:
    """Send a steady stream of requests through one balancer, and measure it."""
    steady = Steady(SEED)
    complete_list = listing(upstreams, all_warming)
    list_ms = _event_ms(steady, complete_list)
    same_list_ms = _event_ms(steady, listing(upstreams, all_warming))
    _round_us(steady)  # the first round fills caches and is not counted
    request_us = statistics.median([_round_us(steady) for _ in range(ROUNDS)])
    sent_share = steady.sent / steady.requests
    change_ms = max(_event_ms(steady, change(complete_list, index, CHANGES)) for index in range(CHANGES))
    return DecisionCost(
        upstreams=upstreams,
        all_warming=all_warming,
        request_us=round(request_us, 1),
        list_ms=round(list_ms, 2),
        same_list_ms=round(same_list_ms, 2),
        change_ms=round(change_ms, 3),
        sent_share=round(sent_share, 3),
    )


def _round_us(steady: Steady) -> float:
    """Microseconds for one request, as the mean of a round."""
    started_ns = time.process_time_ns()
    for _ in range(REQUESTS_PER_ROUND):
        steady.ask()
    return (time.process_time_ns() - started_ns) / 1000 / REQUESTS_PER_ROUND


def _event_ms(steady: Steady, event: Listing) -> float:
    started_ns = time.process_time_ns()
    steady.tell(event)
    return (time.process_time_ns() - started_ns) / 1e6


def table(costs: list[DecisionCost]) -> str:
    """Format a table in Markdown: a row for each list."""
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
