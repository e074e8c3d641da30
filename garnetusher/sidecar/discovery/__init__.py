"""Receives the endpoint list from discovery, watches it for changes, and passes it on to the policy."""
