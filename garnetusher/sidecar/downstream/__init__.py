"""The downstream side: accepts client connections, reads requests and writes responses."""
