"""Command line ``limpetstream-entry``: runs one entry instance.

Exit statuses: 0 after a planned stop, 1 if the instance could not start, 2 if
its settings have findings.
"""

import asyncio
import pathlib
import sys

import fire

from limpetstream import errors
from limpetstream.entry import events, process
from limpetstream.settings import files, findings
from limpetstream.telemetry import logs

EXIT_FAILED = 1
EXIT_FINDINGS = 2


def entry(settings: str) -> None:
    """Run an entry instance until SIGTERM.

    Args:
        settings: Settings file of the instance, JSON with comments.
    """
    try:
        loaded = files.read_instance(pathlib.Path(settings))
    except OSError as error:
        print(f"{settings}: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    except ExceptionGroup as group:
        print(
            "\n".join(findings.format_lines(findings.flatten(group))), file=sys.stderr
        )
        sys.exit(EXIT_FINDINGS)
    logs.configure(instance=loaded.id, level=loaded.log_level)
    try:
        asyncio.run(process.run(loaded))
    except (OSError, errors.LimpetstreamError) as error:
        logs.emit(events.START_FAILED, error=str(error))
        sys.exit(EXIT_FAILED)


def main() -> None:
    """Run the command line."""
    fire.Fire(entry, name="limpetstream-entry")


if __name__ == "__main__":
    main()
