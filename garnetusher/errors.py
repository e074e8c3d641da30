"""The base class of the errors that this project defines."""


class GarnetusherError(Exception):
    """An error whose message tells the user what to correct; each package derives its own error classes from it."""
