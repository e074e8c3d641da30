"""The timer queue of a member."""

from __future__ import annotations

from garnetusher.membership.timers import TimerQueue


def run_due(timers: TimerQueue, now_us: int) -> None:
    while (callback := timers.pop_due(now_us)) is not None:
        callback()


def test_timers_run_in_order_of_due_time_and_then_of_scheduling_when_several_are_due() -> None:
    timers = TimerQueue()
    ran: list[str] = []
    timers.schedule(20, lambda: ran.append("late"))
    timers.schedule(10, lambda: ran.append("first"))
    timers.schedule(10, lambda: ran.append("second"))
    assert timers.next_due_us == 10
    run_due(timers, 19)
    assert ran == ["first", "second"]
    run_due(timers, 20)
    assert ran == ["first", "second", "late"]


def test_timers_keep_their_order_when_all_are_postponed() -> None:
    timers = TimerQueue()
    ran: list[str] = []
    timers.schedule(10, lambda: ran.append("a"))
    timers.schedule(20, lambda: ran.append("b"))
    timers.postpone_all(5)
    run_due(timers, 14)
    assert ran == []
    run_due(timers, 25)
    assert ran == ["a", "b"]


def test_timers_run_nothing_when_they_are_cleared() -> None:
    timers = TimerQueue()
    timers.schedule(10, lambda: None)
    timers.clear()
    assert timers.next_due_us is None
    assert timers.pop_due(10) is None
