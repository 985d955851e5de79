"""Membership of entry instances, and their rights to resources.

A resource is what one instance at a time schedules: the workers of a data
centre (``workers/NAME``), or one group of its executors
(``executors/NAME/GROUP``). A right is a renewable, time-limited, exclusive
lease on a resource.
"""
