"""Runs a real sidecar against clients and upstreams that take random steps on plain sockets in the same event loop.

Between two steps the event loop runs only as many rounds as the seed chooses. The seed, and not a race, therefore
determines which events the sidecar handles in one round of the loop, and in which order.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from dataclasses import dataclass, field

from tests.net import TEST_TIMEOUT_S, Discovery, Sidecar, entry, listing, request, sidecar

SETTLE_ROUNDS = 40  # loop rounds in which the sidecar applies an update and a loopback connection is established
# The states of a response. `BROKEN` means that the upstream has reset the connection.
OPEN, SERVED, STARTED, FAILED, NOT_RUN, BROKEN = "open", "served", "started", "failed", "not run", "broken"
RESPONSE_PREFIXES = {
    SERVED: b"HTTP/1.1 200 OK\r\n",
    STARTED: b"HTTP/1.1 200 OK\r\n",
    FAILED: b"HTTP/1.1 500 Oops\r\n",
    NOT_RUN: b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n",
}
LONG_BODY_SIZE = 100_000  # bytes; more than the sidecar buffers of a request body or of a response


@dataclass
class ReceivedRequest:
    """A complete request at an upstream.

    Attributes:
        request_id: the client's `X-Request-Id`.
        connection: the connection on which the request arrived.
        round: the loop round in which the request was complete.
        state: the state of the response; one of `OPEN`, `SERVED`, `STARTED`, `FAILED`, `NOT_RUN` and `BROKEN`.
        unsent_response: the rest of a response that has been started.
    """

    request_id: str
    connection: Connection
    round: int
    state: str = OPEN
    unsent_response: bytes = b""


@dataclass(eq=False)
class Connection:
    """A connection from the sidecar to an upstream, with the bytes of the next request that have arrived."""

    sock: socket.socket
    buffer: bytes = b""
    open: bool = True


@dataclass(eq=False)
class StandInUpstream:
    """An upstream with an address of its own.

    Attributes:
        uid: the upstream's id in the endpoint list.
        listener: the listening socket.
        connections: all connections that the sidecar has opened.
        requests: all complete requests that have arrived.
        drained_round: the loop round in which the endpoint list reported it as draining or removed; -1 = never.
    """

    uid: str
    listener: socket.socket
    connections: list[Connection] = field(default_factory=list)
    requests: list[ReceivedRequest] = field(default_factory=list)
    drained_round: int = -1

    @property
    def port(self) -> int:
        return int(self.listener.getsockname()[1])


@dataclass(eq=False)
class ClientRequest:
    """A request of a client, and what the client has received on its connection.

    Attributes:
        request_id: the `X-Request-Id` that the client sends.
        class_name: the request class.
        sock: the connection of the client, which carries one request at a time.
        unsent: the part of the request that has not been sent.
        response_data: the bytes of the response that have arrived.
        closed_by_sidecar: whether the sidecar has closed the connection.
        disconnected_round: the loop round in which the client closed its connection or its sending side; -1 = none.
        reuses_connection: whether the connection carried a request before; if the sidecar closes such a connection
            before it reads the request, a client sends the request again on another connection.
        superseded: whether the response has arrived and the connection carries another request.
    """

    request_id: str
    class_name: str
    sock: socket.socket
    unsent: bytes
    response_data: bytes = b""
    closed_by_sidecar: bool = False
    disconnected_round: int = -1
    reuses_connection: bool = False
    superseded: bool = False


def split_message(data: bytes) -> tuple[bytes, bytes, bytes] | None:
    """Return the head and the body of the first message, and the bytes after it; None if it is incomplete."""
    head, found, rest = data.partition(b"\r\n\r\n")
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    length = int(lengths[0].split(b":")[1]) if lengths else 0
    return (head, rest[:length], rest[length:]) if found and len(rest) >= length else None


def make_body(request_id: str, is_long: bool) -> bytes:
    """Return the body of a request and of the response to it; it differs from the bodies of all other requests."""
    return (request_id + ";").encode() * (LONG_BODY_SIZE // len(request_id) if is_long else 1)


class InterleavingDriver:
    """Takes random steps generated from a seed, and checks the invariants after each step and at the end."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.round = 0
        self.revision = 1
        self.client_requests: list[ClientRequest] = []
        self.upstreams = [self.create_upstream(f"u{number}") for number in range(3)]
        self.discovery = Discovery()
        self.step_log: list[str] = []
        self.stopped = False
        self.stop_step = self.rng.randrange(300)  # most runs take fewer steps, so the sidecar is not stopped

    def create_upstream(self, uid: str) -> StandInUpstream:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        return StandInUpstream(uid, listener)

    def log_step(self, text: str) -> None:
        self.step_log.append(f"{self.round} {text}")

    def check(self, holds: bool, message: str) -> None:
        if not holds:
            raise AssertionError(f"{message}; the last steps: {self.step_log[-25:]}")

    async def run_steps(self, steps: int) -> None:
        endpoint_list = listing(*(entry(upstream.uid, upstream.port) for upstream in self.upstreams))
        async with sidecar(
            known=endpoint_list, discovery=self.discovery, cancel_attempts=True, hedging=self.rng.random() < 0.5
        ) as running:
            await self.discovery.wait_for_watch()
            try:
                for number in range(steps):
                    self.take_step(running, number)
                    for _ in range(self.rng.choice((0, 0, 0, 1, 1, 2, 3, SETTLE_ROUNDS))):
                        await self.run_loop_round()
                    if self.rng.random() < 0.05:
                        await asyncio.sleep(0.015)  # gives pending connections time to be established
                        self.poll_sockets()
                await self.finish()
            finally:
                for upstream in self.upstreams:
                    upstream.listener.close()
                    for connection in upstream.connections:
                        connection.sock.close()
                for client_request in self.client_requests:
                    client_request.sock.close()

    async def run_loop_round(self) -> None:
        self.round += 1
        await asyncio.sleep(0)
        self.poll_sockets()

    async def finish(self) -> None:
        """Complete all started requests and responses, and check that each connected client gets its response.

        Upstreams respond to the open requests as well, unless the sidecar is stopping.
        """
        give_up_at = time.monotonic() + TEST_TIMEOUT_S
        for client_request in self.client_requests:
            self.send_bytes(client_request, len(client_request.unsent))
        while time.monotonic() < give_up_at and any(not self.is_done(sent) for sent in self.client_requests):
            for upstream in self.upstreams:
                for received in upstream.requests:
                    if received.state == STARTED or (received.state == OPEN and not self.stopped):
                        self.respond(upstream, received, SERVED)
            await asyncio.sleep(0.002)
            self.poll_sockets()
        for client_request in self.client_requests:
            self.check(
                self.is_done(client_request),
                f"{client_request.request_id} has no response: {client_request.response_data[:90]!r}, "
                f"closed by the sidecar: {client_request.closed_by_sidecar}",
            )

    def received_copies(self, request_id: str) -> list[ReceivedRequest]:
        """Return the copies of a request that have arrived at upstreams."""
        return [
            received
            for upstream in self.upstreams
            for received in upstream.requests
            if received.request_id == request_id
        ]

    def is_done(self, client_request: ClientRequest) -> bool:
        """Return whether a client has its response or does not have to get one.

        The sidecar may close a connection without a complete response in two cases: it has not read the request from a
        reused connection, or an upstream has reset its connection after the response started.
        """
        if (
            client_request.superseded
            or client_request.disconnected_round >= 0
            or split_message(client_request.response_data) is not None
        ):
            return True
        if not client_request.closed_by_sidecar:
            return False
        closed_before_read = (
            client_request.reuses_connection
            and not client_request.response_data
            and not self.received_copies(client_request.request_id)
        )
        return closed_before_read or (
            b" 200 " in client_request.response_data[:16]
            and any(copy.state == BROKEN for copy in self.received_copies(client_request.request_id))
        )

    # Steps

    def take_step(self, running: Sidecar, number: int) -> None:
        if number == self.stop_step:
            self.log_step("SIGTERM")
            running.stop.set()
            self.stopped = True
            return
        step = self.rng.choices(
            (
                self.request_on_new_connection,
                self.request_on_idle_connection,
                self.send_rest_of_request,
                self.disconnect_client,
                self.respond_to_one,
                self.replace_upstream,
                self.send_stray_response,
            ),
            (7, 3, 4, 3, 8, 3, 1),
        )[0]
        step(running)

    def request_on_new_connection(self, running: Sidecar) -> None:
        if not self.stopped:
            sock = socket.create_connection(("127.0.0.1", running.port))
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.start_request(sock, reuses_connection=False)

    def request_on_idle_connection(self, running: Sidecar) -> None:
        """Start another request on a client connection whose request has its response."""
        idle = [
            client_request
            for client_request in self.client_requests
            if client_request.disconnected_round < 0
            and not client_request.superseded
            and not client_request.closed_by_sidecar
            and split_message(client_request.response_data) is not None
        ]
        if idle:
            client_request = self.rng.choice(idle)
            client_request.superseded = True
            self.start_request(client_request.sock, reuses_connection=True)

    def start_request(self, sock: socket.socket, reuses_connection: bool) -> None:
        """Send all of a new request, or only its first bytes."""
        class_name = self.rng.choice(("pay", "pay", "read", "mark"))
        request_id = f"{class_name}{len(self.client_requests)}"
        data = request(
            class_name, request_id, b"" if class_name == "read" else make_body(request_id, self.rng.random() < 0.1)
        )
        client_request = ClientRequest(request_id, class_name, sock, data, reuses_connection=reuses_connection)
        self.client_requests.append(client_request)
        self.send_bytes(client_request, self.rng.choice((len(data), len(data), len(data) - 1, len(data) // 2, 30)))

    def send_bytes(self, client_request: ClientRequest, size: int) -> None:
        """Send the next bytes of a request."""
        if client_request.unsent and client_request.disconnected_round < 0:
            with contextlib.suppress(OSError):
                client_request.sock.send(client_request.unsent[:size])
            self.log_step(f"{client_request.request_id} sends {size} of {len(client_request.unsent)}")
            client_request.unsent = client_request.unsent[size:]

    def send_rest_of_request(self, running: Sidecar) -> None:
        incomplete = [client_request for client_request in self.client_requests if client_request.unsent]
        if incomplete:
            client_request = self.rng.choice(incomplete)
            self.send_bytes(client_request, len(client_request.unsent))

    def disconnect_client(self, running: Sidecar) -> None:
        """Close or reset the connection of a waiting client, or close only its sending side."""
        waiting = [client_request for client_request in self.client_requests if not self.is_done(client_request)]
        if waiting:
            client_request, action = self.rng.choice(waiting), self.rng.choice(("half-closes", "resets", "closes"))
            client_request.disconnected_round = self.round
            self.log_step(f"{client_request.request_id} {action}")
            if action == "half-closes":
                with contextlib.suppress(OSError):
                    client_request.sock.shutdown(socket.SHUT_WR)
                return
            if action == "resets":
                client_request.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client_request.sock.close()

    def open_requests(self) -> list[tuple[StandInUpstream, ReceivedRequest]]:
        """Return the requests that have arrived at an upstream and have no complete response yet."""
        return [
            (upstream, received)
            for upstream in self.upstreams
            for received in upstream.requests
            if received.state in (OPEN, STARTED) and received.connection.open
        ]

    def respond_to_one(self, running: Sidecar) -> None:
        if candidates := self.open_requests():
            upstream, received = self.rng.choice(candidates)
            next_states = (
                (SERVED, BROKEN) if received.state == STARTED else (SERVED, SERVED, STARTED, FAILED, NOT_RUN, BROKEN)
            )
            self.respond(upstream, received, self.rng.choice(next_states))

    def respond(self, upstream: StandInUpstream, received: ReceivedRequest, new_state: str) -> None:
        """Change the state of a response: send all of it, send a part of it, or reset the connection."""
        self.log_step(f"{upstream.uid}: {received.request_id} is {new_state}")
        was_started, received.state = received.state == STARTED, new_state
        if new_state == BROKEN:
            received.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            received.connection.sock.close()
            received.connection.open = False
        elif received.connection.open:
            data = received.unsent_response
            if not was_started:
                body = make_body(received.request_id, new_state == STARTED) if new_state in (SERVED, STARTED) else b""
                data = RESPONSE_PREFIXES[new_state] + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            if new_state == STARTED:
                data, received.unsent_response = data[:-1000], data[-1000:]
            with contextlib.suppress(OSError):
                received.connection.sock.send(data)

    def send_stray_response(self, running: Sidecar) -> None:
        """Respond to a request, and send a second response immediately after the first."""
        if candidates := self.open_requests():
            upstream, received = self.rng.choice(candidates)
            self.respond(upstream, received, SERVED)
            with contextlib.suppress(OSError):
                received.connection.sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")

    def replace_upstream(self, running: Sidecar) -> None:
        """Report one upstream as draining or removed, and a new one as ready."""
        ready = [upstream for upstream in self.upstreams if upstream.drained_round < 0]
        upstream, replacement = self.rng.choice(ready), self.create_upstream(f"u{len(self.upstreams)}")
        self.upstreams.append(replacement)
        upstream.drained_round = self.round
        self.revision += 1
        self.log_step(f"{upstream.uid} drains, {replacement.uid} is ready")
        self.discovery.send_update(
            listing(
                entry(upstream.uid, upstream.port, self.rng.choice(("leaving", "left"))),
                entry(replacement.uid, replacement.port),
                rev=self.revision,
                full=False,
            )
        )

    # Received data and invariants

    def poll_sockets(self) -> None:
        """Accept the new connections of all upstreams, and read what has arrived at upstreams and clients."""
        for upstream in self.upstreams:
            with contextlib.suppress(BlockingIOError):
                while True:
                    sock, _ = upstream.listener.accept()
                    sock.setblocking(False)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # bytes sent in a step arrive at once
                    upstream.connections.append(Connection(sock))
            for connection in upstream.connections:
                if connection.open:
                    self.read_requests(upstream, connection)
        for client_request in self.client_requests:
            if (
                not client_request.superseded
                and not client_request.closed_by_sidecar
                and client_request.sock.fileno() >= 0
            ):
                self.read_response(client_request)

    def read_response(self, client_request: ClientRequest) -> None:
        """Read what has arrived at a client; check that it is at most one response, with the body for this request."""
        try:
            data = client_request.sock.recv(1_000_000)
        except BlockingIOError:
            return
        except ConnectionError:
            data = b""
        client_request.response_data, client_request.closed_by_sidecar = client_request.response_data + data, not data
        if data and (message := split_message(client_request.response_data)) is not None:
            head, body, extra = message
            self.check(not extra, f"{client_request.request_id} has a second response: {extra[:90]!r}")
            self.check(
                b" 200 " not in head[:16]
                or body in (make_body(client_request.request_id, False), make_body(client_request.request_id, True)),
                f"{client_request.request_id} has the wrong response body {body[:90]!r}",
            )

    def read_requests(self, upstream: StandInUpstream, connection: Connection) -> None:
        """Read what has arrived on a connection to an upstream, and check each complete request."""
        try:
            data = connection.sock.recv(1_000_000)
        except BlockingIOError:
            return
        except ConnectionError:
            data = b""
        if not data:
            connection.open = False
            connection.sock.close()
            return
        connection.buffer += data
        while (message := split_message(connection.buffer)) is not None:
            head, body, connection.buffer = message
            received = ReceivedRequest(
                head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode(), connection, self.round
            )
            upstream.requests.append(received)
            self.log_step(f"{received.request_id} is at {upstream.uid}")
            self.check_received(upstream, received, body)

    def check_received(self, upstream: StandInUpstream, received: ReceivedRequest, body: bytes) -> None:
        """Check that a request may be at this upstream now, has the right body, and does not run twice."""
        client_request = next(sent for sent in self.client_requests if sent.request_id == received.request_id)
        self.check(
            client_request.class_name == "read"
            or body in (make_body(client_request.request_id, False), make_body(client_request.request_id, True)),
            f"{received.request_id} arrived with the wrong body {body[:90]!r}",
        )
        is_long = len(body) > LONG_BODY_SIZE // 2  # the first byte of a long request may have arrived much earlier
        self.check(
            is_long or upstream.drained_round < 0 or received.round <= upstream.drained_round + SETTLE_ROUNDS,
            f"{received.request_id} arrived at {upstream.uid}, which is draining",
        )
        self.check(
            client_request.disconnected_round < 0
            or received.round <= client_request.disconnected_round + SETTLE_ROUNDS,
            f"{received.request_id} was forwarded after its client had disconnected",
        )
        possible_runs = [copy.state for copy in self.received_copies(received.request_id) if copy.state != NOT_RUN]
        self.check(
            client_request.class_name != "pay" or len(possible_runs) == 1,
            f"{received.request_id} may have run twice: {possible_runs}",
        )
