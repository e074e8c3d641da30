"""Admission control: the one-request buffer, load shedding, quotas, client retries and reduced admission."""

from __future__ import annotations

from garnetusher.policy.actions import Shed
from garnetusher.policy.events import (
    Endpoint,
    Outcome,
)
from garnetusher.policy.settings import Tenant
from tests.policy_driver import (
    PAY,
    READ,
    fill_slots,
    log_lines,
    ready_host,
    run_traffic,
)
from tests.policy_host import PolicyHost


def test_admission_buffers_one_request_and_sheds_the_next_when_no_slot_is_free() -> None:
    host = ready_host()
    taken = fill_slots(host)
    assert host.answer(taken[-1]) is None
    last = host.arrive(READ)
    answer = host.answer(last)
    assert isinstance(answer, Shed)
    assert answer.retry_after_us > 0


def test_buffer_is_forwarded_when_a_slot_frees() -> None:
    host = ready_host()
    taken = fill_slots(host)
    freed = host.forward_actions(taken[0])[0].endpoint_id
    host.end(taken[0], 0, Outcome.OK)
    assert [action.endpoint_id for action in host.forward_actions(taken[-1])] == [freed]


def test_buffer_is_shed_when_it_has_waited_half_the_objective() -> None:
    host = ready_host()
    waiting = fill_slots(host)[-1]
    host.advance(200_000)
    assert isinstance(host.answer(waiting), Shed)


def test_admission_sheds_when_the_deadline_is_too_near() -> None:
    host = ready_host()
    request = host.arrive(READ, client_timeout_us=1_000)
    assert isinstance(host.answer(request), Shed)
    assert not host.forward_actions(request)


def test_admission_buffers_then_sheds_when_no_endpoint_is_ready() -> None:
    host = PolicyHost()
    host.update_endpoints([])
    request = host.arrive(READ)
    host.advance(400_000)
    assert isinstance(host.answer(request), Shed)
    host.update_endpoints([Endpoint(5)])
    assert host.forward_actions(host.arrive(READ))


def test_buffer_keeps_the_request_of_higher_weight_when_two_find_no_slot() -> None:
    host = ready_host()
    low_weight = fill_slots(host)[-1]
    high_weight = host.arrive(PAY)
    assert isinstance(host.answer(low_weight), Shed)
    assert host.answer(high_weight) is None
    later_low_weight = host.arrive(READ)
    assert isinstance(host.answer(later_low_weight), Shed)
    host.end(host.forward_actions()[0].request_id, 0, Outcome.OK)
    assert host.forward_actions(high_weight)


def test_buffer_keeps_the_request_of_a_tenant_within_its_quota_when_two_find_no_slot() -> None:
    host = ready_host(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_quota_weight=0.1)
    for _ in range(50):
        host.arrive(READ, tenant_index=0)
    buffered = host.balancer.admission.buffer
    assert buffered is not None
    assert buffered.event.tenant_index == 0
    within_quota = host.arrive(READ, tenant_index=1)
    assert host.answer(within_quota) is None
    assert host.answer(buffered.event.request_id) is not None


def test_admission_buffers_one_request_when_responses_took_no_time() -> None:
    host = ready_host()
    run_traffic(host, 50, response_time_us=0)
    waiting, last = fill_slots(host)[-1], host.arrive(PAY)
    assert [host.answer(request) is None for request in (waiting, last)].count(True) == 1


def send_timed_out_requests(host: PolicyHost, seconds: int) -> None:
    """Send one request per second, each of which times out."""
    for _ in range(seconds):
        host.arrive(PAY)
        host.advance(1_000_000)


def test_admitted_fraction_falls_and_recovers_when_all_endpoints_are_slow_for_a_while() -> None:
    host = ready_host(40, fleet_size=400)
    send_timed_out_requests(host, 30)
    assert 3 <= len(host.forward_actions()) <= 12
    run_traffic(host, 300)
    before = len(host.forward_actions())
    run_traffic(host, 20)
    assert len(host.forward_actions()) - before == 20


def test_admitted_fraction_does_not_fall_when_one_response_among_fast_ones_is_slow() -> None:
    host = ready_host(40, fleet_size=400)
    run_traffic(host, 30, class_index=PAY)
    send_timed_out_requests(host, 1)
    before = len(host.forward_actions())
    run_traffic(host, 10, class_index=PAY)
    assert len(host.forward_actions()) - before == 10


def test_admitted_fraction_falls_little_when_a_sidecar_with_low_traffic_gets_two_slow_responses() -> None:
    host = ready_host(6)
    run_traffic(host, 12, response_time_us=120_000)
    host.advance(5_000_000)
    for _ in range(2):
        request = host.arrive(PAY)
        host.advance(290_000)
        host.end(request, 0, Outcome.OK)
    later = [host.arrive(PAY) for _ in range(6)]
    # If the admitted fraction fell to its minimum, none of these requests would be forwarded
    assert sum(1 for request in later if host.forward_actions(request)) >= 3


def test_log_reports_overload_when_it_begins_and_ends() -> None:
    host = ready_host(2)
    for _ in range(100):
        host.arrive(READ)
    assert log_lines(host) == ["overload begins"]
    host.advance(5_000_000)
    run_traffic(host, 1500)
    assert log_lines(host)[-1] == "overload ends"


def test_admission_rejects_client_retries_when_the_admitted_fraction_is_low() -> None:
    host = ready_host()
    pool = host.balancer.pools[0]
    assert host.forward_actions(host.arrive(READ, client_retry=True))
    pool.admitted_fraction, pool.admission_credit = 0.5, 2.0
    client_retry = host.arrive(READ, client_retry=True)
    assert not host.forward_actions(client_retry)
    assert host.forward_actions(host.arrive(READ))
    host.advance(1_000_000)
    pool.admitted_fraction, pool.admission_credit = 1.0, 1.0
    assert host.forward_actions(host.arrive(READ, client_retry=True))


def test_admission_accepts_client_retries_when_one_response_was_slow() -> None:
    host = ready_host()
    run_traffic(host, 20)
    run_traffic(host, 1, response_time_us=250_000)
    assert host.forward_actions(host.arrive(READ, client_retry=True))
