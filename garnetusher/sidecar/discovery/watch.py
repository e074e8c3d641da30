"""Watches the endpoint list for changes, over one long-lived HTTP request to discovery at a time."""

from __future__ import annotations

import asyncio
import enum
import http
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from garnetusher.policy.events import EndpointsUpdated, UpdateKind
from garnetusher.sidecar.addresses import Address
from garnetusher.sidecar.discovery.endpoint_list import BATCH_SIZE, EndpointList, EndpointUpdate, ListBatch
from garnetusher.sidecar.discovery.list_reader import KeepAlive, ListReader
from garnetusher.sidecar.discovery.messages import RawList, parse_cached_list, parse_entries
from garnetusher.sidecar.requests.trace import EventName, Trace
from garnetusher.sidecar.sockets import SidecarEventLoop
from garnetusher.sidecar.streaming import SharedBufferProtocol
from garnetusher.sidecar.transitions import WatchTransition

log = logging.getLogger(__name__)

# The sidecar is expected to know a change of the endpoint list 6 s after discovery has it. A draining endpoint may get
# new attempts for 1 s more. Within these 7 s the watcher must detect that a watch is silent, and have time for two
# reconnects.
SILENCE_TIMEOUT_S = 3.0  # discovery sends an empty line every 2 s
RESPONSE_TIMEOUT_S = 2.5  # time limit for the first bytes of a response, which may be an empty line
RECONNECT_DELAY_S = 0.25  # well below the 1 s that a drain allows; discovery answers at once and at low cost

MESSAGE_COST = 10  # entries; a message takes as long as so many entries even if it has none
# Steps on received lists that may wait before further messages wait too: the steps of a few of the longest lists.
MAX_PENDING_STEPS = 256

UpdateListener = Callable[[EndpointsUpdated, dict[int, Address]], None]


class WatchState(enum.Enum):
    """The state of one watch."""

    CONNECTING = "connecting"
    AWAITING_RESPONSE = "awaiting response"
    STREAMING = "streaming"  # the first bytes of the response have arrived
    CLOSED = "closed"  # the watch ended or was replaced; data that still arrives is ignored, as it may be outdated


class WatchConnection(SharedBufferProtocol):
    """One watch of the endpoint list; a healthy watch never ends, so any end of a watch is a failure.

    An iteration of the event loop reads at most READ_BUFFER_SIZE bytes and processes a bounded number of messages.
    While messages wait for a later iteration, further bytes wait in the kernel.
    """

    def __init__(self, watcher: EndpointWatcher) -> None:
        self.state = WatchState.CONNECTING
        self._watcher = watcher
        self._body_parts: list[bytes] = []  # parts of the response body that `_reader` does not have yet
        # The parser calls this for each part. A read may have ten thousand parts, so each has to cost little.
        self.on_body = self._body_parts.append
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._reader = ListReader()
        self._end_cause: WatchTransition | None = None  # why the watch fails once all earlier messages are processed
        self._answered = False  # whether a list or an empty line has arrived
        self._transport: asyncio.Transport | None = None
        self._is_reading_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the HTTP request, unless the watch was replaced while it was connecting."""
        self._transport = cast("asyncio.Transport", transport)  # a TCP transport supports both reading and writing
        if self.state is WatchState.CLOSED:
            self._transport.abort()
            return
        self.state = WatchState.AWAITING_RESPONSE
        self._watcher.record(WatchTransition.AWAITING_RESPONSE)
        self._watcher.read_first(self._transport)
        host, port = self._watcher.address
        self._transport.write(
            b"GET /discovery/hosts?follow=1&since=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n"
            % (self._watcher.version, host.encode(), port)
        )

    def data_received(self, data: bytes) -> None:
        """Process data from discovery; malformed data ends the watch."""
        if self.state is WatchState.CLOSED or self._parser is None:
            return
        if self.state is not WatchState.STREAMING:
            self.state = WatchState.STREAMING
            self._watcher.record(WatchTransition.STREAMING)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end_after_messages(WatchTransition.MALFORMED)
            log.warning("closing the watch: the response of discovery is malformed: %r", error)
        self._take_body()
        if not self._is_reading_paused:  # otherwise the processing of earlier messages goes on by itself
            self._process_received()

    def on_message_complete(self) -> None:
        """Fail the watch: discovery never completes the response of a healthy watch."""
        cause = WatchTransition.RESPONSE_ENDED if self._is_status_ok() else WatchTransition.ERROR_RESPONSE
        self._end_after_messages(cause)

    def _end_after_messages(self, cause: WatchTransition) -> None:
        """Fail the watch once the messages that came before are processed; the first cause counts."""
        self._take_body()
        if self._end_cause is None:
            self._end_cause = cause

    def _take_body(self) -> None:
        """Pass the parts of the body to the reader; ignore those of an error response or after the response."""
        if self._body_parts and self._end_cause is None and self._is_status_ok():
            self._watcher.note_activity()
            self._reader.feed(b"".join(self._body_parts))
        self._body_parts.clear()

    def _is_status_ok(self) -> bool:
        return self._parser is not None and self._parser.get_status_code() == http.HTTPStatus.OK

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the watch, as its connection is closed."""
        self.fail(WatchTransition.CONNECTION_LOST)
        self._release()

    def fail(self, cause: WatchTransition, *, reconnect: bool = False) -> None:
        """End the watch; with `reconnect` the watcher opens another one even if it does not watch permanently."""
        self._abort()
        self._watcher.on_watch_failed(self, cause, reconnect=reconnect)

    def close(self) -> None:
        """End the watch and ignore data that still arrives."""
        self.state = WatchState.CLOSED
        self._abort()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
        else:
            self._release()

    def _release(self) -> None:
        """Discard the received part of a list, and the parser, which refers to this object."""
        self._parser = None
        self._reader = ListReader()

    def _process_received(self) -> None:
        """Process messages in this iteration of the event loop, and leave the others to later iterations."""
        try:
            self._process_messages()
        except Exception as error:  # malformed data of any kind must not stop the sidecar
            log.warning("closing the watch: cannot process data from discovery: %r", error)
            self.fail(WatchTransition.MALFORMED)
            return
        if self.state is WatchState.CLOSED:
            return
        if self._reader.has_complete_line:
            self._pause_reading()
            self._watcher.loop.call_soon(self._process_waiting)
        elif self._end_cause is not None:
            self.fail(self._end_cause)
        else:
            self._resume_reading()

    def _process_waiting(self) -> None:
        """Process messages that an earlier iteration has left."""
        if self.state is WatchState.CLOSED:
            return
        self._watcher.note_activity()  # the watch is not silent while its messages wait here
        self._process_received()

    def _process_messages(self) -> None:
        entry_count = 0
        while entry_count < BATCH_SIZE and self.state is not WatchState.CLOSED and not self._watcher.is_congested:
            message = self._reader.next_message()
            if message is None:
                return
            entry_count += MESSAGE_COST
            if isinstance(message, RawList):
                entry_count += len(message.entries)
            self._process_message(message)

    def _process_message(self, message: RawList | KeepAlive) -> None:
        first_answer, self._answered = not self._answered, True
        if isinstance(message, RawList):
            self._watcher.on_list_received(message)
        else:
            self._watcher.on_no_change(first_answer=first_answer)

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._is_reading_paused:
            self._transport.pause_reading()
            self._is_reading_paused = True

    def _resume_reading(self) -> None:
        if self._transport is None or not self._is_reading_paused:
            return
        self._is_reading_paused = False
        try:
            self._transport.resume_reading()
        except OSError as error:  # epoll cannot watch the socket now
            log.warning("closing the watch: cannot read from it: %r", error)
            self.fail(WatchTransition.CONNECTION_LOST)


class StepKind(enum.Enum):
    """What a step does with a batch of entries."""

    PARSE = "parse"
    APPLY = "apply"


@dataclass(slots=True)
class Step:
    """Work on a list that is done in one iteration of the event loop."""

    kind: StepKind
    batch: ListBatch


class EndpointWatcher:
    """Watches the endpoint list: permanently, or while the policy requests it.

    After any failure, the watcher itself reopens a permanent watch. It reopens a watch that the policy requested only
    if discovery had answered and then became silent. After any other failure of such a watch, the watcher notifies the
    policy, which decides when to request the next one.

    In a large fleet, the last empty lines before a silence arrive at different times, as discovery sends one every 2 s
    on each watch. The reconnects after the silence are therefore spread over 2 s too.

    Attributes:
        address: address on which discovery listens.
        version: version of the last list that was applied completely.
        watch: the current watch, or None.
        watches_permanently: whether the watcher reopens its watch without a request from the policy.
        has_current_list: event that is set once a list from discovery is fully applied, or discovery reports no change.
        pending_steps: remaining work on received lists.
    """

    def __init__(
        self, address: Address, endpoint_list: EndpointList, listener: UpdateListener, trace: Trace | None = None
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.address = address
        self.endpoint_list = endpoint_list
        self.listener = listener
        self.version = 0
        self.watch: WatchConnection | None = None
        self.watches_permanently = False
        self.has_current_list = asyncio.Event()
        self.pending_steps: deque[Step] = deque()
        self.last_activity_s = 0.0  # time of the last data or of the watch's start, on the event loop's clock
        self._awaits_request = False  # whether no watch is opened before the policy requests one
        self.connect_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None  # timer for the next silence check or the next watch
        self._trace = trace or Trace()
        self._is_watch_current = False  # whether the current watch has reported that its list is applied

    def load_cached(self, document: object) -> None:
        """Apply the cached endpoint list; if it is malformed, the sidecar starts without a list."""
        try:
            cached = parse_cached_list(document)
            entries = parse_entries(cached.entries)
            update = self.endpoint_list.apply(UpdateKind.CACHED, entries, cached.version)
        except Exception as error:  # a malformed cached list must not keep the sidecar from requesting a new one
            log.warning("ignoring the cached endpoint list, which is malformed: %r", error)
            return
        self.version = cached.version
        self._notify(update)

    def watch_permanently(self) -> None:
        """Start a permanent watch, for a policy that does not poll the list by requesting watches itself."""
        self.watches_permanently = True
        self._open_watch()

    def change_address(self, address: Address) -> None:
        """Watch the list at a new address; data from the old address is ignored from now on, as it may be outdated."""
        self.address = address
        log.info("the address of discovery has changed to %s:%d", *address)
        self.record(WatchTransition.ADDRESS_CHANGED)
        self._open_watch()

    def watch_endpoints(self, active: bool) -> None:  # noqa: FBT001 called through a `Callable[[bool], None]`
        """Start a watch that replaces any earlier one, or stop watching."""
        if active:
            self._open_watch()
        else:
            self.stop()
            self.record(WatchTransition.STOPPED)
            self._awaits_request = True

    def record(self, transition: WatchTransition) -> None:
        """Record a transition of the current watch."""
        self._trace.record_state(EventName.WATCH, transition)

    def stop(self) -> None:
        """End the watch; lists that were received earlier are still applied."""
        watch, self.watch = self.watch, None
        if self._timer is not None:
            self._timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if watch is not None:
            watch.close()

    @property
    def is_congested(self) -> bool:
        """Whether so many received lists wait to be applied that further messages have to wait in the watch."""
        return len(self.pending_steps) > MAX_PENDING_STEPS

    def read_first(self, transport: asyncio.Transport) -> None:
        """Read a watch before clients and upstreams, as a drain that waited during a pause holds for their requests."""
        if isinstance(self.loop, SidecarEventLoop):
            self.loop.handle_first(transport.get_extra_info("socket").fileno())

    def note_activity(self) -> None:
        """Record the current time as the time of the last activity, from which silence is measured."""
        self.last_activity_s = self.loop.time()

    def on_no_change(self, *, first_answer: bool) -> None:
        """Handle an empty line, which means that the list has not changed.

        Args:
            first_answer: whether the watch has received no list and no empty line before. If the policy requests the
                watches, an empty delta then tells it that this one is open, or it would soon call discovery again.
        """
        if self.pending_steps:
            return
        self._mark_current()
        if first_answer and not self.watches_permanently:
            self.listener(EndpointsUpdated(UpdateKind.DELTA, version=self.version), {})

    def on_watch_failed(self, watch: WatchConnection, cause: WatchTransition, *, reconnect: bool = False) -> None:
        """Handle the end of a watch: open another one after a short delay, or notify the policy."""
        if watch is not self.watch:
            return
        self.stop()
        self.record(cause)
        if self.watches_permanently or reconnect:
            self.record(WatchTransition.RETRY_WAITING)
            self._timer = self.loop.call_later(RECONNECT_DELAY_S, self._open_watch)
        else:
            self.record(WatchTransition.POLICY_WAITING)
            self._awaits_request = True
            self._report_missing_watch()

    def on_list_received(self, received: RawList) -> None:
        """Apply a short list at once, or a long one in batches so that requests are processed in between.

        A long list is parsed completely before its first batch is applied. The version changes only when the last batch
        is applied: if a new watch starts before that, discovery must send the unapplied changes again.

        Raises:
            EndpointListError: the list is malformed; none of its entries are applied.
        """
        if received.is_snapshot:
            self.pending_steps.clear()  # the snapshot is newer than the pending lists and replaces them
        is_idle = not self.pending_steps
        batches = self.endpoint_list.split(received)
        if len(batches) > 1:
            self._is_watch_current = False
            self.record(WatchTransition.APPLYING)
            self.pending_steps.extend(Step(StepKind.PARSE, batch) for batch in batches)
        self.pending_steps.extend(Step(StepKind.APPLY, batch) for batch in batches)
        if is_idle:
            self._run_step()

    def _open_watch(self) -> None:
        self.stop()
        self._awaits_request = False
        self.watch = WatchConnection(self)
        self._is_watch_current = False
        self.record(WatchTransition.CONNECTING)
        self.note_activity()
        self._timer = self.loop.call_later(RESPONSE_TIMEOUT_S, self._check_silence)
        self.connect_task = self.loop.create_task(self._connect(self.watch))

    async def _connect(self, watch: WatchConnection) -> None:
        try:
            await self.loop.create_connection(lambda: watch, *self.address)
        except (OSError, ValueError):  # ValueError: the host name is invalid
            self.on_watch_failed(watch, WatchTransition.CONNECT_FAILED)

    def _check_silence(self) -> None:
        """End a watch that is silent for too long; the connection to an unreachable machine would stay open forever."""
        if self.watch is None:
            return
        remaining_s = self._silence_remaining_s(self.watch)
        if remaining_s > 0:
            self._timer = self.loop.call_later(remaining_s, self._check_silence)
            return
        # After a pause of this process, the timer may run before the event loop has read what arrived in the meantime.
        self.loop.call_soon(self.loop.call_soon, self._end_silent_watch, self.watch)

    def _end_silent_watch(self, watch: WatchConnection) -> None:
        if watch is not self.watch:
            return
        if self._silence_remaining_s(watch) > 0:
            self._check_silence()
            return
        log.warning("closing the watch: discovery has sent no data within the time limit")
        # The watcher itself reopens a watch that became silent, as the policy's next request for a watch may come after
        # the 6 s within which the sidecar is expected to know a change.
        was_answered = watch.state is WatchState.STREAMING
        watch.fail(WatchTransition.SILENT if was_answered else WatchTransition.NO_RESPONSE, reconnect=was_answered)

    def _silence_remaining_s(self, watch: WatchConnection) -> float:
        """Return how long a watch may still be silent."""
        timeout_s = SILENCE_TIMEOUT_S if watch.state is WatchState.STREAMING else RESPONSE_TIMEOUT_S
        return self.last_activity_s + timeout_s - self.loop.time()

    def _run_step(self) -> None:
        """Run the first pending step, and leave the others to later iterations of the event loop.

        An error discards the others, and the version stays, so that discovery sends the whole change again.
        """
        step = self.pending_steps[0]
        try:
            update = self._process(step)
            if update is not None:
                self._notify(update)
        except Exception:
            self.pending_steps.clear()
            raise
        self.pending_steps.popleft()
        if update is not None and step.batch.is_last:
            self.version = step.batch.version
        if self.pending_steps:
            self.loop.call_soon(self._run_scheduled_step)
        else:
            self._mark_current()
            self._report_missing_watch()

    def _mark_current(self) -> None:
        """Record that all that discovery has sent is applied; a list may outlast the watch that received it."""
        self.has_current_list.set()
        is_streaming = self.watch is not None and self.watch.state is WatchState.STREAMING
        if is_streaming and not self._is_watch_current:
            self._is_watch_current = True
            self.record(WatchTransition.CURRENT)

    def _process(self, step: Step) -> EndpointUpdate | None:
        entries = step.batch.entries()
        if step.kind is StepKind.PARSE:
            return None
        return self.endpoint_list.apply(step.batch.update_kind, entries, step.batch.version)

    def _run_scheduled_step(self) -> None:
        if not self.pending_steps:
            return
        try:
            self._run_step()
        except Exception as error:  # a malformed list must not stop the sidecar
            log.warning("cannot apply the endpoint list: %r", error)
            if self.watch is not None:
                self.watch.fail(WatchTransition.MALFORMED)
            else:
                self._report_missing_watch()

    def _report_missing_watch(self) -> None:
        """Tell the policy that no watch is open, if none is opened before its next request.

        The policy takes each part of a list for a sign of an open watch, and does not request another one. The report
        is therefore repeated after the last part of a list whose watch has ended in the meantime.
        """
        if self._awaits_request:
            self.listener(EndpointsUpdated(UpdateKind.FAILED), {})

    def _notify(self, update: EndpointUpdate) -> None:
        self.listener(update.event, update.addresses)
