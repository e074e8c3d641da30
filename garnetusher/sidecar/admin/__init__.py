"""The HTTP calls of operators, at an address of their own."""
