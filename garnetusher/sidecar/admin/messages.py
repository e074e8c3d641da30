"""Requests, responses and routes of the admin address."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """An operator's call; `query` is what stands behind the `?` of its path."""

    method: bytes
    path: bytes
    query: str = ""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The answer to an operator's call; `allowed_method` answers one that used another method."""

    status: HTTPStatus
    text: str
    allowed_method: bytes = b""


@dataclass(frozen=True, slots=True)
class Route:
    """What answers the calls to one path, and the method that they have to use."""

    method: bytes
    handle: Callable[[AdminRequest], AdminResponse]
