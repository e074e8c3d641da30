"""The classes and tenants that requests name, and the checks of a request's head against them."""

from __future__ import annotations

from garnetusher.policy.settings import Settings
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.requests.messages import HttpRequest

OWN_HEADERS = frozenset(
    (  # of this connection, or written anew for each attempt
        b"host",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        b"content-length",
        b"transfer-encoding",
        b"x-deadline-ms",
    )
)


class RequestRejected(Exception):
    """Input that is not taken: it is answered with this status, and the connection closed."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def whole_number(text: bytes, what: str) -> int:
    if not text.isdigit() or len(text) > 12:
        raise RequestRejected(400, f"{what} is no whole number")
    return int(text)


def retry_after(after_us: int) -> bytes:
    return b"Retry-After: %.3f\r\n" % (after_us / 1e6) if after_us else b""


class RequestRouter:
    """The classes and tenants that requests name."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {kind.name.encode(): i for i, kind in enumerate(settings.classes)}
        self.tenants = {tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)}

    def route(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]]) -> HttpRequest:
        """Check a request's head and give it its place in the settings."""
        found = {name.lower(): value for name, value in headers}
        name = target.split(b"?")[0].lstrip(b"/").split(b"/")[0]
        index = self.classes.get(name)
        if index is None or found.get(b"x-class", name) != name:
            raise RequestRejected(404, "unknown class")
        if not found.get(b"x-request-id"):
            raise RequestRejected(400, "no X-Request-Id")
        effect = self.settings.classes[index].effect
        if method != (b"GET" if effect == "idempotent" else b"POST"):
            raise RequestRejected(400, "not the method of this class")
        if effect == "deduplicated" and not found.get(b"idempotency-key"):
            raise RequestRejected(400, "no Idempotency-Key")
        key = found.get(b"x-key")
        cost = found.get(b"x-cost-hint")
        return HttpRequest(
            method,
            target,
            [(n, v) for n, v in headers if n.lower() not in OWN_HEADERS],
            b"",
            monotonic_us(),
            client_timeout_us=1000 * whole_number(found.get(b"x-deadline-ms", b""), "X-Deadline-Ms"),
            class_index=index,
            tenant_index=self.tenants.get(
                found.get(b"x-tenant", b""), len(self.tenants)
            ),  # beyond all: it is none of them
            affinity_key=hash(key) & 0xFFFF_FFFF_FFFF_FFFF if key else 0,
            expected_work_us=whole_number(cost, "X-Cost-Hint") if cost else 0,
            client_retry=found.get(b"x-retry") == b"1",
            client_request_id=found[b"x-request-id"].decode("latin-1"),
        )
