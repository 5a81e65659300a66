"""The max-min fair division of a total among claims."""

import collections.abc
import operator

_RATIO = operator.itemgetter(0)


def level(
    total: float,
    claims: collections.abc.Sequence[float],
    weights: collections.abc.Sequence[float] | None = None,
) -> float:
    """Returns the most that a claim of weight 1 gets, all served alike.

    A claim gets at most this times its weight. Claims below that are met
    whole; what they leave is divided among the others by weight.

    Args:
        total: What is divided.
        claims: What is wanted, at least one claim.
        weights: The weight of each claim; 1 each if not given.
    """
    if weights is None:
        weights = [1.0] * len(claims)
    ordered = sorted(
        (
            (claim / weight, claim, weight)
            for claim, weight in zip(claims, weights, strict=True)
        ),
        key=_RATIO,
    )
    left = float(total)
    left_weight = float(sum(weights))
    for ratio, claim, weight in ordered:
        even = left / left_weight
        if ratio >= even:
            return even
        left -= claim
        left_weight -= weight
    return float(ordered[-1][0])
