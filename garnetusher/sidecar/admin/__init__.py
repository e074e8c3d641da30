"""The HTTP server for operators, at a separate address."""
