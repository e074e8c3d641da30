"""Reads endpoint lists out of the stream of lines that discovery sends over a watch."""

from __future__ import annotations

import json

from garnetusher.errors import GarnetusherError
from garnetusher.sidecar.discovery.messages import RawList, parse_list

MAX_LIST_BYTES = 4 * 1024 * 1024


class WatchStreamError(GarnetusherError, ValueError):
    """What discovery sends over a watch is no sequence of endpoint lists."""

    def __init__(self, *, expected: str, found: str) -> None:
        super().__init__(f"expected {expected}, found {found}")


class ListReader:
    """Cuts a stream of bytes into lines and joins lines to endpoint lists: a list may come indented, on many lines."""

    def __init__(self) -> None:
        self._line_start = b""  # of a line that has not come to its end
        self._list_start = b""  # of a list that has not come to its end

    def split_lines(self, data: bytes) -> list[bytes]:
        """Return the lines that more bytes complete.

        Raises:
            WatchStreamError: a line is too long.
        """
        *lines, self._line_start = (self._line_start + data).split(b"\n")
        if len(self._line_start) > MAX_LIST_BYTES:
            raise WatchStreamError(expected="the end of a line", found="a line that is too long")
        return [line.strip() for line in lines]

    def add_line(self, line: bytes) -> RawList | None:
        """Return the list that a line completes; None if it completes none.

        Raises:
            WatchStreamError: a list breaks off or is too long.
            json.JSONDecodeError: it is no JSON.
            EndpointListError: it is JSON, and no list.
        """
        if not line:
            self._require_no_list_begun()
            return None
        is_continuation = bool(self._list_start)
        self._list_start += line
        if len(self._list_start) > MAX_LIST_BYTES:
            raise WatchStreamError(expected="the end of a list", found="a list that is too long")
        if is_continuation and not line.endswith(b"}"):
            return None  # decoding after each line of a list of thousands of lines would take seconds
        return self._decode()

    def _require_no_list_begun(self) -> None:
        if self._list_start:
            raise WatchStreamError(expected="the rest of a list", found="an empty line")

    def _decode(self) -> RawList | None:
        try:
            document: object = json.loads(self._list_start)
        except json.JSONDecodeError as error:
            is_cut_short = error.pos >= len(error.doc)
            if not self._list_start.startswith(b"{") or not is_cut_short:
                raise
            return None
        self._list_start = b""
        return parse_list(document)
