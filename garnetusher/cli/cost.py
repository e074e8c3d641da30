"""`garnetusher model cost`: what one request's decisions cost, by the length of the list."""

from __future__ import annotations

import statistics
import time

from msgspec import Struct

from garnetusher.model.steady import Listing, Steady, change, listing

ROUNDS, REQUESTS = 7, 400  # the median of so many rounds of so many requests
CHANGES = 50  # changes of one entry each, of which the longest counts


class Cost(Struct):
    """Of one list. Times are of this process's CPU: microseconds a request, milliseconds for a list."""

    upstreams: int
    cold: bool
    request_us: float
    list_ms: float  # to take the whole list
    same_list_ms: float  # and again, with nothing changed
    change_ms: float  # to take a change of one entry: the longest of some
    sent: float  # part of the requests that went to an upstream


def measure(count: int, cold: bool, seed: int = 1) -> Cost:
    """Play a steady stream over `count` upstreams."""
    steady, whole = Steady(seed), listing(count, cold)
    list_ms = _ms(steady, whole)
    same_ms = _ms(steady, listing(count, cold))
    for _ in range(REQUESTS):
        steady.ask()
    rounds = []
    for _ in range(ROUNDS):
        began = time.process_time_ns()
        for _ in range(REQUESTS):
            steady.ask()
        rounds.append((time.process_time_ns() - began) / 1000 / REQUESTS)
    sent, asked = steady.sent, steady.requests
    changes = [_ms(steady, change(whole, number, CHANGES)) for number in range(CHANGES)]
    return Cost(
        count,
        cold,
        round(statistics.median(rounds), 1),
        round(list_ms, 2),
        round(same_ms, 2),
        round(max(changes), 3),
        round(sent / asked, 3),
    )


def _ms(steady: Steady, event: Listing) -> float:
    began = time.process_time_ns()
    steady.tell(event)
    return (time.process_time_ns() - began) / 1e6


def table(costs: list[Cost]) -> str:
    """In Markdown, a row each."""
    lines = [
        "| upstreams | state | us a request | ms a list | ms the same list | ms a change, longest | sent |",
        "| ---: | --- | ---: | ---: | ---: | ---: | ---: |",
    ]
    lines += [
        f"| {c.upstreams} | {'all cold' if c.cold else 'warm'} | {c.request_us:.1f} | {c.list_ms:.2f} "
        f"| {c.same_list_ms:.2f} | {c.change_ms:.3f} | {c.sent:.3f} |"
        for c in costs
    ]
    return "\n".join(lines)
