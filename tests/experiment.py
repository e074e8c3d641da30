"""A small experiment for tests, as an object and as the text of a file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from garnetusher import config
from garnetusher.model.experiment import Experiment

ROOT = Path(__file__).resolve().parent.parent

SMALL = """
name = "small"
seed = 5
seconds = {seconds}
[topology]
regions = {{ south = ["a", "b"] }}
[upstreams]
per_zone = {{ a = {upstreams}, b = {upstreams} }}
cores = 2
{machine}
[sidecars]
per_zone = {{ a = 1, b = 1 }}
[load]
requests_per_s = {load}
[directory]
add_s = 0.3
notice_s = 0.5
spread_ms = 20
[[class]]
name = "read"
aim_ms = 300
deadline_ms = 900
share = 0.6
work_ms = 20
[[class]]
name = "publish"
effect = "at_most_once"
aim_ms = 400
deadline_ms = 1200
share = 0.4
worth = 3
work_ms = 20
{more}
"""


def text(seconds: float = 3, upstreams: int = 3, load: float = 120, machine: str = "", more: str = "") -> str:
    """Return an experiment file; `machine` is added to its `[upstreams]`, and `more` to its end."""
    return SMALL.format(seconds=seconds, upstreams=upstreams, load=load, machine=machine, more=more)


def small(**changes: Any) -> Experiment:
    """Return the experiment of `text(**changes)`."""
    return config.parse(text(**changes), Experiment)
