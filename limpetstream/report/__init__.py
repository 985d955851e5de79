"""Reports on error budgets of services and on the stages of jobs."""
