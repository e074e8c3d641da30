"""Reads endpoint lists from the lines that discovery sends over a watch."""

from __future__ import annotations

import json

from garnetusher.errors import GarnetusherError
from garnetusher.sidecar.discovery.messages import RawList, parse_list

MAX_LIST_BYTES = 4 * 1024 * 1024


class WatchStreamError(GarnetusherError, ValueError):
    """The data that discovery sends over a watch is not a sequence of endpoint lists."""

    def __init__(self, *, expected: str, found: str) -> None:
        super().__init__(f"expected {expected}, found {found}")


class ListReader:
    """Splits a byte stream into lines and joins lines into endpoint lists: an indented list spans many lines."""

    def __init__(self) -> None:
        self._partial_line = b""  # received part of an incomplete line
        self._partial_list = b""  # received part of an incomplete list

    def split_lines(self, data: bytes) -> list[bytes]:
        """Return the lines that `data` completes, without surrounding whitespace.

        Raises:
            WatchStreamError: a line is too long.
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > MAX_LIST_BYTES:
            raise WatchStreamError(expected="the end of a line", found="a line that exceeds the size limit")
        return [line.strip() for line in lines]

    def add_line(self, line: bytes) -> RawList | None:
        """Return the list that `line` completes, or None if the list is still incomplete or the line is empty.

        Raises:
            WatchStreamError: an empty line interrupts the list, or the list is too long.
            json.JSONDecodeError: the data is not valid JSON.
            EndpointListError: the JSON document is not an endpoint list.
        """
        if not line:
            self._require_no_partial_list()
            return None
        is_continuation = bool(self._partial_list)
        self._partial_list += line
        if len(self._partial_list) > MAX_LIST_BYTES:
            raise WatchStreamError(expected="the end of a list", found="a list that exceeds the size limit")
        if is_continuation and not line.endswith(b"}"):
            return None  # decoding after every line would take seconds for a list of thousands of lines
        return self._decode()

    def _require_no_partial_list(self) -> None:
        if self._partial_list:
            raise WatchStreamError(expected="the rest of a list", found="an empty line")

    def _decode(self) -> RawList | None:
        try:
            document: object = json.loads(self._partial_list)
        except json.JSONDecodeError as error:
            is_truncated = error.pos >= len(error.doc)
            if not self._partial_list.startswith(b"{") or not is_truncated:
                raise
            return None
        self._partial_list = b""
        return parse_list(document)
