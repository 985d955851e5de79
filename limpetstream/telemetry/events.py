"""Declares numbered log events and keeps the catalogue of all of them.

Each package declares its events in its module ``events``, with numbers from
the hundred that is reserved for the package: records 100, membership 200,
snapshots 300, peers 400, desk 500, batch 600, accounts 700, settings 800,
admin 900, entry 1000, platform 1100, report 1200, border 1300, telemetry
1400, shard 1500, organisations 1600.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """A kind of log event.

    Args:
        number: Number, unique in the whole catalogue.
        name: Unique short name in lower case with hyphens.
        level: Log level: DEBUG, INFO, WARNING or ERROR.
        message: What has happened, in one sentence.
        action: What an operator should do.
    """

    number: int
    name: str
    level: str
    message: str
    action: str


event_by_number: dict[int, Event] = {}


def declare(number: int, name: str, level: str, message: str, action: str) -> Event:
    """Add an event to the catalogue and return it.

    Raises:
        ValueError: The number or the name is already declared.
    """
    if number in event_by_number:
        raise ValueError(f"event number {number} is declared twice")
    if any(event.name == name for event in event_by_number.values()):
        raise ValueError(f"event name {name} is declared twice")
    event = Event(number, name, level, message, action)
    event_by_number[number] = event
    return event


LIBRARY_WARNING = declare(
    1400,
    "library-warning",
    "WARNING",
    "A library has logged a warning or an error.",
    "Report the detail if the event repeats.",
)
