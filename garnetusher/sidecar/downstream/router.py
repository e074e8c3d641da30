"""Validates request heads against the settings, and determines the class and tenant of each request."""

from __future__ import annotations

from garnetusher.policy.settings import Settings
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.downstream.errors import RequestRejected
from garnetusher.sidecar.requests.messages import HttpRequest

MAX_INTEGER_DIGITS = 12
AFFINITY_KEY_MASK = 0xFFFF_FFFF_FFFF_FFFF
# The headers that `RequestRouter.route` uses.
ROUTING_HEADERS = frozenset(
    (
        b"idempotency-key",
        b"x-class",
        b"x-cost-hint",
        b"x-deadline-ms",
        b"x-key",
        b"x-request-id",
        b"x-retry",
        b"x-tenant",
    )
)


def parse_integer(text: bytes, header_name: str) -> int:
    """Return the value of an integer header.

    Raises:
        RequestRejected: The value is not a non-negative integer or has too many digits.
    """
    if not text.isdigit() or len(text) > MAX_INTEGER_DIGITS:
        raise RequestRejected(400, f"{header_name} is no whole number")
    return int(text)


class RequestRouter:
    """Maps requests to the classes and tenants of one version of the settings.

    Attributes:
        settings: The settings that the router uses.
        class_indexes: The index of each class in the settings, by the encoded class name.
        tenant_indexes: The index of each tenant in the settings, by the encoded tenant name.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.class_indexes = {each.name.encode(): i for i, each in enumerate(settings.classes)}
        self.tenant_indexes = {tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)}

    def route(self, method: bytes, target: bytes, header_values: dict[bytes, bytes]) -> HttpRequest:
        """Validate a request's head and return the request with its class and tenant, without the forwarded headers.

        Args:
            method: The method.
            target: The target.
            header_values: The values of `ROUTING_HEADERS`, by lower-case name.

        Raises:
            RequestRejected: The class is unknown, or the head violates the rules of the class.
        """
        class_index = self._find_class(target, header_values)
        self._check_class_rules(class_index, method, header_values)
        affinity_key = header_values.get(b"x-key")
        cost_hint = header_values.get(b"x-cost-hint")
        return HttpRequest(
            method,
            target,
            b"",
            b"",
            monotonic_us(),
            client_timeout_us=1000 * parse_integer(header_values.get(b"x-deadline-ms", b""), "X-Deadline-Ms"),
            class_index=class_index,
            tenant_index=self._tenant_index(header_values),
            affinity_key=hash(affinity_key) & AFFINITY_KEY_MASK if affinity_key else 0,
            expected_work_us=parse_integer(cost_hint, "X-Cost-Hint") if cost_hint else 0,
            client_retry=header_values.get(b"x-retry") == b"1",
            client_request_id=header_values[b"x-request-id"].decode("latin-1"),
        )

    def _find_class(self, target: bytes, header_values: dict[bytes, bytes]) -> int:
        """Return the index of the class in the first path segment; an X-Class header, if present, must match it."""
        class_name = target.split(b"?")[0].lstrip(b"/").split(b"/")[0]
        class_index = self.class_indexes.get(class_name)
        if class_index is None or header_values.get(b"x-class", class_name) != class_name:
            raise RequestRejected(404, "unknown class")
        return class_index

    def _check_class_rules(self, class_index: int, method: bytes, header_values: dict[bytes, bytes]) -> None:
        if not header_values.get(b"x-request-id"):
            raise RequestRejected(400, "no X-Request-Id")
        effect = self.settings.classes[class_index].effect
        if method != (b"GET" if effect == "idempotent" else b"POST"):
            raise RequestRejected(400, "not the method of this class")
        if effect == "deduplicated" and not header_values.get(b"idempotency-key"):
            raise RequestRejected(400, "no Idempotency-Key")

    def _tenant_index(self, header_values: dict[bytes, bytes]) -> int:
        """Return the tenant's index, or the number of tenants if the tenant is unknown or missing."""
        return self.tenant_indexes.get(header_values.get(b"x-tenant", b""), len(self.tenant_indexes))
