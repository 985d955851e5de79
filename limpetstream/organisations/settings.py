"""Defines what the configuration says of an organisation."""

import dataclasses

from limpetstream import amounts


@dataclasses.dataclass(slots=True)
class Organisation:
    """An organisation that shares the deployment with others.

    Args:
        name: Name of the organisation.
        weight: Its share of a full service, relative to that of others.
        limit: Most that it may have running over all executors; 0 for a
            resource without a limit.
    """

    name: str
    weight: float = 1.0
    limit: amounts.Amount = amounts.ZERO
