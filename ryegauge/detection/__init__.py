"""Failure detection: the evidence on a silent machine, its diagnosis, and what follows from it.
Decisions only: no I/O, and time is passed in. `docs/design/detection.md` compares the
alternatives; `docs/safety.md` explains why no safety rule depends on a diagnosis."""
