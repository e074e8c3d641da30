"""Settings from text: the path=value pairs in which the simulator sends them and the configuration file is flattened.

Setting keys are the operators' own and stay as they are; this module is where they become the policy's names.
"""

from __future__ import annotations

import math

from garnetusher.errors import GarnetusherError
from garnetusher.policy.settings import DEDUPLICATION_SCOPES, EFFECTS, RequestClass, Settings, Tenant

# Load report values: the wire's names and ours; a name not known here is kept as it is.
_REPORT_NAMES = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "utilization",
    "lat_ms": "latency_ms",
    "rate": "served_per_s",
    "fail_rate": "errors_per_s",
}


class SettingsTextError(GarnetusherError):
    """A setting that is missing or cannot be read; the message names its path."""


class _SettingsReader:
    """The start-up settings' path=value pairs, read with checks."""

    def __init__(self, pairs: dict[str, str]) -> None:
        self.pairs = pairs

    def text(self, path: str, default: str | None = None) -> str:
        value = self.pairs.get(path, default)
        if value is None:
            message = f"setting {path} is missing"
            raise SettingsTextError(message)
        return value

    def number(self, path: str, default: str | None = None) -> float:
        value = self.text(path, default)
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            message = f"setting {path}: expected a number, got {value!r}"
            raise SettingsTextError(message)
        return number

    def integer(self, path: str, default: str | None = None) -> int:
        number = self.number(path, default)
        if number != int(number):
            message = f"setting {path}: expected a whole number, got {self.text(path, default)!r}"
            raise SettingsTextError(message)
        return int(number)

    def choice(self, path: str, choices: tuple[str, ...], default: str | None = None) -> str:
        value = self.text(path, default)
        if value not in choices:
            message = f"setting {path}: expected one of {', '.join(choices)}, got {value!r}"
            raise SettingsTextError(message)
        return value

    def flag(self, path: str, default: str | None = None) -> bool:
        return self.choice(path, ("true", "false"), default) == "true"


def _class(options: _SettingsReader, at: str) -> RequestClass:
    return RequestClass(
        name=options.text(at + "name"),
        latency_objective_us=options.integer(at + "aim"),
        deadline_us=options.integer(at + "deadline"),
        priority_weight=options.number(at + "worth"),
        late_weight=options.number(at + "late-worth", "0"),
        latency_objective_stretch=options.number(at + "aim-stretch", "0"),
        effect=options.choice(at + "effect", EFFECTS),
        deduplication_scope=options.choice(at + "group", DEDUPLICATION_SCOPES, "all"),
        deduplication_window_us=options.integer(at + "memory-span", "0"),
        streaming=options.flag(at + "stream", "false"),
    )


def _tenant(options: _SettingsReader, at: str) -> Tenant:
    return Tenant(options.text(at + "name"), options.number(at + "allowance-per-s"), options.number(at + "share", "0"))


def parse_settings(text: str) -> Settings:
    """The settings of one instance; keys that are not known are skipped."""
    pairs: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        path, equals, value = line.partition("=")
        if not equals or not path:
            message = f"settings line {number}: expected path=value, got {line!r}"
            raise SettingsTextError(message)
        pairs[path] = value
    return settings_from_pairs(pairs)


def settings_from_pairs(pairs: dict[str, str]) -> Settings:
    """The settings from their paths and values; keys that are not known are skipped."""
    o = _SettingsReader(pairs)
    try:
        return Settings(
            classes=[_class(o, f"request-classes.{i}.") for i in range(o.integer("request-classes.count"))],
            tenants=[_tenant(o, f"accounts.{i}.") for i in range(o.integer("accounts.count", "0"))],
            over_quota_weight=o.number("over-share-worth", "1"),
            weight_by_work=o.choice("value-by", ("request", "work"), "request") == "work",
            fleet_size=o.integer("instances"),
            instance_index=o.integer("self-index", "0"),
            zone=o.integer("locality", "0"),
            batch_interval_us=o.integer("granularity"),
            max_attempts=o.integer("bounds.most-tries"),
            max_retry_after_us=o.integer("bounds.max-retry-after", "0"),
            connect_timeout_us=o.integer("bounds.dial-timeout", "0"),
            send_retry_after=o.flag("bounds.retry-after"),
            cancel_attempts=o.flag("bounds.cancel"),
            health_checks=o.flag("bounds.probes"),
            hedging=o.flag("bounds.second-copies"),
            poll_endpoints=o.choice("registry-mode", ("pushed", "on_request")) == "on_request",
            poll_interval_us=o.integer("invariants.ask-within", "0"),
            warm_up_initial_fraction=o.number("invariants.cold-share"),
            warm_up_us=o.integer("invariants.warm-up"),
            overload_factor=o.number("invariants.overload-factor"),
            overload_window_us=o.integer("invariants.fall"),
            cross_zone_cost=o.number("fees.cross-zone", "0"),
            load_report_names=[_REPORT_NAMES.get(name, name) for name in o.text("report.names", "").split(",") if name],
            endpoint_weights=o.text("weights", "none") != "none",
        )
    except ValueError as error:
        message = f"settings: {error}"
        raise SettingsTextError(message) from error
