"""Requests, responses and routes of the admin server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A request to the admin server; `query` is the part of the target after the `?`."""

    method: bytes
    path: bytes
    query: str = ""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """A response of the admin server; `allowed_method` is the Allow header of a 405 response, otherwise empty."""

    status: HTTPStatus
    text: str
    allowed_method: bytes = b""


@dataclass(frozen=True, slots=True)
class Route:
    """The handler for one path, and the HTTP method that requests to it must use."""

    method: bytes
    handle: Callable[[AdminRequest], AdminResponse]
