"""What to do when the state service has lost data: noticing it, and putting back what the
controllers know. Decisions only: no I/O, and time is passed in. `docs/design/rebuilding.md` has
the ways weighed, `docs/safety.md` the argument.

Loaded only where the property `rebuilding` is on.
"""
