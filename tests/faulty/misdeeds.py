"""The sidecar with one seeded fault each, for the checker to catch: `python -m tests.faulty.misdeeds NAME`."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any

from glenkeel.balance import Balancer, Request
from glenkeel.interface import UpstreamState
from glenkeel.slots import Server
from plovertrail import __main__ as program
from plovertrail import discovery, host, server
from plovertrail.gate import Gate
from plovertrail.request import Answer, Verdict, clock_us


def answers_twice() -> None:
    """One answer in fifty is written again behind itself."""
    write: Callable[..., None] = server.Client.write
    count = 0

    def twice(self: Any, status: int, body: bytes, head: bytes = b"", last: bool = False) -> None:
        nonlocal count
        write(self, status, body, head, last)
        count += 1
        if count % 50 == 0 and not self.ending:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    server.Client.write = twice  # type: ignore[method-assign]


def repeats_unsafe() -> None:
    """What may have run is forgotten, by the policy and by the gate behind it."""
    Request.first_that_may_have_run = lambda self: None  # type: ignore[method-assign]
    Gate.repeat_objection = lambda self, request, attempt, now_us: None  # type: ignore[method-assign]
    Gate.may_refuse = lambda self, request: True  # type: ignore[method-assign]


def sends_to_drained() -> None:
    """An upstream that leaves is taken for a ready one."""
    discovery.STATES["leaving"] = UpstreamState.READY


def pushes_cold_over() -> None:
    """As long as there is a cold upstream it gets all requests."""
    draw = Balancer.draw

    def coldest(self: Balancer, request: Request) -> Server | None:
        cold = [s for s in self.servers.values() if s.cohort is not None]
        return cold[0] if cold and self.may_send(request) else draw(self, request)

    Balancer.draw = coldest  # type: ignore[method-assign]


def holds_back() -> None:
    """What is given up is answered just before the client's time is out."""
    answer = host.Host._answer

    def late(self: host.Host, ident: int, answer_: Answer) -> None:
        request = self.requests.get(ident)
        if request is None or request.over or answer_.verdict is Verdict.SERVED:
            answer(self, ident, answer_)
            return
        after = max(0.0, (request.due_us - 30_000 - clock_us()) / 1e6)
        asyncio.get_running_loop().call_later(after, answer, self, ident, answer_)

    host.Host._answer = late  # type: ignore[method-assign, assignment]


MISDEEDS = {deed.__name__: deed for deed in (answers_twice, repeats_unsafe, sends_to_drained, pushes_cold_over,
                                             holds_back)}

if __name__ == "__main__":
    MISDEEDS[sys.argv[1]]()
    sys.exit(program.main())
