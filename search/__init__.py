"""Search for schedules of overlapping faults that break a guarantee."""
