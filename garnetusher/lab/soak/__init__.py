"""The randomized fault soak: real sidecars, several troubles at once, and the rules of the protocol as its oracle.

A play is drawn whole from a seed (plan), carried out by stand-ins for upstreams, discovery and clients in one process
(upstream, discovery, client) and by signals, files and failing system calls at the sidecars (fleet, run), and judged by
what the stand-ins wrote down (oracle). A play that fails is reduced and saved as a file that replays it (reduce).
"""
