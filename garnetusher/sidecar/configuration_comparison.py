"""Compares a configuration file with the previous one, to detect an incomplete file."""

from __future__ import annotations

from collections.abc import Mapping

from garnetusher.sidecar.errors import join_path

# Keys that a file may lack even if the previous file had them: they are optional, or are used only at startup.
OPTIONAL_KEYS = frozenset(("known", "accounts", "aim-stretch", "passes-deadline", "warm-keys"))


def first_missing_key(previous: object, current: object, path: str = "") -> str:
    """Return the path of a key that only `previous` has, for example because the file is truncated; "" if none."""
    if isinstance(previous, Mapping):
        return _first_missing_key_in_object(previous, current, path)
    if isinstance(previous, list) and previous and all(isinstance(item, Mapping) for item in previous):
        return _first_missing_key_in_list(previous, current, path)
    return ""


def _first_missing_key_in_object(previous: Mapping[str, object], current: object, path: str) -> str:
    if not isinstance(current, Mapping):
        return path
    for key in previous.keys() - OPTIONAL_KEYS:
        inner_path = join_path(path, str(key))
        if key not in current:
            return inner_path
        missing = first_missing_key(previous[key], current[key], inner_path)
        if missing:
            return missing
    return ""


def _first_missing_key_in_list(previous: list[Mapping[str, object]], current: object, path: str) -> str:
    """Return the path of a key that all previous items have and a current one lacks; number and order may change."""
    common_keys = {key: None for key in previous[0] if all(key in item for item in previous)}
    for index, item in enumerate(current if isinstance(current, list) else [None]):
        missing = first_missing_key(common_keys, item, f"{path}.{index}")
        if missing:
            return missing
    return ""
