"""Models jobs that consist of steps, and places their tasks on executors."""
