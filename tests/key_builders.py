"""Builds an instance whose configuration names an organisation.

It runs on virtual time and reads a store in memory, without a network.
"""

import asyncio
import contextlib
import random

import msgspec

from adapter import callers, process as process_module, process_settings
from emulator import deployment
from limpetstream import clock as clock_module, errors
from limpetstream.platform import http
from limpetstream.workflow import messages
from standins import keyed_store, virtual_time
from tests import platform_builders

KEY = "key-of-north"
OTHER_KEY = "other-key-of-north"
JOB_PATH = f"{deployment.PREFIX}{platform_builders.JOB_ID}"
JOB = deployment.job_body(platform_builders.JOB_ID, [messages.Step(1)])
CALLS = (
    ("POST", JOB_PATH),
    ("GET", JOB_PATH),
    ("DELETE", JOB_PATH),
    ("GET", deployment.PREFIX),
)


class LossyClient(keyed_store.Client):
    """Client whose reads are answered late, or not at all.

    Attributes:
        random: Source of the random decisions.
        lost_share: Share of the reads without an answer.
        late_s: Time by which an answer is late, after the wait of its read.
    """

    def __init__(self, store):
        super().__init__(store)
        self.random = random.Random(0)
        self.lost_share = 0.0
        self.late_s = 0.0

    async def read(self, *place, wait_s, timeout_s):
        """Read records from the store, or fail at the time limit."""
        loop = asyncio.get_running_loop()
        limit_at = loop.time() + timeout_s
        is_lost = self.random.random() < self.lost_share
        page = await super().read(*place, wait_s=wait_s, timeout_s=timeout_s)
        if is_lost or loop.time() + self.late_s > limit_at:
            await asyncio.sleep(limit_at - loop.time())
            raise errors.PlatformUnavailable("no answer in time")
        await asyncio.sleep(self.late_s)
        return page


class Scene:
    """An instance and its store.

    Attributes:
        loop: Event loop, whose time is virtual.
        client: Client of the store, whose faults can be changed.
        jobs: Operations that the instance offers.
        bodies: Bodies of all answers to callers.
        process: The instance.
    """

    def __init__(self, loop, *, is_strict=True, rate=1.0):
        self.loop = loop
        self._store = keyed_store.Store()
        self.client = LossyClient(self._store)
        self.bodies = []
        self.jobs = platform_builders.FakeJobApi()
        raw = deployment.settings_file(
            name="m-1",
            ip="127.0.0.1",
            data_centre="a",
            store_address="127.0.0.1:1",
            strict_revocation=is_strict,
        )
        clock = virtual_time.make_clock(loop, rate=rate)
        client = http.Client(base_url="", clock=clock_module.Clock())
        settings = msgspec.json.decode(raw, type=process_settings.ProcessSettings)
        self.process = process_module.Process(settings, client, client, clock)
        self.process.store = self.client
        self.process._callers = callers.CallerApi(
            self.jobs, self.process.view, clock, None, self.process.admissions
        )
        self._http_client = client
        self._version = 0

    @contextlib.asynccontextmanager
    async def running(self):
        """Follow the configuration while the context is open."""
        following = asyncio.create_task(
            process_module._follow_operator(self.process, self.process._clock)
        )
        try:
            await asyncio.sleep(0.1)
            yield
        finally:
            following.cancel()
            self._http_client.close()

    def configure(self, *keys, **options):
        """Write a configuration with these keys; without keys, one of none."""
        self._version += 1
        organisations = [deployment.Organisation("north", keys)] if keys else []
        deployment.configure(
            self._store,
            version=self._version,
            max_attempts=4,
            organisations=organisations,
            **options,
        )

    def set_faults(self, **value_by_fault):
        """Make these the only faults of the client."""
        self.client.faults = keyed_store.Faults(**value_by_fault)

    async def status(self, authorization=f"Bearer {KEY}", call=CALLS[0]):
        """Return the status that a caller gets; no header for None."""
        request = platform_builders.request(*call, JOB, host=deployment.HOST)
        if authorization is not None:
            request.headers["Authorization"] = authorization
        response = await self.process.answer_caller(request)
        self.bodies.append(response.body)
        return response.status

    async def readiness(self):
        """Return the status of the readiness check."""
        return (await self.process.answer_readiness(None)).status


def run(scenario, **options):
    """Run a scenario, a coroutine function that gets a running scene."""
    loop = virtual_time.Loop()

    async def run_scene():
        scene = Scene(loop, **options)
        async with scene.running():
            return await scenario(scene)

    return virtual_time.run(run_scene(), loop=loop)
