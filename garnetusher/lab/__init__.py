"""Experiments on real processes: stand-ins for all that a sidecar talks to, faults between them, a checker."""
