"""The clients' side: accepts connections, reads requests and writes responses."""
