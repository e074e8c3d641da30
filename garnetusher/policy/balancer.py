"""The entry point of the policy: handles events in order and returns the resulting actions.

A request takes a free slot of a random endpoint. If no slot is free, it waits in the one-request buffer; if the buffer
is taken, it is shed. A retry takes a slot in the same way (docs/design.md). `garnetusher/policy/events.py` defines the
events and `garnetusher/policy/actions.py` the actions. This module only dispatches events to the components that make
the decisions.

The four rules that the modules of this package refer to:

1. Each request gets one final answer, at the latest shortly after the client stops waiting.
2. A request that may have run is retried only if running it twice has no additional effect. The same condition applies
   to shedding it, which tells the client that a retry is safe.
3. No new attempt goes to an endpoint that is draining or removed, and the endpoint list is kept current.
4. The sidecars together do not overload an endpoint that is warming up.
"""

from __future__ import annotations

from garnetusher.policy.actions import Action
from garnetusher.policy.admission import AdmissionController
from garnetusher.policy.attempts import AttemptForwarder
from garnetusher.policy.context import PolicyContext
from garnetusher.policy.endpoints import EndpointRegistry
from garnetusher.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientHalfClosed,
    DeadlineChanged,
    EndpointsUpdated,
    Event,
    FleetSizeChanged,
    RequestArrived,
    RequestBodyComplete,
    RequestNotReplayable,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
    ZoneOverridden,
)
from garnetusher.policy.lifecycle import RequestLifecycle
from garnetusher.policy.outlier import OutlierDetector
from garnetusher.policy.polling import WatchStarter
from garnetusher.policy.retry import RetryPolicy
from garnetusher.policy.selection import EndpointSelector
from garnetusher.policy.settings import Settings
from garnetusher.policy.timers import TimerKind, TimerQueue


class Balancer:
    """Makes all decisions of one sidecar.

    It does no I/O: each event carries its time, and random draws are seeded.

    Attributes:
        context: The state that the components share.
        endpoints: The ready endpoints, by id.
        pools: The pools of endpoints, with the nearest tier first.
        zones: The states of the zones.
        requests: The requests without a final answer or with outstanding attempts, by id.
        admission: The component that admits, buffers and sheds requests.
    """

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.context = PolicyContext(settings, seed, now_us)
        self._registry = EndpointRegistry(self.context, seed)
        self.endpoints, self.pools = self._registry.endpoints, self._registry.pools
        self.zones, self.requests = self._registry.zones, self.context.requests
        self._timers = TimerQueue(self.context)
        self._watch_starter = WatchStarter(self.context, self._timers, self.zones)
        retry_policy = RetryPolicy(self.context)
        selector = EndpointSelector(self.context, self._registry, retry_policy)
        forwarder = AttemptForwarder(self.context, self._timers, retry_policy, self.zones)
        self.admission = AdmissionController(
            self.context, self._timers, self._registry, retry_policy, selector, forwarder
        )
        outlier_detector = OutlierDetector(self.context, self.zones)
        self._lifecycle = RequestLifecycle(self.context, self.admission, forwarder, retry_policy, outlier_detector)

    @property
    def settings(self) -> Settings:
        """The operator's settings."""
        return self.context.settings

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle an event and return the resulting actions in order.

        Args:
            now_us: The time of the event on the monotonic clock.
            event: The event. It is ignored if it refers to something unknown or outdated.
        """
        self.context.now_us = now_us
        self._registry.readmit()
        if isinstance(event, AttemptEnded):
            self._lifecycle.on_attempt_ended(event)
        elif isinstance(event, RequestArrived):
            self._lifecycle.on_arrived(event)
        elif isinstance(event, TimerFired):
            self._timers.on_fired()
            self._run_expired_timers()
        else:
            self._handle_request_event(event)
            self._handle_configuration_event(event)
        while self._registry.evacuated_zones_in_use:
            self._lifecycle.hedge_requests_in(self._registry.stop_using_next_evacuated_zone())
        if self.admission.buffer is not None:
            self.admission.forward_buffered()
        # An ejection ends without an event, so a timer is needed to forward the buffered request at that time
        self._timers.arm(self._registry.readmissions_us() if self.admission.buffer is not None else None)
        return self.context.take_actions()

    def _handle_request_event(self, event: Event) -> None:
        if isinstance(event, ClientDisconnected):
            self._lifecycle.on_client_disconnected(event)
        elif isinstance(event, ClientHalfClosed):
            self._lifecycle.on_client_half_closed(event)
        elif isinstance(event, ResponseStarted):
            self._lifecycle.on_response_started(event)
        elif isinstance(event, RequestBodyComplete):
            self._lifecycle.on_body_complete(event)
        elif isinstance(event, DeadlineChanged):
            self._lifecycle.on_deadline_changed(event)
        elif isinstance(event, RequestNotReplayable):
            self._lifecycle.on_not_replayable(event)

    def _handle_configuration_event(self, event: Event) -> None:
        if isinstance(event, EndpointsUpdated):
            self._watch_starter.on_update(event.update_kind)
            self._registry.on_update(event)
        elif isinstance(event, SettingsChanged):
            self._apply_settings(event)
        elif isinstance(event, ZoneOverridden):
            self.zones.override(event.zone, self.context.now_us, evacuate=event.evacuate)
        elif isinstance(event, FleetSizeChanged):
            self.zones.member_count = max(0, event.fleet_size)

    def _apply_settings(self, event: SettingsChanged) -> None:
        was_polling = self.context.settings.poll_endpoints
        self.context.apply_settings(event)
        self._registry.apply_settings()
        self._watch_starter.on_settings_changed(was_polling=was_polling)

    def _run_expired_timers(self) -> None:
        while (expired := self._timers.pop_expired()) is not None:
            kind, request_id = expired
            if kind is TimerKind.WATCH:
                self._watch_starter.on_timer()
            elif kind is TimerKind.HEDGE:
                self._lifecycle.on_hedge_timer(request_id)
            elif kind is TimerKind.OVERDUE:
                self._lifecycle.on_overdue_timer(request_id)
            elif kind is TimerKind.BUFFER:
                self.admission.on_buffer_timeout(request_id)
