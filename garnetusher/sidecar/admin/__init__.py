"""The operators' HTTP calls at an address of their own."""
