"""Two trees against each other: played in turn on the same draws, and how sure the difference is."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np
from msgspec import Struct

from garnetusher.model import draw

DRAWS = 10_000  # resamplings of the pairs
SURE = 0.95  # of the interval
FEWEST = 6  # pairs under which an interval says nothing: five differ the same way by chance once in sixteen times


class Difference(Struct):
    """One figure of B less that of A."""

    name: str
    a: float  # means
    b: float
    mean: float
    low: float
    high: float
    pairs: int

    @property
    def shown(self) -> bool:
        """Whether the interval lies on one side of nothing."""
        return self.pairs >= FEWEST and (self.low > 0 or self.high < 0)

    def __str__(self) -> str:
        if not self.shown:
            few = f", and fewer than {FEWEST} tell nothing" if self.pairs < FEWEST else ""
            return (
                f"{self.name}: no difference shown ({self.a:.4g} and {self.b:.4g}; between {self.low:+.4g} and "
                f"{self.high:+.4g} in {self.pairs} pairs{few})"
            )
        return (
            f"{self.name}: {self.a:.4g} and {self.b:.4g}, {self.mean:+.4g} (between {self.low:+.4g} and "
            f"{self.high:+.4g} in {self.pairs} pairs)"
        )


def difference(name: str, a: Sequence[float], b: Sequence[float]) -> Difference:
    """The mean difference of pairs with its interval, by a percentile bootstrap over the pairs (Efron, 1979)."""
    if len(a) != len(b) or not a:
        raise ValueError(f"expected as many plays of A as of B, and one at least, got {len(a)} and {len(b)}")
    each = np.array(b, dtype=float) - np.array(a, dtype=float)
    rng = draw.stream(1, "bootstrap", name)
    means = each[rng.integers(0, len(each), (DRAWS, len(each)))].mean(axis=1)
    low, high = np.percentile(means, [50 * (1 - SURE), 100 - 50 * (1 - SURE)])
    return Difference(
        name, float(np.mean(a)), float(np.mean(b)), float(each.mean()), float(low), float(high), len(each)
    )


def differences(a: Sequence[dict[str, float]], b: Sequence[dict[str, float]]) -> list[Difference]:
    """Of all figures that every play has and that ever differ."""
    names = set.intersection(*(set(figures) for figures in (*a, *b)))
    out = [difference(name, [f[name] for f in a], [f[name] for f in b]) for name in sorted(names)]
    return [d for d in out if d.a != d.b or d.low != d.high]
