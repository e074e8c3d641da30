"""The randomized fault soak: it injects overlapping faults around real sidecars and checks the rules of the protocol.

The plan of a run is drawn from a seed (plan). One process simulates upstreams, discovery and clients (upstream,
discovery, client); sidecars are real processes (sidecar_process). Faults are injected into all of them (faults, run).
The oracle checks the records of the simulated nodes (records, oracle, allowances). The plan of a failed run is reduced
and saved to a file, from which it can be replayed (reduce, campaign).

Two more tools use such runs: size measures how the resource use of a sidecar grows with the number of upstreams, and
sweep fails each system call of the sidecar with each documented error.
"""
