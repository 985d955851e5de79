"""Collects findings in settings with file, line and key path."""

import dataclasses
from collections.abc import Iterable

from limpetstream import errors

KeyPath = tuple[str | int, ...]


def format_key_path(key_path: KeyPath) -> str:
    """Return a key path as dotted text.

    >>> format_key_path(("children", "teams", 0))
    'children.teams.0'
    """
    return ".".join(str(part) for part in key_path)


@dataclasses.dataclass(slots=True)
class FindingCollector:
    """Collects the findings of one file.

    Args:
        file: Name of the file.
        line_by_path: Line of each value, by key path.
        collected: Findings so far.
    """

    file: str
    line_by_path: dict[KeyPath, int] = dataclasses.field(default_factory=dict)
    collected: list[errors.SettingsError] = dataclasses.field(default_factory=list)

    def add(self, message: str, key_path: KeyPath = (), *, line: int = 0) -> None:
        """Add a finding.

        Args:
            message: What is wrong, and what was expected.
            key_path: Keys and indexes from the root to the value.
            line: Line of the finding; by default, that of the value or of its
                nearest ancestor.
        """
        self.collected.append(
            errors.SettingsError(
                message,
                file=self.file,
                line=line or self._find_line(key_path),
                key_path=format_key_path(key_path),
            )
        )

    def _find_line(self, key_path: KeyPath) -> int:
        for length in range(len(key_path), -1, -1):
            line = self.line_by_path.get(key_path[:length])
            if line:
                return line
        return 0

    def raise_all(self) -> None:
        """Raise all findings, if there are any.

        Raises:
            ExceptionGroup: All findings, sorted by line.
        """
        if self.collected:
            self.collected.sort(key=lambda each: (each.line, each.key_path))
            raise ExceptionGroup(f"findings in {self.file}", self.collected)


def flatten(group: BaseExceptionGroup) -> list[BaseException]:
    """Return the errors of an exception group and of its nested groups."""
    found: list[BaseException] = []
    for each in group.exceptions:
        found += flatten(each) if isinstance(each, BaseExceptionGroup) else [each]
    return found


def format_lines(found: Iterable[BaseException]) -> list[str]:
    """Return one line of text per finding: place, key path and message.

    >>> error = errors.SettingsError("wrong", file="a", line=2, key_path="b")
    >>> format_lines([error])
    ['a:2: b: wrong']
    """
    return [" ".join(str(each).split()) for each in found]
