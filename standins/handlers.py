"""Handles the HTTP calls of the platform stand-in.

``docs/PLATFORM.md`` lists the calls.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from tornado import httputil, web

from limpetstream import errors
from limpetstream.platform import messages
from standins import faults, fleet, simulation

Call = Callable[..., Awaitable[Any]]


class _AppendRequest(msgspec.Struct):
    records: list[str]


class _Leases(msgspec.Struct):
    leases: list[messages.Lease]


class _AttemptChange(msgspec.Struct):
    attempt: str
    share: float = 1.0


class _Instances(msgspec.Struct):
    instances: list[messages.Instance] = []
    remove: list[str] = []


class _Samples(msgspec.Struct):
    samples: list[messages.Sample]


class _DataCentre(msgspec.Struct):
    out: bool


def _decode(request: httputil.HTTPServerRequest, body_type: Any) -> Any:
    return msgspec.json.decode(request.body, type=body_type)


def _whole_number(
    request: httputil.HTTPServerRequest, name: str, default: int | None = None
) -> int:
    values = request.query_arguments.get(name)
    if not values and default is not None:
        return default
    if not values or not values[-1].isdigit():
        raise faults.BadCall(f"query argument {name} must be a whole number")
    return int(values[-1])


def _decode_starts(request: httputil.HTTPServerRequest) -> list[messages.Start]:
    starts = _decode(request, dict[str, list[dict[str, Any]]]).get("starts", [])
    for start in starts:
        start["work_class"] = start.pop("class", "")
    return msgspec.convert(starts, list[messages.Start])


async def _append(
    platform: simulation.Platform, request: httputil.HTTPServerRequest, stream: str
) -> Any:
    records = _decode(request, _AppendRequest).records
    return messages.Appended(await platform.append(stream, records))


async def _read(
    platform: simulation.Platform, request: httputil.HTTPServerRequest, stream: str
) -> Any:
    return await platform.read(
        stream,
        _whole_number(request, "from"),
        max_frames=_whole_number(request, "max", 500),
        wait_ms=_whole_number(request, "wait_ms", 0),
    )


async def _list(
    platform: simulation.Platform, request: httputil.HTTPServerRequest
) -> Any:
    known = request.query_arguments.get("known", [b""])[-1].decode()
    return await platform.read_instances(known)


async def _register(
    platform: simulation.Platform, request: httputil.HTTPServerRequest
) -> Any:
    change = _decode(request, _Instances)
    platform.put_instances(change.instances)
    platform.remove_instances(change.remove)
    return {}


async def _usage(
    platform: simulation.Platform, request: httputil.HTTPServerRequest
) -> Any:
    return await platform.read_usage(_whole_number(request, "since", 0))


async def _add_usage(
    platform: simulation.Platform, request: httputil.HTTPServerRequest
) -> Any:
    for sample in _decode(request, _Samples).samples:
        platform.usage.add(sample)
    return {}


async def _status(
    platform: simulation.Platform, request: httputil.HTTPServerRequest, worker: str
) -> Any:
    return await platform.call_worker(
        "status", worker, lambda now: platform.fleet.status(worker, now)
    )


async def _change_attempts(
    platform: simulation.Platform,
    request: httputil.HTTPServerRequest,
    worker: str,
    name: str,
) -> Any:
    platform_fleet = platform.fleet
    if name == "start":
        starts = _decode_starts(request)
        return await platform.call_worker(
            name, worker, lambda now: platform_fleet.start(worker, starts, now)
        )
    if name == "renew":
        leases = _decode(request, _Leases).leases
        return await platform.call_worker(
            name, worker, lambda now: platform_fleet.renew(worker, leases, now)
        )
    change = _decode(request, _AttemptChange)
    effect_by_name: dict[str, Callable[[float], Any]] = {
        "throttle": lambda now: platform_fleet.throttle(
            worker, change.attempt, change.share, now
        ),
        "checkpoint": lambda now: platform_fleet.checkpoint(
            worker, change.attempt, now
        ),
        "stop": lambda now: platform_fleet.stop(worker, change.attempt, now),
    }
    return await platform.call_worker(name, worker, effect_by_name[name])


async def _set_faults(
    platform: simulation.Platform, request: httputil.HTTPServerRequest
) -> Any:
    platform.set_faults(**_decode(request, dict[str, Any]))
    return platform.faults


async def _faults(
    platform: simulation.Platform, request: httputil.HTTPServerRequest
) -> Any:
    return platform.faults


async def _breaches(
    platform: simulation.Platform, request: httputil.HTTPServerRequest
) -> Any:
    platform.fleet.advance_all(platform.clock.monotonic())
    return platform.breaches.to_wire()


async def _totals(
    platform: simulation.Platform, request: httputil.HTTPServerRequest
) -> Any:
    platform.fleet.advance_all(platform.clock.monotonic())
    log = {"appends": platform.log.appends, "reads": platform.log.reads}
    return {**platform.fleet.totals, **log}


async def _tasks(
    platform: simulation.Platform, request: httputil.HTTPServerRequest
) -> Any:
    platform.fleet.advance_all(platform.clock.monotonic())
    return platform.fleet.tasks()


async def _pressure(
    platform: simulation.Platform, request: httputil.HTTPServerRequest
) -> Any:
    return platform.desk_slowdowns()


async def _set_data_centre(
    platform: simulation.Platform, request: httputil.HTTPServerRequest, name: str
) -> Any:
    platform.set_data_centre(name, out=_decode(request, _DataCentre).out)
    return {}


CALLS_BY_PATH: list[tuple[str, dict[str, Call]]] = [
    (r"/log/([^/]+)/append", {"POST": _append}),
    (r"/log/([^/]+)/read", {"GET": _read}),
    (r"/instances", {"GET": _list, "POST": _register}),
    (r"/workers/([^/]+)", {"GET": _status}),
    (
        r"/workers/([^/]+)/(start|renew|throttle|checkpoint|stop)",
        {"POST": _change_attempts},
    ),
    (r"/usage", {"GET": _usage, "POST": _add_usage}),
    (r"/faults", {"GET": _faults, "POST": _set_faults}),
    (r"/breaches", {"GET": _breaches}),
    (r"/totals", {"GET": _totals}),
    (r"/tasks", {"GET": _tasks}),
    (r"/pressure", {"GET": _pressure}),
    (r"/data-centres/([^/]+)", {"POST": _set_data_centre}),
]


class Handler(web.RequestHandler):
    """Executes one call, also when its client disconnects meanwhile."""

    def initialize(
        self, platform: simulation.Platform, call_by_method: dict[str, Call]
    ) -> None:
        """Store the platform and the calls of one path, by HTTP method."""
        self._platform = platform
        self._call_by_method = call_by_method

    async def get(self, *parts: str) -> None:
        """Execute the GET call of the path."""
        await self._execute_call(parts)

    async def post(self, *parts: str) -> None:
        """Execute the POST call of the path."""
        await self._execute_call(parts)

    async def _execute_call(self, parts: tuple[str, ...]) -> None:
        call = self._call_by_method.get(self.request.method or "")
        if call is None:
            self._answer(405, {"detail": "method not allowed"})
            return
        try:
            self._answer(200, await call(self._platform, self.request, *parts))
        except faults.AnswerLost:
            self.detach().close()
        except errors.OffsetExpired as error:
            self._answer(410, {"first": error.first})
        except fleet.UnknownWorker as error:
            self._answer(404, {"detail": str(error)})
        except errors.PlatformUnavailable as error:
            self._answer(503, {"detail": str(error)})
        except (faults.BadCall, msgspec.DecodeError) as error:
            self._answer(400, {"detail": str(error)})

    def _answer(self, status: int, value: Any) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))


def application(platform: simulation.Platform) -> web.Application:
    """Return the web application that serves a platform."""
    return web.Application(
        [
            (path, Handler, {"platform": platform, "call_by_method": call_by_method})
            for path, call_by_method in CALLS_BY_PATH
        ],
        log_function=lambda handler: None,
    )
