"""The base of all errors that this project raises on purpose."""


class GarnetusherError(Exception):
    """An error whose message a person can act on; each part of the project derives its own classes."""
