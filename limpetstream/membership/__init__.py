"""Membership of entry instances, and their rights to resources.

A right is a renewable, time-limited, exclusive lease on a resource.
"""
