"""Calls to the admin address of a running sidecar."""

from __future__ import annotations

import http.client
import os
from typing import Annotated, NamedTuple

import typer

from garnetusher import cli

TIMEOUT_S = 2.0  # a short timeout suffices because a running sidecar answers immediately
ADDRESS_VARIABLE = "BALANCER_ADMIN"

AdminAddress = Annotated[
    str, typer.Option(help=f"Admin address of the sidecar, as host:port; ${ADDRESS_VARIABLE} if not given.")
]


class AdminResponse(NamedTuple):
    """The status and the body of a response from the admin address."""

    status: int
    text: str


def call(admin_address: str, method: str, path: str) -> AdminResponse:
    """Send a request to the admin address of a sidecar and return the response.

    Args:
        admin_address: the address as `host:port`; if empty, the value of `$BALANCER_ADMIN`.
        method: the HTTP method.
        path: the path with its query.

    Raises:
        CommandError: the address is malformed, or the sidecar does not answer in time.
    """
    address = admin_address or os.environ.get(ADDRESS_VARIABLE, "")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        cli.fail(f"--at: expected host:port, got {address!r}")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return AdminResponse(response.status, response.read().decode())
    except (OSError, http.client.HTTPException) as error:  # HTTPException: something else listens at the address
        cli.fail(f"no answer from {address}: {' '.join(str(error).split())}", cli.FAILURE)
    finally:
        connection.close()
