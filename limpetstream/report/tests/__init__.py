"""Tests of the burn report and of the stages of jobs."""
