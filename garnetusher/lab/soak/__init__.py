"""The randomized fault soak: real sidecars, several faults at once, and the rules of the protocol as its oracle.

A run is drawn from a seed (plan). Upstreams, discovery and clients are simulated in one process (upstream, discovery,
client); sidecars are real processes (sidecar_process). Faults are carried out on all of them (faults, run). What the
simulated nodes recorded is judged (records, oracle, excuses). A run that fails is reduced and saved as a file that
replays it (reduce, campaign).
"""
