"""Random streams by purpose: one more draw in one place changes nothing in another."""

from __future__ import annotations

import math
from statistics import NormalDist

import numpy as np
import xxhash

_NORMAL = NormalDist()
_SPAN = float(2**64)


def stream(seed: int, *purpose: object) -> np.random.Generator:
    """The generator for one purpose, such as ``stream(7, "arrivals", "pacheco-0")``."""
    words = [xxhash.xxh64_intdigest(str(word).encode()) for word in purpose]
    return np.random.default_rng(np.random.SeedSequence([seed, *words]))


def uniform(seed: int, *purpose: object) -> float:
    """One draw from (0, 1), the same for the same purpose wherever it is made."""
    text = "\0".join(map(str, (seed, *purpose)))
    return (xxhash.xxh64_intdigest(text.encode()) + 0.5) / _SPAN


def work_us(seed: int, request: str, mean_ms: float, cv: float) -> int:
    """The work of a request on a standard core, in microseconds: lognormal, drawn by its id, so that all its
    attempts find the same work wherever they run."""
    if cv == 0:
        return max(1, int(mean_ms * 1000))
    variance = math.log(1 + cv * cv)
    z = _NORMAL.inv_cdf(min(max(uniform(seed, "work", request), 1e-12), 1 - 1e-12))
    return max(1, int(mean_ms * 1000 * math.exp(math.sqrt(variance) * z - variance / 2)))
