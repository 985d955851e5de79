"""Sends requests with keys that are not valid, or not any more."""

import asyncio
import collections

from emulator import deployment, organisations
from limpetstream.workflow import messages
from soak import _callers, _cluster, _executors, _organisations

PROBE_INTERVAL_S = 0.15
UNKNOWN_SHARE = 0.3  # Of the probes; the others have keys of configurations.
RECENT_KEYS = 3  # Older ones are refused like unknown keys.
CONFIGURATION_INTERVAL_S = (2.0, 7.0)


class Probes:
    """Requests of one run that must not succeed.

    ``count_by_answer`` counts the answers by kind of key and status, and
    ``unknown_key_jobs`` holds the jobs that were submitted with unknown keys.

    Args:
        cluster: Cluster that is called.
        callers: Callers whose jobs are asked for.
        shared: Organisations of the cluster.
    """

    def __init__(
        self,
        cluster: _cluster.Cluster,
        callers: _callers.Callers,
        shared: _organisations.Organisations,
    ) -> None:
        self.count_by_answer: collections.Counter[str] = collections.Counter()
        self.unknown_key_jobs: set[str] = set()
        self._cluster = cluster
        self._callers = callers
        self._shared = shared

    async def run(self, seconds: float) -> None:
        """Send probes and change the configuration for some seconds."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        choices = self._shared.choices
        configured_at = loop.time()
        async with asyncio.TaskGroup() as calls:
            while loop.time() < ends_at:
                calls.create_task(self._probe())
                if loop.time() > configured_at:
                    self._cluster.configure()
                    pause_s = choices.uniform(*CONFIGURATION_INTERVAL_S)
                    configured_at = loop.time() + pause_s
                await asyncio.sleep(PROBE_INTERVAL_S)

    def check_jobs(self) -> None:
        """Add a finding for each job of an unknown key that has run."""
        for job_id in sorted(
            self.unknown_key_jobs & self._cluster.breaches.started_jobs
        ):
            self._cluster.findings.append(f"KEY: {job_id} of an unknown key has run")

    async def _probe(self) -> None:
        choices = self._shared.choices
        removed = list(self._shared.removed_at_by_key)[-RECENT_KEYS:]
        is_unknown = choices.random() < UNKNOWN_SHARE
        key = choices.choice([*removed, self._shared.present_key])
        if is_unknown:
            key = f"unknown-{choices.getrandbits(32):08x}"
        method, path, body = self._draw_request(is_unknown=is_unknown)
        instance = choices.choice(list(self._cluster.instance_by_name.values()))
        sent_at = asyncio.get_running_loop().time()
        answer = await self._cluster.client.call(
            method,
            instance.caller_link.port,
            deployment.PREFIX + path,
            body,
            headers={
                **deployment.headers(_callers.DEADLINE_MS),
                **organisations.headers(key),
            },
            timeout_s=_callers.TIMEOUT_S,
        )
        kind = "unknown" if is_unknown else "removed" if key in removed else "present"
        self.count_by_answer[f"{kind} {answer.status}"] += 1
        removed_at = self._shared.removed_at_by_key.get(key, sent_at)
        is_late = sent_at > removed_at + organisations.REVOKE_S
        if 200 <= answer.status < 300 and (is_unknown or is_late):
            self._cluster.findings.append(
                f"KEY: {method} with a key that is {kind} had status "
                f"{answer.status} at {instance.name}, "
                f"{sent_at - removed_at:.1f} s after its removal"
            )

    def _draw_request(self, *, is_unknown: bool) -> tuple[str, str, bytes | None]:
        """Return method, path and body of a call that needs a key."""
        choices = self._shared.choices
        accepted = [job for job in self._callers.job_by_id.values() if job.accepted]
        kind = choices.choice(["count", "state", "submit"])
        if kind == "submit":
            job_id = f"{choices.getrandbits(64):016x}"
            self._cluster.size_by_spec[job_id] = (500, 0.1)
            if is_unknown:
                self.unknown_key_jobs.add(job_id)
            step = messages.Step(
                1, cpu_millicores=500, memory_mb=_executors.TASK_MEMORY_MB
            )
            return "POST", job_id, deployment.job_body(job_id, [step])
        if kind == "state" and accepted:
            return "GET", choices.choice(accepted).job_id, None
        return "GET", "", None
