"""The randomized fault soak: it injects overlapping faults into real sidecars and their peers, and checks the rules.

The names in parentheses are the modules of this package. The plan of a run is drawn from a seed (plan). One process
simulates upstreams, discovery and clients (upstream, discovery, client); sidecars are real processes (sidecar_process).
Faults are injected into all of them (faults, run). The oracle checks the records of the simulated nodes against the
rules of the protocol (records, oracle, allowances). The plan of a failed run is reduced and saved to a file, from which
it can be replayed (reduce, campaign).

Two more tools use such runs: `size` measures how the resource use of a sidecar grows with the number of upstreams, and
`sweep` makes each system call of the sidecar fail with each documented error.

Parameters named `tree` are the checkout whose deploy file starts the sidecars.
"""
