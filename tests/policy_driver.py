"""Shared steps for tests of the policy: taking all slots, steady traffic and counting the available slots."""

from __future__ import annotations

from garnetusher.policy.actions import LogMessage
from garnetusher.policy.endpoint_state import INITIAL_SLOTS
from garnetusher.policy.events import (
    Outcome,
)
from tests.policy_host import PolicyHost, settings, upstreams

READ, PAY, MARK = 0, 1, 2
INITIAL_SLOT_LIMIT = int(INITIAL_SLOTS)


def ready_host(count: int = 4, **changes: object) -> PolicyHost:
    host = PolicyHost(settings(**changes))
    host.update_endpoints(upstreams(count))
    return host


def fill_slots(host: PolicyHost) -> list[int]:
    """Take every slot and return the ids of the requests; the last request waits in the buffer."""
    requests = []
    for _ in range(1000):
        requests.append(host.arrive(READ))
        if not host.forward_actions(requests[-1]):
            return requests
    raise AssertionError("1000 requests did not take all slots")


def run_traffic(
    host: PolicyHost,
    steps: int,
    failing_upstream: int | None = None,
    failure: Outcome = Outcome.OVERLOADED,
    class_index: int = READ,
    response_time_us: int = 10_000,
) -> None:
    """Send one request per step and end all outstanding attempts after `response_time_us`.

    The attempts end with `failure` at the upstream `failing_upstream`, and with `OK` elsewhere.
    """
    for _ in range(steps):
        host.arrive(class_index)
        host.advance(response_time_us)
        for request in [
            request_id for request_id, record in host.request_records.items() if record.outstanding_indexes()
        ]:
            for index in host.request_records[request].outstanding_indexes():
                fails = host.request_records[request].attempts[index].upstream == failing_upstream
                host.end(request, index, failure if fails else Outcome.OK)


def available_slots(host: PolicyHost) -> int:
    """Return how many requests can be outstanding now, by taking all slots and freeing them again."""
    forwarded = [request_id for request_id in fill_slots(host) if host.forward_actions(request_id)]
    for request in forwarded:
        host.end(request, 0, Outcome.OK)
    return len(forwarded)


def host_with_grown_slots() -> PolicyHost:
    """Return a host with one upstream, whose slot limit has grown under load."""
    host = ready_host(1)
    for _ in range(80):
        fill_slots(host)
        run_traffic(host, 1, response_time_us=20_000)
    run_traffic(host, 1)
    return host


def log_lines(host: PolicyHost) -> list[str]:
    return [action.text for action in host.actions if isinstance(action, LogMessage)]


def send_and_end_requests(host: PolicyHost, outcome: Outcome) -> None:
    """Send 20 requests and end all outstanding attempts with one outcome."""
    for _ in range(20):
        host.arrive(PAY)
    host.advance(10_000)
    for request, record in list(host.request_records.items()):
        for index in record.outstanding_indexes():
            host.end(request, index, outcome)


def hedged_request(host: PolicyHost) -> int:
    """Return a request whose first attempt is slow and whose hedged attempt has answered."""
    request = host.arrive(READ)
    host.advance(200_000)
    assert len(host.forward_actions(request)) == 2
    host.end(request, 1, Outcome.OK)
    return request
