"""Compares a configuration file with its predecessor, to notice one that is incomplete."""

from __future__ import annotations

from collections.abc import Mapping

from garnetusher.sidecar.errors import join_path

# Keys that a file may lack though the one before had them: they may be absent, or serve the start only.
OPTIONAL_KEYS = frozenset(("known", "accounts", "aim-stretch", "passes-deadline", "warm-keys"))


def first_missing_key(previous: object, current: object, path: str = "") -> str:
    """Return the path of a key that a file lacks though its predecessor has it, as one cut short would; else ""."""
    if isinstance(previous, Mapping):
        return _first_missing_of_object(previous, current, path)
    if isinstance(previous, list) and previous and all(isinstance(item, Mapping) for item in previous):
        return _first_missing_of_list(previous, current, path)
    return ""


def _first_missing_of_object(previous: Mapping[str, object], current: object, path: str) -> str:
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


def _first_missing_of_list(previous: list[Mapping[str, object]], current: object, path: str) -> str:
    """Compare each item with the keys that all items had before, as items may come, go and change places."""
    common = {key: None for key in previous[0] if all(key in item for item in previous)}
    for index, item in enumerate(current if isinstance(current, list) else [None]):
        missing = first_missing_key(common, item, f"{path}.{index}")
        if missing:
            return missing
    return ""
