"""The endpoint list and the watch on its changes."""
