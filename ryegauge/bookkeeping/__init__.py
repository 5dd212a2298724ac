"""The replica of the state service's records, the client of the service and its rate budgets."""
