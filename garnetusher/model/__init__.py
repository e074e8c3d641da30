"""Data types of experiments, and simulated objects that use no sockets, system clocks or tasks. The lab uses both."""
