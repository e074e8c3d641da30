"""Calls to the admin address of a running sidecar."""

from __future__ import annotations

import http.client
import os
from typing import Annotated, NamedTuple

import typer

from garnetusher import cli

TIMEOUT_S = 2.0  # a sidecar answers at once
ADDRESS_VARIABLE = "BALANCER_ADMIN"

AdminAddress = Annotated[str, typer.Option(help=f"The sidecar's admin address; else ${ADDRESS_VARIABLE}.")]


class AdminResponse(NamedTuple):
    """The answer to a call."""

    status: int
    text: str


def call(at: str, method: str, path: str) -> AdminResponse:
    """Call a sidecar.

    Args:
        at: its admin address as `host:port`; empty for the one in `$BALANCER_ADMIN`.
        method: of HTTP.
        path: with the query.

    Raises:
        CommandError: the address is malformed, or nothing answers there in time.
    """
    address = at or os.environ.get(ADDRESS_VARIABLE, "")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        cli.fail(f"--at: expected host:port, got {address!r}")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return AdminResponse(response.status, response.read().decode())
    except OSError as error:
        cli.fail(f"no answer from {address}: {error}", cli.NOT_HELD)
    finally:
        connection.close()
