"""Tests of the organisations that share a deployment."""
