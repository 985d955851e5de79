"""Batch jobs and watchers: placement, leases, eviction and resumption."""
