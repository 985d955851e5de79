"""Formats plain values as text tables for command lines."""

import datetime
import json
from collections.abc import Iterable
from typing import Any

# Keys whose milliseconds are a point in time, not a duration.
TIMESTAMP_KEYS = frozenset({"at_ms", "received_ms"})
MAX_TIMESTAMP_MS = 253_402_300_799_000  # End of the year 9999.
MAX_LIST_ITEMS = 4


def format_cell(value: Any) -> str:
    """Format one value for a table cell.

    >>> [format_cell(value) for value in (None, True, [1, 2], 1.25)]
    ['-', 'yes', '1,2', '1.25']
    """
    if value is None or value in ("", [], {}):
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(format_cell(each) for each in value)
    if isinstance(value, dict):
        return json.dumps(value, sort_keys=True)
    return str(value)


def format_value(key: str, value: Any) -> str:
    """Format one value; times are shown in UTC and long lists shortened.

    >>> format_value("at_ms", 0), format_value("timeout_ms", 900)
    ('1970-01-01 00:00:00Z', '900')
    """
    if key in TIMESTAMP_KEYS and isinstance(value, int) and value <= MAX_TIMESTAMP_MS:
        timestamp = datetime.datetime.fromtimestamp(value / 1000, datetime.UTC)
        return timestamp.strftime("%Y-%m-%d %H:%M:%SZ")
    if isinstance(value, list) and len(value) > MAX_LIST_ITEMS:
        omitted = len(value) - MAX_LIST_ITEMS
        return f"{format_cell(value[:MAX_LIST_ITEMS])} and {omitted} more"
    return format_cell(value)


def render(rows: Iterable[dict[str, Any]]) -> str:
    """Format rows as an aligned table with the columns of the first row.

    >>> print(render([{"id": "a", "slots": 8}, {"id": "bcd", "slots": 10}]))
    id   slots
    a    8
    bcd  10
    """
    all_rows = list(rows)
    if not all_rows:
        return "(none)"
    columns = list(all_rows[0])
    lines = [columns] + [
        [format_value(key, row.get(key)) for key in columns] for row in all_rows
    ]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    return "\n".join(
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def render_any(value: Any) -> str:
    """Format any reply of the API as text."""
    if isinstance(value, list) and all(isinstance(row, dict) for row in value):
        return render(value)
    if isinstance(value, dict):
        lines = []
        for key, content in value.items():
            if isinstance(content, list) and content and isinstance(content[0], dict):
                table = "\n".join("  " + line for line in render(content).split("\n"))
                lines.append(f"{key}:\n{table}")
            elif isinstance(content, dict) and content:
                lines.append(f"{key}:")
                lines += [
                    f"  {name}: {format_value(name, item)}"
                    for name, item in content.items()
                ]
            else:
                lines.append(f"{key}: {format_cell(content)}")
        return "\n".join(lines)
    return format_cell(value)
