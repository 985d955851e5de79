"""Tests the settings page against the schema."""

import pathlib

from limpetstream.settings import reference

PAGE = pathlib.Path(__file__).resolve().parents[3] / "docs" / "SETTINGS.md"


def test_the_settings_page_matches_the_schema():
    """Guards against a settings page that differs from the schema."""
    assert PAGE.read_text() == reference.render()


def test_every_setting_has_a_meaning():
    """Guards against settings without a description."""
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    assert rows
    assert [row for row in rows if row.split(" | ")[-1].strip(" |") == ""] == []
