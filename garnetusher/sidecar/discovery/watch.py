"""The watch on the endpoint list: one long-lived HTTP call to discovery at a time, over which changes arrive."""

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
from garnetusher.sidecar.discovery.endpoint_list import EndpointList, EndpointUpdate, ListPiece
from garnetusher.sidecar.discovery.list_reader import ListReader
from garnetusher.sidecar.discovery.messages import RawList, parse_cached_list, parse_entries

log = logging.getLogger(__name__)

# A change counts as known to the sidecar 6 s after discovery has it, with 1 s of grace, whether it has arrived or not.
# Within that time a watch that has fallen silent must be noticed and opened again twice.
SILENCE_TIMEOUT_S = 3.0  # discovery sends an empty line every 2 s
RESPONSE_TIMEOUT_S = 2.5  # of a call that has no response yet, whose first line may be an empty one
RECONNECT_DELAY_S = 0.25  # discovery answers at once and at little cost; short beside the 1 s that a drain leaves

Listener = Callable[[EndpointsUpdated, dict[int, Address]], None]


class WatchState(enum.Enum):
    """How far one watch has come."""

    CONNECTING = "connecting"
    AWAITING_RESPONSE = "awaiting response"
    STREAMING = "streaming"  # bytes of the response have come
    CLOSED = "closed"  # it has ended or was replaced; what still arrives over it is ignored, as it may be outdated


class WatchConnection(asyncio.Protocol):
    """One call for changes, which lasts until its connection ends; then it has failed."""

    def __init__(self, watcher: EndpointWatcher) -> None:
        self.state = WatchState.CONNECTING
        self._watcher = watcher
        self._parser = httptools.HttpResponseParser(self)
        self._reader = ListReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the call, unless the watch was replaced while its connection came up."""
        self._transport = cast("asyncio.Transport", transport)  # a TCP connection reads and writes
        if self.state is WatchState.CLOSED:
            self._transport.abort()
            return
        self.state = WatchState.AWAITING_RESPONSE
        host, port = self._watcher.address
        self._transport.write(
            b"GET /discovery/hosts?follow=1&since=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n"
            % (self._watcher.version, host.encode(), port)
        )

    def data_received(self, data: bytes) -> None:
        """Read what discovery sends; what cannot be read ends the watch."""
        if self.state is WatchState.CLOSED:
            return
        self.state = WatchState.STREAMING
        try:
            self._parser.feed_data(data)
        except Exception as error:  # whatever is wrong with the data, the sidecar goes on
            log.warning("the watch can't be read: %r", error)
            self.fail()

    def on_body(self, data: bytes) -> None:
        """Read a part of the response's body."""
        if self._parser.get_status_code() != http.HTTPStatus.OK:
            return
        self._watcher.note_activity()
        for line in self._reader.split_lines(data):
            if self.state is not WatchState.CLOSED:  # a line before may have led to another watch
                self._take_line(line)

    def on_message_complete(self) -> None:
        """Fail, as the response of a watch never ends by itself."""
        self.fail()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail, as the connection has ended."""
        self.fail()

    def fail(self, *, reconnect: bool = False) -> None:
        """End the call; with `reconnect` the watcher makes another one, even if it does not watch permanently."""
        self._abort()
        self._watcher.on_connection_failed(self, reconnect=reconnect)

    def close(self) -> None:
        """End the call, and ignore what still arrives."""
        self.state = WatchState.CLOSED
        self._abort()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _take_line(self, line: bytes) -> None:
        received = self._reader.add_line(line)
        if received is not None:
            self._watcher.take_list(received)
        elif not line:
            self._watcher.on_no_change()


class StepKind(enum.Enum):
    """What a step does with a piece of a list."""

    PARSE = "parse"
    APPLY = "apply"


@dataclass(slots=True)
class Step:
    """Work on a list that is done in one round of the event loop."""

    kind: StepKind
    piece: ListPiece


class EndpointWatcher:
    """Watches the endpoint list: permanently, or while the policy requests it.

    The policy is notified of each failure of a watch that it requested. A permanent watch is opened again here, and so
    is, once, a watch that was answered and has fallen silent: sidecars do so spread over the 2 s between empty lines.

    Attributes:
        address: where discovery listens.
        version: the version of the list that has been applied in full.
        watch: the present call; None while there is none.
        watching: whether the watch is permanent.
        has_current_list: set once discovery has answered, so that the list is no longer the cached one.
        pending_steps: what is still to be done with lists that have been received.
    """

    def __init__(self, address: Address, endpoint_list: EndpointList, listener: Listener) -> None:
        self.loop = asyncio.get_running_loop()
        self.address = address
        self.endpoint_list = endpoint_list
        self.listener = listener
        self.version = 0
        self.watch: WatchConnection | None = None
        self.watching = False
        self.has_current_list = asyncio.Event()
        self.pending_steps: deque[Step] = deque()
        self.last_activity_s = 0.0  # on the event loop's clock
        self.connect_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None  # of the next check for silence, or of the next call

    def load_cached(self, document: object) -> None:
        """Apply the list as this sidecar last had it, if it can be read: otherwise the sidecar starts without one."""
        try:
            cached = parse_cached_list(document)
            entries = parse_entries(cached.entries)
            update = self.endpoint_list.apply(UpdateKind.CACHED, entries, cached.version)
        except Exception as error:  # whatever is wrong with the cached list, a new one must be requested
            log.warning("the known list can't be read: %r", error)
            return
        self.version = cached.version
        self._notify(update)

    def watch_permanently(self) -> None:
        """Watch from now on without a request of the policy, which makes none where changes are pushed."""
        self.watching = True
        self._open_watch()

    def move(self, address: Address) -> None:
        """Watch at another address from now on; what the old one still sends is ignored, as it may be outdated."""
        self.address = address
        log.info("discovery has moved to %s:%d", *address)
        self._open_watch()

    def watch_endpoints(self, active: bool) -> None:  # noqa: FBT001 called through a `Callable[[bool], None]`
        """Watch from now on, in place of an earlier watch; or stop."""
        if active:
            self._open_watch()
        else:
            self.stop()

    def stop(self) -> None:
        """End the watch; what was received before is still applied."""
        watch, self.watch = self.watch, None
        if self._timer is not None:
            self._timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if watch is not None:
            watch.close()

    def note_activity(self) -> None:
        """Note that discovery has just sent something."""
        self.last_activity_s = self.loop.time()

    def on_no_change(self) -> None:
        """Discovery has said that nothing has changed."""
        if not self.pending_steps:
            self.has_current_list.set()

    def on_connection_failed(self, watch: WatchConnection, *, reconnect: bool = False) -> None:
        """A call has ended: make another one after a moment, or notify the policy."""
        if watch is not self.watch:
            return
        self.stop()
        if self.watching or reconnect:
            self._timer = self.loop.call_later(RECONNECT_DELAY_S, self._open_watch)
        else:
            self.listener(EndpointsUpdated(UpdateKind.FAILED), {})

    def take_list(self, received: RawList) -> None:
        """Apply a list: a short one at once, a long one in pieces between which requests go on.

        All of a long list is parsed before any of it is applied. The version is the new one only once the last piece is
        applied: a watch that begins earlier must be sent what is not applied yet.

        Raises:
            EndpointListError: the list is malformed; nothing of it is applied.
        """
        if received.is_snapshot:
            self.pending_steps.clear()  # this list is newer and complete
        is_idle = not self.pending_steps
        pieces = self.endpoint_list.split(received)
        if len(pieces) > 1:
            self.pending_steps.extend(Step(StepKind.PARSE, piece) for piece in pieces)
        self.pending_steps.extend(Step(StepKind.APPLY, piece) for piece in pieces)
        if is_idle:
            self._run_step()

    def _open_watch(self) -> None:
        self.stop()
        self.watch = WatchConnection(self)
        self.note_activity()
        self._timer = self.loop.call_later(RESPONSE_TIMEOUT_S, self._check_silence)
        self.connect_task = self.loop.create_task(self._connect(self.watch))

    async def _connect(self, watch: WatchConnection) -> None:
        try:
            await self.loop.create_connection(lambda: watch, *self.address)
        except (OSError, ValueError):  # ValueError: the host is no valid name
            self.on_connection_failed(watch)

    def _check_silence(self) -> None:
        """End a watch that has been silent for too long: one to a machine that is cut off would stay open for ever."""
        if self.watch is None:
            return
        was_answered = self.watch.state is WatchState.STREAMING
        timeout_s = SILENCE_TIMEOUT_S if was_answered else RESPONSE_TIMEOUT_S
        remaining_s = self.last_activity_s + timeout_s - self.loop.time()
        if remaining_s > 0:
            self._timer = self.loop.call_later(remaining_s, self._check_silence)
            return
        log.warning("the watch is silent")
        # The policy's next call may come later than 6 s after the watch fell silent.
        self.watch.fail(reconnect=was_answered)

    def _run_step(self) -> None:
        """Do one step, and leave the others to later rounds of the event loop."""
        step = self.pending_steps[0]
        try:
            update = self._run(step)
        except Exception:
            self.pending_steps.clear()
            raise
        self.pending_steps.popleft()
        if update is not None:
            if step.piece.is_last:
                self.version = step.piece.version
            self._notify(update)
        if self.pending_steps:
            self.loop.call_soon(self._run_next_step)
        else:
            self.has_current_list.set()

    def _run(self, step: Step) -> EndpointUpdate | None:
        entries = step.piece.entries()
        if step.kind is StepKind.PARSE:
            return None
        return self.endpoint_list.apply(step.piece.update_kind, entries, step.piece.version)

    def _run_next_step(self) -> None:
        if not self.pending_steps:
            return
        try:
            self._run_step()
        except Exception as error:  # whatever is wrong with the list, the sidecar goes on
            log.warning("the list can't be read: %r", error)
            if self.watch is not None:
                self.watch.fail()

    def _notify(self, update: EndpointUpdate) -> None:
        self.listener(update.event, update.addresses)
