"""Random numbers by purpose: an additional draw for one purpose changes no draw for another."""

from __future__ import annotations

import math
from statistics import NormalDist

import numpy as np
import xxhash

_STANDARD_NORMAL = NormalDist()
_HASH_RANGE = float(2**64)
_SMALLEST_PROBABILITY = 1e-12  # the normal quantiles of 0 and 1 are infinite


def stream(seed: int, *purpose: object) -> np.random.Generator:
    """Return the random generator for one purpose, as in ``stream(7, "arrivals", "pacheco-0")``."""
    words = [xxhash.xxh64_intdigest(str(word).encode()) for word in purpose]
    return np.random.default_rng(np.random.SeedSequence([seed, *words]))


def uniform(seed: int, *purpose: object) -> float:
    """Return a uniform draw from (0, 1), which depends on the seed and the purpose only."""
    text = "\0".join(map(str, (seed, *purpose)))
    return (xxhash.xxh64_intdigest(text.encode()) + 0.5) / _HASH_RANGE


def work_us(seed: int, request: str, mean_ms: float, cv: float) -> int:
    """Return the work of a request on a standard core, in microseconds.

    The work is lognormal and depends on the request's id, so all attempts of a request have the same work on any
    upstream.

    Args:
        seed: The run's seed.
        request: The request's id.
        mean_ms: The mean of the distribution.
        cv: The distribution's coefficient of variation; 0 gives the mean itself.
    """
    if cv == 0:
        return max(1, int(mean_ms * 1000))
    variance = math.log(1 + cv * cv)
    probability = uniform(seed, "work", request)
    probability = min(max(probability, _SMALLEST_PROBABILITY), 1 - _SMALLEST_PROBABILITY)
    z = _STANDARD_NORMAL.inv_cdf(probability)
    return max(1, int(mean_ms * 1000 * math.exp(math.sqrt(variance) * z - variance / 2)))
