"""Organisations that share the cluster of a run: their keys and limits."""

import asyncio
import random

from emulator import organisations
from limpetstream import amounts
from limpetstream.organisations import settings
from soak import _executors
from standins import keyed_store, organisation_limits, step_executors

STEADY, VARYING, FREE = "steady", "varying", "free"
# The short jobs of each of the first two use 7 cores on average, and a step of
# one job up to 24. Lasting jobs need a run by the users' rule, so that their
# organisation has no limit.
STEADY_LIMIT: amounts.Amount = (10_000, 0, 0)
VARYING_LIMITS: tuple[amounts.Amount, ...] = (
    (6000, 0, 0),
    (10_000, 0, 0),
    (16_000, 2000, 0),
)
MAX_ATTEMPTS = 4


class Organisations:
    """What the configuration says of organisations, and what has to hold.

    ``limits`` checks the starts. ``removed_at_by_key`` holds the loop time at
    which the store had acknowledged a configuration without a key, and
    ``present_key`` the key that the next configuration removes.

    Args:
        seed: Seed of all random decisions.
        breaches: What the executors run.
        size_by_spec: Millicores of a task and its seconds, by the job's id.
    """

    def __init__(
        self,
        seed: int,
        breaches: step_executors.Breaches,
        size_by_spec: dict[str, tuple[int, float]],
    ) -> None:
        self.choices = random.Random(f"organisations {seed}")
        self.limits = organisation_limits.LimitCheck(breaches, self._need_of)
        self.removed_at_by_key: dict[str, float] = {}
        self.present_key = ""
        self._size_by_spec = size_by_spec

    def configure(self, store: keyed_store.Store, version: int) -> None:
        """Write a configuration with another limit and another key."""
        limit_by_name = {
            STEADY: STEADY_LIMIT,
            VARYING: self.choices.choice(VARYING_LIMITS),
            FREE: amounts.ZERO,
        }
        former_key, self.present_key = self.present_key, f"changing-{version}"
        tenants = [
            organisations.Tenant(
                settings.Organisation(name, limit=limit), [_lasting_key(name)]
            )
            for name, limit in limit_by_name.items()
        ]
        tenants[-1].keys.append(self.present_key)
        organisations.configure(
            store, tenants, version=version, max_attempts=MAX_ATTEMPTS
        )
        self.limits.set_limits(limit_by_name)
        if former_key:
            now = asyncio.get_running_loop().time()
            self.removed_at_by_key[former_key] = now

    def headers_of(self, job_id: str) -> dict[str, str]:
        """Return the header with the key of a job's organisation."""
        name = self._organisation_of(job_id)
        self.limits.organisation_by_job[job_id] = name
        return organisations.headers(_lasting_key(name))

    def _organisation_of(self, job_id: str) -> str:
        _millicores, seconds = self._size_by_spec[job_id]
        digit = int(job_id[-1], 16)
        if not seconds or digit >= 6:
            return FREE
        return STEADY if digit < 3 else VARYING

    def _need_of(self, task: str) -> amounts.Amount:
        millicores, _seconds = self._size_by_spec[task.partition(".")[0]]
        return millicores, _executors.TASK_MEMORY_MB, 0


def _lasting_key(name: str) -> str:
    """Return the key that an organisation has all the time."""
    return f"key-of-{name}"
