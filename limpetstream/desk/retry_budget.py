"""Budget of resends, so that failures do not multiply the load."""

import dataclasses

RETRY_RATIO = 0.1
# Resends that may come at once after a quiet time, when an executor dies.
BALANCE_MAX = 10.0
# Refusals leave this much of the budget to requests that failed: in an
# overload another holder rarely has room.
FAILURE_RESERVE = 5.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Allows resends for a share of the requests.

    Args:
        retry_ratio: Resends per request.
        balance_max: Largest saved-up budget. A new instance starts with none,
            so that restarts add no resends.
        balance: Resends that may be made now.
        withdrawn: Resends that were made.
    """

    retry_ratio: float = RETRY_RATIO
    balance_max: float = BALANCE_MAX
    balance: float = 0.0
    withdrawn: int = 0

    def deposit(self) -> None:
        """Count one request."""
        self.balance = min(self.balance_max, self.balance + self.retry_ratio)

    def withdraw(self, *, reserve: float = 0.0) -> bool:
        """Take one resend out of the budget; False when it is used up.

        Args:
            reserve: Resends that must be left for others.
        """
        if self.balance < 1.0 + reserve:
            return False
        self.balance -= 1.0
        self.withdrawn += 1
        return True
