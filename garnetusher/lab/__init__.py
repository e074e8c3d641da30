"""Runs experiments on real sidecar processes, with stand-ins for all their peers, injected faults and a checker."""
