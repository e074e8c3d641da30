"""Compares the figures of two source trees, A and B, in pairs of runs with the same random draws."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np
from msgspec import Struct

from garnetusher.model import draw

RESAMPLINGS = 10_000  # the number of bootstrap samples
CONFIDENCE = 0.95  # the confidence level of the interval
MIN_PAIRS = 6  # fewer are not enough: with five pairs, all differences have the same sign by chance once in 16 times


class Difference(Struct):
    """The difference of one figure between the runs of A and those of B, as B minus A.

    Attributes:
        name: The figure's name.
        a: The figure's mean over the runs of A.
        b: The figure's mean over the runs of B.
        mean: The mean of the pairs' differences.
        low: The lower end of the mean's confidence interval.
        high: The upper end of the mean's confidence interval.
        pairs: The number of pairs of runs.
    """

    name: str
    a: float
    b: float
    mean: float
    low: float
    high: float
    pairs: int

    @property
    def significant(self) -> bool:
        """Whether there are enough pairs and the interval excludes zero."""
        return self.pairs >= MIN_PAIRS and (self.low > 0 or self.high < 0)

    def __str__(self) -> str:
        interval = f"between {self.low:+.4g} and {self.high:+.4g} in {self.pairs} pairs"
        if self.significant:
            return f"{self.name}: {self.a:.4g} and {self.b:.4g}, {self.mean:+.4g} ({interval})"
        too_few = f", and fewer than {MIN_PAIRS} are not enough" if self.pairs < MIN_PAIRS else ""
        return f"{self.name}: no difference shown ({self.a:.4g} and {self.b:.4g}; {interval}{too_few})"


def difference(name: str, a: Sequence[float], b: Sequence[float]) -> Difference:
    """Return the mean difference of the pairs, with a percentile bootstrap interval over the pairs (Efron, 1979).

    Args:
        name: The figure's name, which also seeds the resampling.
        a: The figure in each run of A.
        b: The figure in each run of B, with the same draws as the run of A at the same index.

    Raises:
        ValueError: The runs do not form pairs, or there are none.
    """
    if len(a) != len(b) or not a:
        message = f"expected as many runs of A as of B, and at least one, got {len(a)} and {len(b)}"
        raise ValueError(message)
    pair_differences = np.array(b, dtype=float) - np.array(a, dtype=float)
    pairs = len(pair_differences)
    rng = draw.stream(1, "bootstrap", name)
    means = pair_differences[rng.integers(0, pairs, (RESAMPLINGS, pairs))].mean(axis=1)
    tail_percent = 50 * (1 - CONFIDENCE)
    low, high = np.percentile(means, [tail_percent, 100 - tail_percent])
    return Difference(
        name=name,
        a=float(np.mean(a)),
        b=float(np.mean(b)),
        mean=float(pair_differences.mean()),
        low=float(low),
        high=float(high),
        pairs=pairs,
    )


def differences(a: Sequence[dict[str, float]], b: Sequence[dict[str, float]]) -> list[Difference]:
    """Return the differences of all figures that every run has, except figures that are equal in all runs."""
    names = set.intersection(*(set(figures) for figures in (*a, *b)))
    found = [difference(name, [run[name] for run in a], [run[name] for run in b]) for name in sorted(names)]
    return [d for d in found if d.a != d.b or d.low != d.high]
