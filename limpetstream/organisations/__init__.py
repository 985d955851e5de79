"""Organisations that share a deployment: keys, limits and shares."""
