"""Experiments as plain data and objects without sockets, clocks or tasks, which the lab uses too."""
