"""Recovery from data loss in the state service: detecting the loss and writing back what the
controllers still know. Decisions only: no I/O, and time is passed in. The design is in
`docs/design/rebuilding.md`, the safety argument in `docs/safety.md`.

Loaded only where the property `rebuilding` is on.
"""
