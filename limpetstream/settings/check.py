"""Program ``limpetstream-check``: prints all findings in settings files."""

import pathlib
import sys

import fire
from fire import decorators

from limpetstream.settings import files, findings

EXIT_CLEAN, EXIT_UNREADABLE, EXIT_FINDINGS = 0, 1, 2


def check(paths: list[pathlib.Path]) -> tuple[int, list[str]]:
    """Check settings files, and instance files against the settings tree.

    Args:
        paths: Files; the data centre of an instance is checked only if
            exactly one of them is a settings tree.

    Returns:
        The exit status, and one line of text per finding.
    """
    parsed: list[files.SettingsFile] = []
    found: list[BaseException] = []
    unreadable: list[str] = []
    for path in paths:
        try:
            parsed.append(files.parse(path.read_bytes(), str(path)))
        except OSError as error:
            unreadable.append(f"{path}:0: : cannot be read: {error.strerror}")
        except ExceptionGroup as group:
            found += findings.flatten(group)
    trees = [each.node_by_path for each in parsed if each.node_by_path is not None]
    for each in parsed:
        if len(trees) == 1:
            files.check_data_centre(each, trees[0])
        try:
            each.collector.raise_all()
        except ExceptionGroup as group:
            found += findings.flatten(group)
    status = EXIT_UNREADABLE if unreadable else EXIT_FINDINGS if found else EXIT_CLEAN
    return status, unreadable + findings.format_lines(found)


@decorators.SetParseFn(str)
def command(*paths: str) -> None:
    """Check settings files; exit 0 if clean, 2 with findings, 1 if unreadable.

    Args:
        paths: Settings trees and instance files, in JSON with comments.
    """
    if not paths:
        print("usage: limpetstream-check FILE...", file=sys.stderr)
        sys.exit(EXIT_UNREADABLE)
    status, lines = check([pathlib.Path(path) for path in paths])
    for line in lines:
        print(line)
    sys.exit(status)


def main() -> None:
    """Run the program."""
    fire.Fire(command, name="limpetstream-check")


if __name__ == "__main__":
    main()
