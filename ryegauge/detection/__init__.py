"""Failure detection: what is known of a silent machine, what that makes of it, and what
follows. Decisions only: no I/O, and time is passed in. `docs/design/detection.md` has the
ways weighed, `docs/safety.md` why no rule rests on a verdict."""
