"""Retry budget, which keeps retries from multiplying the load of a failure."""

import dataclasses

# Retries that one request adds to the budget.
RETRY_RATIO = 0.1
# Retries that may be made at once when an executor dies after a time without
# failures.
MAX_BALANCE = 10.0
# A retry after a refusal leaves this many retries in the budget, for requests
# that failed: in an overload another holder rarely has free slots.
FAILURE_RESERVE = 5.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Allows retries in proportion to the requests.

    Args:
        retry_ratio: Retries per request.
        max_balance: Largest balance. A new instance starts with a balance of
            zero, so that restarts add no retries.
        balance: Retries that may be made now.
        withdrawn: Number of retries that were made.
    """

    retry_ratio: float = RETRY_RATIO
    max_balance: float = MAX_BALANCE
    balance: float = 0.0
    withdrawn: int = 0

    def deposit(self) -> None:
        """Add the retries that one request allows to the balance."""
        self.balance = min(self.max_balance, self.balance + self.retry_ratio)

    def withdraw(self, *, reserve: float = 0.0) -> bool:
        """Take one retry out of the balance.

        Args:
            reserve: Retries that must remain in the balance.

        Returns:
            Whether the balance allowed the retry.
        """
        if self.balance < 1.0 + reserve:
            return False
        self.balance -= 1.0
        self.withdrawn += 1
        return True
