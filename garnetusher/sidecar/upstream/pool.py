"""Attempts at upstreams over HTTP/1.1, and the pool of connections that carry them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable

import httptools

from garnetusher.policy.events import Outcome
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.requests.messages import AttemptResult, HttpRequest, WritePermission, WritePermit
from garnetusher.sidecar.requests.trace import Trace
from garnetusher.sidecar.sockets import RETRY_S, SteadySocket, is_own
from garnetusher.sidecar.streaming import (
    HELD,
    LAST_CHUNK,
    LONGEST,
    STALL_US,
    Head,
    Reading,
    Sink,
    Source,
    chunk,
)

log = logging.getLogger(__name__)

LONGEST_HEAD = 64 * 1024  # an answer's headers; a megabyte of them takes 40 ms to read, and all others wait
FRAMING = 1024 * 1024  # bytes that an answer may take beside its body
FRAMING_PART = 16  # and so many more for each byte of it: pieces may be of any size
HOLD_S = 0.1  # an answer of unknown length that takes longer passes through, lest its first bytes be late
IDLE_MARGIN_US = 300_000  # an upstream may close a connection while a request is on its way to it
YOUNG_US = 25_000  # connections idle for less are in steady use
SETTLE_US = 10_000  # after an answer, in which a second one may come: they were seen 1 to 4 ms late; under YOUNG_US
MOST_LOST = 0.25  # a share of lost requests well above what a bad network takes of any connection
LOST_WEIGHT = 1 / 16  # five losses among a dozen uses tell
LOST_FADING = 0.99  # a sweep, so a lesson halves in 7 s
SWEEP_S = 0.1
UPSTREAMS_OWN = (408, 429)  # of 4xx, those that speak of the upstream's state and not of the request
NEVER_USED = -2
Address = tuple[str, int]


def request_head(call: HttpRequest, address: Address, left_us: int) -> bytes:
    """The head of an attempt: the client's own, with the time that the sidecar will still wait."""
    lines = [b"%s %s HTTP/1.1\r\nHost: %s:%d" % (call.method, call.target, address[0].encode(), address[1])]
    lines.extend([b"%s: %s" % header for header in call.headers])
    lines.append(b"X-Deadline-Ms: %d" % max(1, left_us // 1000))
    length = call.upload.length if call.upload is not None else len(call.body)
    if length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif call.method != b"GET" or length:
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


class IdleReuseEstimator:
    """How long an idle connection can be used again, learnt from how those that were have fared.

    Upstreams may end an idle connection sooner than the settings say and tell nothing: the next request on it
    is lost. Resets that strike young connections alike teach nothing, as the youngest are always trusted.
    """

    def __init__(self, longest_us: int) -> None:
        self.longest_us = longest_us
        self.lost = [0.0] * (longest_us // YOUNG_US).bit_length()  # share of late, by the doubling of the age

    def limit_us(self) -> int:
        doublings = next((i for i, lost in enumerate(self.lost) if lost > MOST_LOST), len(self.lost))
        return min(self.longest_us, YOUNG_US << doublings)

    def used(self, age_us: int, lost: bool) -> None:
        """A connection that had been idle for so long was used again, and has lost its request or not."""
        doubling = (age_us // YOUNG_US).bit_length() - 1
        if 0 <= doubling < len(self.lost):
            self.lost[doubling] += (lost - self.lost[doubling]) * LOST_WEIGHT

    def fade(self) -> None:
        """What is not tried is not learnt, so an old lesson is tested again in time."""
        self.lost = [lost * LOST_FADING for lost in self.lost]


class UpstreamAttempt:
    """One attempt: it has a connection, or waits until its connection is up."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        call: HttpRequest,
        permission: WritePermission,
        ended: Callable[[AttemptResult], None],
        began: Callable[[Head, Source], Sink | None],
    ) -> None:
        self.pool = pool
        self.address = address
        self.call = call
        self.permission = permission
        self.ended = ended
        self.began = began
        self.upload = call.upload
        self.connection: UpstreamConnection | None = None
        self.written = False
        self.abandoned = False
        self.starved = False  # this machine lacked what a connection takes

    def head(self) -> bytes | None:
        """What is to be written now, long bodies aside; None if it may not be: it ends then, as not sent."""
        permit = self.permission()
        if isinstance(permit, WritePermit):
            return request_head(self.call, self.address, permit.remaining_us) + self.call.body
        self.pool.loop.call_soon(self.not_sent)
        return None

    def not_sent(self) -> None:
        if not self.abandoned:
            self.abandoned = True
            self.end(AttemptResult(Outcome.NOT_WRITTEN))

    def abandon(self) -> None:
        """Nothing more comes of it. A connection that has carried it is closed; one still coming up stays."""
        self.abandoned = True
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.attempt = None
            connection.let_go(self)
            if self.written:
                connection.close()

    def end(self, result: AttemptResult) -> None:
        self.connection = None
        self.ended(result)


class UpstreamConnection(Reading):
    """A connection to an upstream; it carries one attempt at a time."""

    def __init__(self, pool: ConnectionPool, address: Address, sock: socket.socket) -> None:
        self.pool = pool
        self.address = address
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.attempt: UpstreamAttempt | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.idle_since_us = 0  # 0 until it is first put away
        self.idled_us = NEVER_USED  # before the attempt that it carries, or carried last; -1 for its first
        self.closed = False
        self.unsent = False  # part of what was written is still with us
        self.unfinished = False  # the rest of the request's body is still to come
        self.forget_answer()

    def forget_answer(self) -> None:
        self.complete = False  # the answer is whole
        self.headed = self.not_run = self.chunked = False
        self.status = 0
        self.content_type = b""
        self.length: int | None = None
        self.body = bytearray()
        self.sink: Sink | None = None  # where a long answer goes
        self.paused = False  # as its client does not read
        self.heard_us = 0  # when the last of it came
        self.received = self.passed = 0  # bytes in all, and of its body
        self.head = 0  # bytes of headers

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that we are told whether all has been written
        if self.attempt is None or not self.send(self.attempt):
            self.pool.put_idle(self)

    def pause_writing(self) -> None:
        self.unsent = True
        if self.attempt is not None and self.attempt.upload is not None:
            self.attempt.upload.flow(False)

    def resume_writing(self) -> None:
        self.unsent = False
        if self.attempt is not None and self.attempt.upload is not None:
            self.attempt.upload.flow(True)

    def settles_in_us(self, now_us: int) -> int:
        """Till when more may come of the answer before; 0 or less: it has settled."""
        return 0 if self.idled_us == NEVER_USED else self.idle_since_us + SETTLE_US - now_us

    def usable(self) -> bool:
        """Hazard: an end or stray bytes that have come but were not read yet would cost the request."""
        if self.closed or self.transport is None or self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, attempt: UpstreamAttempt) -> bool:
        """Write an attempt, if that is still allowed; returns whether it was."""
        assert self.transport is not None
        head = attempt.head()
        if head is None:
            self.attempt = attempt.connection = None
            return False
        self.attempt = attempt
        attempt.connection = self
        attempt.written = True
        self.parser = httptools.HttpResponseParser(self)
        self.forget_answer()
        self.idled_us = monotonic_us() - self.idle_since_us if self.idle_since_us else -1
        self.transport.write(head)
        if self.transport.get_write_buffer_size() >= len(head) and not self.transport.is_closing():
            self.pool.start_over(self, attempt)
            return True
        if attempt.upload is not None:
            self.unfinished = True
            held = attempt.upload.attach(self)
            self.write_body_chunk(held)
            if attempt.upload.whole:
                self.end_body()
            if self.unsent:
                attempt.upload.flow(False)
        if self.transport.is_closing():  # the write failed: the connection had broken before
            self.unsent = True
        return True

    # A long body, as it comes from the client

    def write_body_chunk(self, data: bytes) -> None:
        assert self.transport is not None and self.attempt is not None and self.attempt.upload is not None
        if not data:
            return
        if self.attempt.upload.length is None:
            self.transport.writelines(chunk(data))
        else:
            self.transport.write(data)

    def end_body(self) -> None:
        assert self.transport is not None and self.attempt is not None and self.attempt.upload is not None
        if self.attempt.upload.length is None:
            self.transport.write(LAST_CHUNK)
        self.unfinished = False

    def let_go(self, attempt: UpstreamAttempt) -> None:
        if attempt.upload is not None:
            attempt.upload.detach(self)

    # A long answer, as its client reads it

    def pause(self) -> None:
        self.paused = True
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        self.paused = False
        self.heard_us = monotonic_us()
        if self.transport is not None:
            self.transport.resume_reading()

    def begin(self) -> None:
        """The answer is longer than what is held, or takes long: from here on it passes through."""
        assert self.attempt is not None
        self.sink = self.attempt.began(Head(self.length, self.content_type), self)
        if self.sink is None:
            raise ValueError("nobody waits for the answer any more")
        self.pool.passing.add(self)
        held, self.body = bytes(self.body), bytearray()
        self.sink.write_chunk(held)

    def held_long_enough(self, attempt: UpstreamAttempt) -> None:
        if self.attempt is attempt and self.sink is None and not self.complete:
            if not self.body:
                self.pool.loop.call_later(HOLD_S, self.held_long_enough, attempt)
                return
            try:
                self.begin()
            except ValueError:
                self.break_off()

    # The answer, as the parser reads it

    def on_message_begin(self) -> None:
        if self.complete:
            self.closed = True  # more than one answer: the connection is of no further use

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete or self.headed:  # what comes behind the body is none of the head
            return
        self.head += len(name) + len(value)
        if self.head > LONGEST_HEAD:
            raise ValueError("the answer's head is too long")
        name, value = name.lower(), value.strip(b" \t")
        if name == b"x-not-run":
            self.not_run = value == b"1"
        elif name == b"content-type":
            self.content_type = value
        elif name == b"content-length":
            self.length = int(value)
        elif name == b"transfer-encoding":
            self.chunked = True

    def on_headers_complete(self) -> None:
        assert self.parser is not None
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        self.headed = self.status >= 200
        if (self.length or 0) > LONGEST:
            raise ValueError("the answer is too long")
        if self.status == 200 and (self.length or 0) > HELD:
            self.begin()

    def on_body(self, data: bytes) -> None:
        if self.complete:
            return
        self.passed += len(data)
        if self.passed > LONGEST:
            raise ValueError("the answer is too long")
        if self.sink is not None:
            self.sink.write_chunk(data)
        else:
            self.body += data
            if len(self.body) > HELD:
                if self.status != 200:
                    raise ValueError("the error is too long")
                self.begin()

    def on_message_complete(self) -> None:
        assert self.parser is not None
        if self.complete:
            return
        if self.status < 200:  # an interim answer; the final one follows
            self.headed = self.not_run = False
            self.content_type, self.length = b"", None
            return
        self.complete = True
        if not self.parser.should_keep_alive():
            self.closed = True

    def data_received(self, data: bytes) -> None:
        if self.attempt is None or self.parser is None:
            self.close()  # bytes that nobody asked for
            return
        self.received += len(data)
        self.heard_us = monotonic_us()
        waits = self.headed
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.closed = True  # hazard: what follows would be taken for the next answer
        if self.complete:
            self.finish_complete()
        elif self.closed or self.received > FRAMING + FRAMING_PART * self.passed:
            self.break_off()  # hazard: an answer without end would fill the memory
        elif not waits and self.headed and self.status == 200 and self.length is None and self.sink is None:
            self.pool.loop.call_later(HOLD_S, self.held_long_enough, self.attempt)

    def break_off(self) -> None:
        self.close()
        self.finish(Outcome.RESET)

    def finish_complete(self) -> None:
        if self.closed or self.unsent or self.unfinished:
            self.close()  # hazard: the rest of this request would be read as the next one
        if self.status == 200:
            outcome = Outcome.OK
        elif self.status in (503, 504) and self.not_run:
            outcome = Outcome.OVERLOADED
        elif 400 <= self.status < 500 and self.status not in UPSTREAMS_OWN:
            outcome = Outcome.REJECTED
        else:
            outcome = Outcome.ERROR
        self.finish(outcome)

    def finish(self, outcome: Outcome) -> None:
        attempt, self.attempt = self.attempt, None
        self.pool.trust.used(self.idled_us, outcome is Outcome.RESET and self.received == 0)
        result = AttemptResult(outcome)
        if outcome is Outcome.OK and self.sink is None:
            result = AttemptResult(outcome, bytes(self.body), self.content_type)
        self.parser = self.sink = None
        self.pool.passing.discard(self)
        self.body = bytearray()
        if not self.closed:
            if self.paused:
                self.resume()
            self.pool.put_idle(self)
        if attempt is not None:
            self.let_go(attempt)
            attempt.end(result)

    @property
    def until_end(self) -> bool:
        """Whether it is the end of the connection that ends the answer."""
        return self.headed and self.length is None and not self.chunked

    def eof_received(self) -> None:
        self.closed = True
        if self.attempt is not None and self.until_end and not self.complete:
            self.complete = True
            self.finish_complete()

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self.pool.remove(self)
        if self.attempt is not None:
            # all that was written may have run; what was not written whole has not
            never_ran = (self.unsent or self.unfinished) and self.sink is None
            self.finish(Outcome.CONNECT_FAILED if never_ran else Outcome.RESET)

    def close(self) -> None:
        """Hazard: the loop closes the socket in its next round, and what takes the place of an attempt that is given up
        may be written in this one, where two may not be out together; so the upstream is told now."""
        self.closed = True
        self.pool.remove(self)
        self.pool.passing.discard(self)
        if self.transport is not None:
            with contextlib.suppress(OSError):  # its end has come first
                self.sock.shutdown(socket.SHUT_WR)
            self.transport.abort()


class ConnectionPool:
    """Connections to all upstreams. The most recently used one is used again first."""

    def __init__(self, idle_us: int, dial_timeout_us: int, trace: Trace | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        self.trace = trace or Trace()
        self.trust = IdleReuseEstimator(max(0, idle_us - IDLE_MARGIN_US))
        self.dial_timeout_us = dial_timeout_us
        self.idle: dict[Address, list[UpstreamConnection]] = {}
        self.dials: set[asyncio.Task[None]] = set()
        self.passing: set[UpstreamConnection] = set()  # those with a long answer on its way
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)

    def apply_settings(self, idle_us: int, dial_timeout_us: int) -> None:
        """The operator has replaced the settings; how long idle connections last may be learnt anew."""
        longest_us = max(0, idle_us - IDLE_MARGIN_US)
        if longest_us != self.trust.longest_us:
            self.trust = IdleReuseEstimator(longest_us)
        self.dial_timeout_us = dial_timeout_us

    def start_attempt(
        self,
        address: Address,
        call: HttpRequest,
        permission: WritePermission,
        ended: Callable[[AttemptResult], None],
        began: Callable[[Head, Source], Sink | None],
    ) -> UpstreamAttempt:
        attempt = UpstreamAttempt(self, address, call, permission, ended, began)
        now_us = monotonic_us()
        oldest_us = now_us - self.trust.limit_us()
        settling = []
        for connection in reversed(self.idle.get(address, [])[:]):
            if connection.settles_in_us(now_us) > 0:
                settling.append(connection)
            elif connection.idle_since_us > oldest_us and connection.usable():
                self.remove(connection)
                self.carry(connection, attempt)
                return attempt
            else:
                connection.close()
        if settling:
            # hazard: a second answer, some milliseconds late, would be taken for that to this request; to wait for
            # the rest of them costs less than another connection
            soonest = settling[-1]
            self.remove(soonest)
            self.loop.call_later(soonest.settles_in_us(now_us) / 1e6, self.settled, soonest, attempt)
        else:
            self.open(attempt)
        return attempt

    def carry(self, connection: UpstreamConnection, attempt: UpstreamAttempt) -> None:
        """Write an attempt on a connection that was idle, which stays so where that is not allowed any more."""
        if not connection.send(attempt):
            self.idle.setdefault(connection.address, []).append(connection)

    def settled(self, connection: UpstreamConnection, attempt: UpstreamAttempt) -> None:
        """An attempt has waited for this connection. Hazard: either may have ended meanwhile."""
        if not connection.usable():
            connection.close()
            if not attempt.abandoned:
                self.open(attempt)
        elif attempt.abandoned:
            self.idle.setdefault(connection.address, []).append(connection)
        else:
            self.carry(connection, attempt)

    def start_over(self, connection: UpstreamConnection, attempt: UpstreamAttempt) -> None:
        """Nothing of it could be sent, as this machine is short. Hazard: what the loop sends once it can would tell a
        time that has passed; so it gets a new connection, and its head is written anew."""
        attempt.written, attempt.connection = False, None
        connection.attempt = None
        connection.close()
        self.loop.call_later(RETRY_S, self.open, attempt)

    def open(self, attempt: UpstreamAttempt) -> None:
        """A new connection for it."""
        task = self.loop.create_task(self.dial(attempt))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)

    async def dial(self, attempt: UpstreamAttempt) -> None:
        """Open a connection and write the attempt on it, if it is still wanted; else the connection is kept."""
        connection = None
        try:
            async with asyncio.timeout(self.dial_timeout_us / 1e6 or None):
                connection = await self.connect(attempt)
            if connection is not None:
                made = connection
                await self.loop.create_connection(lambda: made, sock=made.sock)
        except (OSError, ValueError):  # refused, unreachable, not up in time, or no host's name
            if connection is not None:
                connection.attempt = None
                connection.sock.close()
            if not attempt.abandoned and not attempt.written:
                attempt.end(AttemptResult(Outcome.NOT_WRITTEN if attempt.starved else Outcome.CONNECT_FAILED))

    async def connect(self, attempt: UpstreamAttempt) -> UpstreamConnection | None:
        """A connection that is up, and carries the attempt unless that is given up meanwhile; None if it was before
        any was begun: in the round of the loop that chose it, it may be under way elsewhere by now.

        What fails for want of something on this machine is tried again, and says nothing of the upstream. Raises
        OSError and ValueError on what does."""
        while not attempt.abandoned:
            attempt.starved = False
            try:
                return await self.connect_once(attempt)
            except OSError as error:
                if not is_own(error):
                    raise
            attempt.starved = True
            self.trace.count("connecting failed on this machine")
            await asyncio.sleep(RETRY_S)
        return None

    async def connect_once(self, attempt: UpstreamAttempt) -> UpstreamConnection:
        sock = SteadySocket(socket.AF_INET, socket.SOCK_STREAM)
        connection = UpstreamConnection(self, attempt.address, sock)
        connection.attempt, attempt.connection = attempt, connection
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.sock_connect(sock, attempt.address)
        except BaseException:
            connection.attempt = attempt.connection = None
            sock.close()
            raise
        return connection

    def put_idle(self, connection: UpstreamConnection) -> None:
        connection.idle_since_us = monotonic_us()
        self.idle.setdefault(connection.address, []).append(connection)

    def remove(self, connection: UpstreamConnection) -> None:
        idle = self.idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)
            if not idle:
                del self.idle[connection.address]

    def close_idle_connections(self, address: Address) -> None:
        for connection in self.idle.get(address, [])[:]:
            connection.close()

    def sweep(self) -> None:
        """Close what upstreams are about to close."""
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        self.trust.fade()
        silent_us = monotonic_us() - STALL_US
        for connection in [c for c in self.passing if not c.paused and c.heard_us <= silent_us]:
            connection.break_off()
        oldest_us = monotonic_us() - self.trust.limit_us()
        for connections in list(self.idle.values()):
            for connection in [c for c in connections if c.idle_since_us <= oldest_us]:
                connection.close()
