"""Experiments as plain data and plain objects: no socket, no clock, no task. The lab plays the same objects."""
