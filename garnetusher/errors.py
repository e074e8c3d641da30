"""The base class of the errors that this project defines."""


class GarnetusherError(Exception):
    """An error whose message tells a person what to correct; each package derives its own classes."""
