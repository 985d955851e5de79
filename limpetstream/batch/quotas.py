"""Quotas of teams: usage, limits, borrowing and fair-share order.

Every instance applies the same log and must reach the same usage. Amounts are
therefore integers: thousandths of a core, megabytes (1024 per GB) and
accelerators. Sums of floats would depend on the order of additions, so an
instance that loaded a snapshot could disagree with the others about a quota.
"""

import dataclasses
from typing import Any

from limpetstream import amounts

UNLIMITED = -1


@dataclasses.dataclass(slots=True)
class TeamLimit:
    """Limit of one team, from the settings tree.

    Args:
        quota: Quota of each resource, in the units of ``Amount``;
            ``UNLIMITED`` (-1) for a resource without a limit, which any
            negative setting means.
        borrow: Whether the team may exceed its quota by what others leave
            unused.
        weight: Weight of the team in the fair-share order.
    """

    quota: amounts.Amount
    borrow: bool
    weight: float


@dataclasses.dataclass(slots=True)
class Quotas:
    """Quota usage applied from the log, and limits from the settings tree.

    Args:
        tree: Settings tree; a team inherits values from its parent nodes.
        used_by_team: What the placed tasks of each team use.
        limit_by_team: Limits as of the last refresh.
        total_limit: Sum of the quotas of each resource, over the teams that
            have a limit on this resource.
        total_used: Usage of each resource, over the same teams.
        tree_version: Version of the tree as of the last refresh; None makes
            the next refresh read the limits and sum up the usage again.
    """

    tree: Any
    used_by_team: dict[str, amounts.Amount] = dataclasses.field(default_factory=dict)
    limit_by_team: dict[str, TeamLimit] = dataclasses.field(default_factory=dict)
    total_limit: amounts.Amount = amounts.ZERO
    total_used: list[int] = dataclasses.field(default_factory=lambda: [0, 0, 0])
    tree_version: int | None = None

    def refresh(self) -> None:
        """Read the limits and sum up the usage again if the tree changed."""
        if self.tree_version == self.tree.version:
            return
        self.limit_by_team = {}
        total = [0, 0, 0]
        for name in self.tree.names("team"):
            limit = _limit(self.tree.team(name))
            self.limit_by_team[name] = limit
            for resource in range(3):
                # ``UNLIMITED`` is negative and adds nothing.
                total[resource] += max(0, limit.quota[resource])
        self.total_limit = (total[0], total[1], total[2])
        self.tree_version = self.tree.version
        self._sum_used()

    def _sum_used(self) -> None:
        self.total_used = [0, 0, 0]
        for team, used in self.used_by_team.items():
            self._count(team, used, 1)

    def _count(self, team: str, used: amounts.Amount, sign: int) -> None:
        limit = self.limit_by_team.get(team)
        for resource in range(3):
            if limit is not None and limit.quota[resource] != UNLIMITED:
                self.total_used[resource] += sign * used[resource]

    def acquire(self, team: str, need: amounts.Amount) -> None:
        """Add a placed task to the usage of its team; checks no limit."""
        self.used_by_team[team] = amounts.add(
            self.used_by_team.get(team, amounts.ZERO), need
        )
        self._count(team, need, 1)

    def release(self, team: str, need: amounts.Amount) -> None:
        """Subtract a task that has ended from the usage of its team."""
        self.used_by_team[team] = amounts.subtract(self.used_by_team[team], need)
        self._count(team, need, -1)

    def within_own_quota(self, team: str, need: amounts.Amount) -> bool:
        """Return whether a task fits into the team's own quota."""
        self.refresh()
        limit = self.limit_by_team.get(team)
        used = self.used_by_team.get(team, amounts.ZERO)
        return limit is not None and not _exceeded_resources(limit, used, need)

    def denial_reason(self, team: str, need: amounts.Amount) -> str | None:
        """Return why the quota forbids a placement, or None if it allows it.

        A team may always use its own quota, even if others have borrowed so
        much that the sum of all quotas is then exceeded. A team that may
        borrow may also use what the sum of all quotas leaves unused.
        """
        self.refresh()
        limit = self.limit_by_team.get(team)
        if limit is None:
            return f"team {team!r} is not in the settings"
        exceeded = _exceeded_resources(
            limit, self.used_by_team.get(team, amounts.ZERO), need
        )
        if exceeded and not limit.borrow:
            return f"quota of team {team!r} is used up"
        for resource in exceeded:
            # This includes what is left of the team's own quota, so it is
            # compared with the whole need.
            unused = self.total_limit[resource] - self.total_used[resource]
            if need[resource] > unused:
                return f"quota of team {team!r} is used up and none can be borrowed"
        return None

    def impossible_reasons(self, team: str, need: amounts.Amount) -> list[str]:
        """Return why the present limits forbid a task even if nothing runs.

        The list is empty if they allow one task of this size.
        """
        self.refresh()
        limit = self.limit_by_team.get(team)
        if limit is None:
            return [f"team {team!r} is not in the settings"]
        reasons = []
        for resource in _exceeded_resources(limit, amounts.ZERO, need):
            maximum = self.total_limit if limit.borrow else limit.quota
            if need[resource] > maximum[resource]:
                name = ("cores", "memory", "accelerators")[resource]
                reasons.append(f"one task needs more {name} than the quota ever allows")
        return reasons

    def borrowed_share(self, team: str) -> float:
        """Return how much a team has borrowed, in relation to its weight.

        This is its usage beyond its own quota, as a share of the sum of all
        quotas and divided by the team's weight. The resource with the largest
        share counts; the result is 0 within the own quota.
        """
        self.refresh()
        limit = self.limit_by_team.get(team)
        if limit is None:
            return 0.0
        exceeded = _exceeded_resources(
            limit, self.used_by_team.get(team, amounts.ZERO), amounts.ZERO
        )
        used = self.used_by_team.get(team, amounts.ZERO)
        shares = [
            (used[resource] - limit.quota[resource])
            / max(1, self.total_limit[resource])
            for resource in exceeded
        ]
        return max(shares, default=0.0) / max(limit.weight, 1e-9)

    def fair_share_key(self, team: str, need: amounts.Amount) -> tuple[bool, float]:
        """Return the sort key of a pending task; the lowest is placed first.

        Tasks that fit into their team's own quota come before others. Within
        each of these two groups, the team comes first whose largest share of a
        resource, divided by its weight, is smallest. A share is the team's
        usage divided by the sum of all limited quotas of the resource. If no
        team has a limit on any resource, the number of cores in use takes the
        place of the share. A team that is not in the settings has no quota of
        its own and the weight 1e-9.
        """
        self.refresh()
        limit = self.limit_by_team.get(team)
        weight = max(limit.weight, 1e-9) if limit else 1e-9
        used = self.used_by_team.get(team, amounts.ZERO)
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
            amounts.amount(
                max(0.0, team.quota_cores),
                max(0.0, team.quota_memory_gb),
                max(0.0, team.quota_accelerators),
            ),
            strict=True,
        )
    )
    return TeamLimit(quota, team.borrow, team.weight)


def _exceeded_resources(
    limit: TeamLimit, used: amounts.Amount, need: amounts.Amount
) -> list[int]:
    return [
        resource
        for resource in range(3)
        if limit.quota[resource] != UNLIMITED
        and used[resource] + need[resource] > limit.quota[resource]
    ]
