"""What may run on an executor under a lease that its owner cannot see."""
