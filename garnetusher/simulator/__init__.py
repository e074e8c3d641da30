"""Runs the balancer policy behind the simulator's protocol."""
