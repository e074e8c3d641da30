"""The simulator's protocol round the same policy."""
