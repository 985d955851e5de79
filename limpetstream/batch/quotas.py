"""Quotas of teams: own shares, borrowing, fair order and regions apart.

Amounts are whole thousandths of a core, whole megabytes and accelerators.
Sums of floats would depend on the order of additions, and an instance that
read a snapshot could then disagree with the others about a quota.
"""

import dataclasses
from typing import Any

Amount = tuple[int, int, int]

ZERO: Amount = (0, 0, 0)
UNLIMITED = -1


def amount(cores: float, memory_gb: float, accelerators: float) -> Amount:
    """Return sizes in whole units, rounded up so that none is understated.

    >>> amount(0.5, 1.25, 1)
    (500, 1280, 1)
    """
    return (_up(cores * 1000), _up(memory_gb * 1024), _up(accelerators))


def _up(value: float) -> int:
    rounded = round(value)
    return rounded if abs(value - rounded) < 1e-6 else int(value) + 1


def add(left: Amount, right: Amount) -> Amount:
    """Return the sum of two amounts."""
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2])


def subtract(left: Amount, right: Amount) -> Amount:
    """Return the difference of two amounts."""
    return (left[0] - right[0], left[1] - right[1], left[2] - right[2])


def fits(need: Amount, room: Amount) -> bool:
    """Tell whether ``need`` fits into ``room`` in every dimension."""
    return need[0] <= room[0] and need[1] <= room[1] and need[2] <= room[2]


@dataclasses.dataclass(slots=True)
class TeamLimit:
    """Quota of one team in whole units; -1 means no limit of its own."""

    quota: Amount
    borrow: bool
    weight: float


@dataclasses.dataclass(slots=True)
class Quotas:
    """Use of quotas, folded from the log, against limits from the tree.

    Args:
        tree: Settings tree; teams inherit their values there.
        used_by_team: What placed tasks of each team use.
    """

    tree: Any
    used_by_team: dict[str, Amount] = dataclasses.field(default_factory=dict)
    limit_by_team: dict[str, TeamLimit] = dataclasses.field(default_factory=dict)
    total_limit: Amount = ZERO
    total_used: list[int] = dataclasses.field(default_factory=lambda: [0, 0, 0])
    tree_version: int | None = None

    def refresh(self) -> None:
        """Read all limits again if the tree has changed."""
        if self.tree_version == self.tree.version:
            return
        self.limit_by_team = {}
        total = [0, 0, 0]
        for name in self.tree.names("team"):
            limit = _limit(self.tree.team(name))
            self.limit_by_team[name] = limit
            for resource in range(3):
                total[resource] += max(0, limit.quota[resource])
        self.total_limit = (total[0], total[1], total[2])
        self.tree_version = self.tree.version
        self._sum_used()

    def _sum_used(self) -> None:
        self.total_used = [0, 0, 0]
        for team, used in self.used_by_team.items():
            self._count(team, used, 1)

    def _count(self, team: str, used: Amount, sign: int) -> None:
        limit = self.limit_by_team.get(team)
        for resource in range(3):
            if limit is not None and limit.quota[resource] != UNLIMITED:
                self.total_used[resource] += sign * used[resource]

    def acquire(self, team: str, need: Amount) -> None:
        """Count a placed task."""
        self.used_by_team[team] = add(self.used_by_team.get(team, ZERO), need)
        self._count(team, need, 1)

    def release(self, team: str, need: Amount) -> None:
        """Count a task that has ended."""
        self.used_by_team[team] = subtract(self.used_by_team[team], need)
        self._count(team, need, -1)

    def within_own_quota(self, team: str, need: Amount) -> bool:
        """Tell whether a task fits into the team's own quota."""
        self.refresh()
        limit = self.limit_by_team.get(team)
        used = self.used_by_team.get(team, ZERO)
        return limit is not None and not _exceeded(limit, used, need)

    def denial_reason(self, team: str, need: Amount) -> str | None:
        """Tell why the quota forbids a placement, or None if it does not.

        A team always gets its own quota. Beyond it, a team that may borrow
        gets what the sum of all quotas leaves unused.
        """
        self.refresh()
        limit = self.limit_by_team.get(team)
        if limit is None:
            return f"team {team!r} is not in the settings"
        over = _exceeded(limit, self.used_by_team.get(team, ZERO), need)
        if over and not limit.borrow:
            return f"quota of team {team!r} is used up"
        for resource in over:
            left = self.total_limit[resource] - self.total_used[resource]
            if need[resource] > left:
                return f"quota of team {team!r} is used up and none can be borrowed"
        return None

    def impossible_reasons(self, team: str, need: Amount) -> list[str]:
        """Tell why no quota could ever allow one task of this size."""
        self.refresh()
        limit = self.limit_by_team.get(team)
        if limit is None:
            return [f"team {team!r} is not in the settings"]
        reasons = []
        for resource in _exceeded(limit, ZERO, need):
            most = self.total_limit if limit.borrow else limit.quota
            if need[resource] > most[resource]:
                name = ("cores", "memory", "accelerators")[resource]
                reasons.append(f"one task needs more {name} than the quota ever allows")
        return reasons

    def borrowed_share(self, team: str) -> float:
        """Return the borrowed share of all quotas, divided by the weight."""
        self.refresh()
        limit = self.limit_by_team.get(team)
        if limit is None:
            return 0.0
        over = _exceeded(limit, self.used_by_team.get(team, ZERO), ZERO)
        used = self.used_by_team.get(team, ZERO)
        shares = [
            (used[resource] - limit.quota[resource])
            / max(1, self.total_limit[resource])
            for resource in over
        ]
        return max(shares, default=0.0) / max(limit.weight, 1e-9)

    def fair_share_key(self, team: str, need: Amount) -> tuple[bool, float]:
        """Order of teams that wait: own quota first, then weighted share."""
        self.refresh()
        limit = self.limit_by_team.get(team)
        weight = max(limit.weight, 1e-9) if limit else 1e-9
        used = self.used_by_team.get(team, ZERO)
        share = (
            max(
                (used[resource] / self.total_limit[resource])
                for resource in range(3)
                if self.total_limit[resource] > 0
            )
            if any(self.total_limit)
            else used[0] / 1000
        )
        return (not self.within_own_quota(team, need), share / weight)


def _limit(team: Any) -> TeamLimit:
    quota = tuple(
        UNLIMITED if value < 0 else scaled
        for value, scaled in zip(
            (team.quota_cores, team.quota_memory_gb, team.quota_accelerators),
            amount(
                max(0.0, team.quota_cores),
                max(0.0, team.quota_memory_gb),
                max(0.0, team.quota_accelerators),
            ),
            strict=True,
        )
    )
    return TeamLimit(quota, team.borrow, team.weight)


def _exceeded(limit: TeamLimit, used: Amount, need: Amount) -> list[int]:
    return [
        resource
        for resource in range(3)
        if limit.quota[resource] != UNLIMITED
        and used[resource] + need[resource] > limit.quota[resource]
    ]
