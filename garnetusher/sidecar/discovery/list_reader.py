"""Reads endpoint lists from the bytes that discovery sends over a watch.

The work grows with the number of bytes, whatever the size of the parts in which they arrive: received bytes are
searched once for the end of a line, and a list that spans many lines is scanned once for its end before it is decoded.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

from garnetusher.errors import GarnetusherError
from garnetusher.sidecar.discovery.messages import RawList, parse_list

MAX_LIST_BYTES = 4 * 1024 * 1024
LINE_END = b"\n"

_BLANK_LINES = re.compile(rb"(?:[ \t\r]*+\n)++")
_INDENTATION = re.compile(rb"\n[ \t\r]+")
_STRING = rb'"[^"\\\n]*+(?:\\.[^"\\\n]*+)*+"'
_UNTERMINATED_STRING = b'"'  # what `_TOKEN` matches if `_STRING` does not match at a quotation mark
_TOKEN = re.compile(_STRING + rb'|[{}\[\]"]|\n[ \t\r]*+\n')
_DEPTH_CHANGE = {b"{": 1, b"[": 1, b"}": -1, b"]": -1}


class WatchStreamError(GarnetusherError, ValueError):
    """The data that discovery sends over a watch is not a sequence of endpoint lists."""

    def __init__(self, *, expected: str, found: str) -> None:
        super().__init__(f"expected {expected}, found {found}")


@dataclass(frozen=True, slots=True)
class KeepAlive:
    """One or more empty lines: the endpoint list has not changed."""


class DocumentScanner:
    """Finds the end of a JSON document that spans many lines by counting its brackets."""

    def __init__(self) -> None:
        self._depth = 0  # number of open brackets

    def find_end(self, lines: bytes | memoryview) -> int | None:
        """Return the position after the bracket that ends the document, or None if it does not end in these lines.

        Args:
            lines: the next lines of the document, from the start of a line to the end of one.

        Raises:
            WatchStreamError: a line ends within a string, or an empty line comes before the end.
        """
        if _BLANK_LINES.match(lines):
            raise WatchStreamError(expected="the rest of a list", found="an empty line")
        for match in _TOKEN.finditer(lines):
            token = match.group()
            if token in _DEPTH_CHANGE:
                self._depth += _DEPTH_CHANGE[token]
                if self._depth <= 0:
                    return match.end()
            elif token == _UNTERMINATED_STRING:
                raise WatchStreamError(expected="the end of a string", found="the end of a line")
            elif token.startswith(LINE_END):
                raise WatchStreamError(expected="the rest of a list", found="an empty line")
        return None


class ListReader:
    """Splits a byte stream into endpoint lists and empty lines; an indented list spans many lines."""

    def __init__(self) -> None:
        self._received = bytearray()  # bytes that follow the last message and the lines in `_partial_list`
        self._searched_size = 0  # number of bytes of `_received`, from its start, that contain no line end
        self._partial_list = bytearray()  # complete lines of an incomplete list, without their indentation
        self._scanner = DocumentScanner()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._received += data

    @property
    def has_complete_line(self) -> bool:
        """Whether `next_message` has a line to process."""
        return self._find_line_end() >= 0

    def next_message(self) -> RawList | KeepAlive | None:
        """Return the next message, or None if more bytes are needed to complete it.

        Raises:
            WatchStreamError: a line or a list is too long, or an empty line interrupts a list.
            json.JSONDecodeError: the data is not valid JSON.
            EndpointListError: the JSON document is not an endpoint list.
        """
        while (line_end := self._find_line_end()) >= 0:
            if self._partial_list:
                message = self._continue_list()
            elif blank_lines := _BLANK_LINES.match(self._received):
                self._take(blank_lines.end())
                return KeepAlive()
            else:
                message = self._begin_list(self._take(line_end + 1).strip())
            if message is not None:
                return message
        if len(self._received) > MAX_LIST_BYTES:
            raise WatchStreamError(expected="the end of a line", found="a line that exceeds the size limit")
        return None

    def _find_line_end(self) -> int:
        position = self._received.find(LINE_END, self._searched_size)
        self._searched_size = len(self._received) if position < 0 else position
        return position

    def _take(self, size: int) -> bytes:
        """Remove the first bytes of `_received` and return them."""
        taken = bytes(memoryview(self._received)[:size])
        del self._received[:size]
        self._searched_size = 0
        return taken

    def _begin_list(self, line: bytes) -> RawList | None:
        """Return the list if `line` has all of it; otherwise keep the line."""
        try:
            return self._decode(line)
        except json.JSONDecodeError as error:
            is_truncated = error.pos >= len(error.doc)
            if not line.startswith(b"{") or not is_truncated:
                raise
        self._scanner = DocumentScanner()
        self._scanner.find_end(line)
        self._partial_list += line
        return None

    def _continue_list(self) -> RawList | None:
        """Return the list if the received lines complete it; otherwise keep the lines."""
        lines_size = self._received.rfind(LINE_END) + 1
        document_size = self._scanner.find_end(memoryview(self._received)[:lines_size])
        if document_size is not None:
            lines_size = self._received.find(LINE_END, document_size) + 1
        lines = self._take(lines_size)
        self._partial_list += _INDENTATION.sub(LINE_END, LINE_END + lines.rstrip())
        if len(self._partial_list) > MAX_LIST_BYTES:
            raise WatchStreamError(expected="the end of a list", found="a list that exceeds the size limit")
        if document_size is None:
            return None
        document, self._partial_list = self._partial_list, bytearray()
        return self._decode(document)

    def _decode(self, document: bytes | bytearray) -> RawList:
        return parse_list(json.loads(document))
