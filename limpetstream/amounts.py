"""Amounts of resources: thousandths of a core, megabytes and accelerators.

Amounts are integers. Sums of floats would depend on the order of additions.
"""

Amount = tuple[int, int, int]
"""Thousandths of a core, megabytes and accelerators."""

ZERO: Amount = (0, 0, 0)


def amount(cores: float, memory_gb: float, accelerators: float) -> Amount:
    """Return a size in the integer units of ``Amount``, rounded up.

    Rounding up keeps a need from being understated; quotas are rounded up too.
    A value within 1e-6 of an integer counts as that integer.

    >>> amount(0.5, 1.25, 1)
    (500, 1280, 1)
    """
    return (_ceil(cores * 1000), _ceil(memory_gb * 1024), _ceil(accelerators))


def _ceil(value: float) -> int:
    # Correct for values that are not negative.
    rounded = round(value)
    return rounded if abs(value - rounded) < 1e-6 else int(value) + 1


def add(left: Amount, right: Amount) -> Amount:
    """Return the sum of two amounts."""
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2])


def subtract(left: Amount, right: Amount) -> Amount:
    """Return the difference of two amounts, which may be negative."""
    return (left[0] - right[0], left[1] - right[1], left[2] - right[2])


def fits(need: Amount, available: Amount) -> bool:
    """Return whether ``need`` is at most ``available`` in every dimension."""
    return (
        need[0] <= available[0] and need[1] <= available[1] and need[2] <= available[2]
    )
