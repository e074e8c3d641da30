"""Requests in progress: their attempts, deadlines and final responses, and the gate that checks each write."""
