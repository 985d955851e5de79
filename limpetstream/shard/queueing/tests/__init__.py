"""Tests of when tasks of earlier owners run again."""
