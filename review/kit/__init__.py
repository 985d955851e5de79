"""Stand-ins for the review: store, executors, callers and a cluster."""
