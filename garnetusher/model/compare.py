"""Two trees compared on the same draws: the difference of each figure, and how certain it is."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np
from msgspec import Struct

from garnetusher.model import draw

RESAMPLINGS = 10_000  # of the pairs
CONFIDENCE = 0.95  # of the interval
MIN_PAIRS = 6  # fewer prove nothing: five pairs differ the same way by chance once in sixteen times


class Difference(Struct):
    """One figure of B less that of A.

    Attributes:
        name: The figure's name.
        a: Its mean over the runs of A.
        b: Its mean over the runs of B.
        mean: The mean of the pairs' differences.
        low: The lower end of its confidence interval.
        high: The upper end.
        pairs: How many pairs of runs there were.
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
        """Whether the interval excludes zero, over enough pairs."""
        return self.pairs >= MIN_PAIRS and (self.low > 0 or self.high < 0)

    def __str__(self) -> str:
        interval = f"between {self.low:+.4g} and {self.high:+.4g} in {self.pairs} pairs"
        if self.significant:
            return f"{self.name}: {self.a:.4g} and {self.b:.4g}, {self.mean:+.4g} ({interval})"
        too_few = f", and fewer than {MIN_PAIRS} tell nothing" if self.pairs < MIN_PAIRS else ""
        return f"{self.name}: no difference shown ({self.a:.4g} and {self.b:.4g}; {interval}{too_few})"


def difference(name: str, a: Sequence[float], b: Sequence[float]) -> Difference:
    """Return the mean difference of pairs, with a percentile bootstrap interval over the pairs (Efron, 1979).

    Args:
        name: The figure's name, which seeds the resampling.
        a: The figure in each run of A.
        b: The figure in the run of B on the same draws.

    Raises:
        ValueError: The runs don't form pairs, or there are none.
    """
    if len(a) != len(b) or not a:
        message = f"expected as many plays of A as of B, and one at least, got {len(a)} and {len(b)}"
        raise ValueError(message)
    differences_of_pairs = np.array(b, dtype=float) - np.array(a, dtype=float)
    pairs = len(differences_of_pairs)
    rng = draw.stream(1, "bootstrap", name)
    means = differences_of_pairs[rng.integers(0, pairs, (RESAMPLINGS, pairs))].mean(axis=1)
    tail_percent = 50 * (1 - CONFIDENCE)
    low, high = np.percentile(means, [tail_percent, 100 - tail_percent])
    return Difference(
        name=name,
        a=float(np.mean(a)),
        b=float(np.mean(b)),
        mean=float(differences_of_pairs.mean()),
        low=float(low),
        high=float(high),
        pairs=pairs,
    )


def differences(a: Sequence[dict[str, float]], b: Sequence[dict[str, float]]) -> list[Difference]:
    """Return the differences of all figures that every run has, without those that never differ."""
    names = set.intersection(*(set(figures) for figures in (*a, *b)))
    found = [difference(name, [run[name] for run in a], [run[name] for run in b]) for name in sorted(names)]
    return [d for d in found if d.a != d.b or d.low != d.high]
