"""The job book, the state service and what may be spent on it."""
