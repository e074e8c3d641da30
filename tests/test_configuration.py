"""Tests of reading the configuration file, and of errors that name the invalid key."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from garnetusher.sidecar.configuration import Configuration, flatten, load, reload
from garnetusher.sidecar.configuration_section import ConfigurationError
from tests.processes import with_value, without_key, write_configuration


def test_load_reads_settings_when_keys_are_those_of_the_platform(tmp_path: Path) -> None:
    config: Configuration = load(str(write_configuration(tmp_path)))
    assert (config.seed, config.max_descriptors, config.idle_timeout_us) == (0x8C1F, 1024, 5_000_000)
    assert (config.zones, config.machine_types) == (["a", "b"], ["m"])
    assert config.settings.zone == 1
    assert config.settings.poll_endpoints
    assert config.settings.endpoint_weights
    assert config.settings.load_report_names == ["in_flight", "queued"]
    assert [request_class.effect for request_class in config.settings.classes] == ["at_most_once"]


def test_flatten_returns_pairs_when_settings_are_nested() -> None:
    nested = {"a": {"b": True, "c": [1, 2]}, "d": [{"e": 0.5}], "f": []}
    assert flatten(nested) == {"a.b": "true", "a.c": "1,2", "d.count": "1", "d.0.e": "0.5", "f.count": "0"}


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("listen", "nowhere", "listen: expected host:port, found 'nowhere'"),
        ("discovery", 5, "discovery: expected host:port, found 5"),
        ("seed", 7, "seed: expected a hexadecimal number, found 7"),
        ("settings", [], "settings: expected an object, found []"),
        ("settings.areas", None, "settings.areas: expected a list, found None"),
        ("settings.bounds.most-tries", True, "settings.bounds.most-tries: expected a positive number, found True"),
        ("settings.bounds.conn-idle", "soon", "settings.bounds.conn-idle: expected a number, found 'soon'"),
        ("settings.request-classes.0.aim", 0, "settings.request-classes.0.aim: expected a positive number, found 0"),
        ("limits.memory_mb", 1e999, "limits.memory_mb: expected a number, found inf"),
    ],
)
def test_load_names_key_place_and_value_when_a_value_is_wrong(
    tmp_path: Path, path: str, value: object, message: str
) -> None:
    file = write_configuration(tmp_path)
    file.write_text(json.dumps(with_value(json.loads(file.read_text()), path, value)))
    with pytest.raises(ConfigurationError) as caught:
        load(str(file))
    assert str(caught.value) == message
    assert f"{caught.value.place}.{caught.value.key}".removeprefix(".") == path


@pytest.mark.parametrize("path", ["listen", "limits.sockets", "settings.kinds", "settings.request-classes.0.name"])
def test_load_names_key_when_it_is_missing(tmp_path: Path, path: str) -> None:
    file = write_configuration(tmp_path)
    file.write_text(json.dumps(without_key(json.loads(file.read_text()), path)))
    with pytest.raises(ConfigurationError, match=f"^{path}: expected a value, found nothing$"):
        load(str(file))


def test_reload_names_key_when_only_the_previous_file_has_it(tmp_path: Path) -> None:
    file = write_configuration(tmp_path)
    previous = load(str(file))
    file.write_text(json.dumps(without_key(json.loads(file.read_text()), "name")))
    with pytest.raises(ConfigurationError, match=r"^name: expected a value, as in the previous file, found nothing$"):
        reload(str(file), previous)


@pytest.mark.parametrize(
    ("regions", "message"),
    [
        (5, "fleet.regions: expected lists of zones by region, found 5"),
        ({"south": "a"}, "fleet.regions: expected lists of zones by region, found {'south': 'a'}"),
        ({"south": ["a"]}, "fleet.regions: expected a region for each zone, found 'none for b'"),
    ],
)
def test_load_names_fleet_regions_when_they_are_wrong(tmp_path: Path, regions: object, message: str) -> None:
    file = write_configuration(tmp_path, fleet={"regions": regions})
    with pytest.raises(ConfigurationError) as caught:
        load(str(file))
    assert str(caught.value) == message
