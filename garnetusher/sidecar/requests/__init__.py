"""Requests in flight: their attempts, deadlines and final responses, and the gate at each write."""
