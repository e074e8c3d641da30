"""Sends attempts to upstreams over HTTP/1.1, on a pool of connections."""
