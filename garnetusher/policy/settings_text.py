"""Parser for settings in path=value form.

The simulator sends its settings in this form, and the settings of the configuration file are converted to it.

The keys are part of the configuration format and do not change; this module maps them to the names in `Settings`.
"""

from __future__ import annotations

import math

from garnetusher.errors import GarnetusherError
from garnetusher.policy.settings import DEDUPLICATION_SCOPES, EFFECTS, RequestClass, Settings, Tenant

# Maps the names of load report values in the settings to the names in the policy; other names stay unchanged
_REPORT_NAMES = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "utilization",
    "lat_ms": "latency_ms",
    "rate": "served_per_s",
    "fail_rate": "errors_per_s",
}


class SettingsTextError(GarnetusherError):
    """A setting is missing or invalid; the message contains its path."""


class _SettingsReader:
    """Reads and validates values from path=value pairs."""

    def __init__(self, pairs: dict[str, str]) -> None:
        self.pairs = pairs

    def text(self, path: str, default: str | None = None) -> str:
        """Return a text.

        Raises:
            SettingsTextError: The setting is missing and has no default.
        """
        value = self.pairs.get(path, default)
        if value is None:
            message = f"setting {path} is missing"
            raise SettingsTextError(message)
        return value

    def number(self, path: str, default: str | None = None) -> float:
        """Return a finite number, or raise `SettingsTextError`."""
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
        """Return a whole number, or raise `SettingsTextError`."""
        number = self.number(path, default)
        if number != int(number):
            message = f"setting {path}: expected a whole number, got {self.text(path, default)!r}"
            raise SettingsTextError(message)
        return int(number)

    def choice(self, path: str, choices: tuple[str, ...], default: str | None = None) -> str:
        """Return one of the choices, or raise `SettingsTextError`."""
        value = self.text(path, default)
        if value not in choices:
            message = f"setting {path}: expected one of {', '.join(choices)}, got {value!r}"
            raise SettingsTextError(message)
        return value

    def flag(self, path: str, default: str | None = None) -> bool:
        """Return a truth value, or raise `SettingsTextError`."""
        return self.choice(path, ("true", "false"), default) == "true"


def _read_class(reader: _SettingsReader, prefix: str) -> RequestClass:
    return RequestClass(
        name=reader.text(prefix + "name"),
        latency_objective_us=reader.integer(prefix + "aim"),
        deadline_us=reader.integer(prefix + "deadline"),
        priority_weight=reader.number(prefix + "worth"),
        late_weight=reader.number(prefix + "late-worth", "0"),
        latency_objective_stretch=reader.number(prefix + "aim-stretch", "0"),
        effect=reader.choice(prefix + "effect", EFFECTS),
        deduplication_scope=reader.choice(prefix + "group", DEDUPLICATION_SCOPES, "all"),
        deduplication_window_us=reader.integer(prefix + "memory-span", "0"),
        streaming=reader.flag(prefix + "stream", "false"),
    )


def _read_tenant(reader: _SettingsReader, prefix: str) -> Tenant:
    return Tenant(
        reader.text(prefix + "name"), reader.number(prefix + "allowance-per-s"), reader.number(prefix + "share", "0")
    )


def parse_settings(text: str) -> Settings:
    """Parse the settings of one sidecar from lines of path=value; unknown keys are ignored.

    Raises:
        SettingsTextError: A line is malformed, or a setting is missing or invalid.
    """
    pairs: dict[str, str] = {}
    for line_number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        path, equals, value = line.partition("=")
        if not equals or not path:
            message = f"settings line {line_number}: expected path=value, got {line!r}"
            raise SettingsTextError(message)
        pairs[path] = value
    return settings_from_pairs(pairs)


def settings_from_pairs(pairs: dict[str, str]) -> Settings:
    """Build the settings of one sidecar from paths and values; unknown keys are ignored.

    Raises:
        SettingsTextError: A setting is missing or invalid.
    """
    reader = _SettingsReader(pairs)
    try:
        return Settings(
            classes=[
                _read_class(reader, f"request-classes.{i}.") for i in range(reader.integer("request-classes.count"))
            ],
            tenants=[_read_tenant(reader, f"accounts.{i}.") for i in range(reader.integer("accounts.count", "0"))],
            over_quota_weight=reader.number("over-share-worth", "1"),
            weight_by_work=reader.choice("value-by", ("request", "work"), "request") == "work",
            fleet_size=reader.integer("instances"),
            instance_index=reader.integer("self-index", "0"),
            zone=reader.integer("locality", "0"),
            batch_interval_us=reader.integer("granularity"),
            max_attempts=reader.integer("bounds.most-tries"),
            max_retry_after_us=reader.integer("bounds.max-retry-after", "0"),
            connect_timeout_us=reader.integer("bounds.dial-timeout", "0"),
            send_retry_after=reader.flag("bounds.retry-after"),
            cancel_attempts=reader.flag("bounds.cancel"),
            health_checks=reader.flag("bounds.probes"),
            hedging=reader.flag("bounds.second-copies"),
            poll_endpoints=reader.choice("registry-mode", ("pushed", "on_request")) == "on_request",
            poll_interval_us=reader.integer("invariants.ask-within", "0"),
            warm_up_initial_fraction=reader.number("invariants.cold-share"),
            warm_up_us=reader.integer("invariants.warm-up"),
            overload_factor=reader.number("invariants.overload-factor"),
            overload_window_us=reader.integer("invariants.fall"),
            cross_zone_cost=reader.number("fees.cross-zone", "0"),
            load_report_names=[
                _REPORT_NAMES.get(name, name) for name in reader.text("report.names", "").split(",") if name
            ],
            endpoint_weights=reader.text("weights", "none") != "none",
        )
    except ValueError as error:
        message = f"settings: {error}"
        raise SettingsTextError(message) from error
