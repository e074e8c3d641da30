"""Closes a connection whose client has its last response, without a reset while the client still sends.

Closing a socket with unread bytes resets the connection, and the client might lose the response (RFC 9112, section
9.6).
"""

from __future__ import annotations

import asyncio
import contextlib

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.downstream.response_writer import ResponseWriter
from garnetusher.sidecar.streaming import STALL_TIMEOUT_US

CHECK_INTERVAL_S = 1.0  # interval between checks whether the client has read its last response


class LingeringClose:
    """Ends the sending side, and aborts the connection once its client has the response and sends no more."""

    def __init__(self, writer: ResponseWriter) -> None:
        """Prepare to close a connection.

        Args:
            writer: The writer of its responses.
        """
        self._writer = writer
        self._last_input_us = 0
        self._deadline_us = 0  # the time after which the connection is aborted even if the client goes on sending
        self._timer: asyncio.TimerHandle | None = None

    @property
    def only_waits_for_client(self) -> bool:
        """Whether the close has begun and the kernel has the whole response."""
        is_open = self._timer is not None and not self._writer.transport.is_closing()
        return is_open and not self._writer.unsent_size

    def start(self) -> None:
        """Close the sending side; input is still to be read, and discarded."""
        with contextlib.suppress(OSError):  # the client may have just reset the connection
            self._writer.transport.write_eof()
        self.note_input()
        self._deadline_us = self._last_input_us + STALL_TIMEOUT_US
        self._check()

    def note_input(self) -> None:
        """Record that the client has sent bytes."""
        self._last_input_us = monotonic_us()

    def abort(self) -> None:
        """Close at once; the client may see a reset instead of the end."""
        self._writer.transport.abort()

    def cancel(self) -> None:
        """Stop checking, because the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        now_us = monotonic_us()
        still_sends = self._last_input_us + CHECK_INTERVAL_S * 1e6 > now_us and self._deadline_us > now_us
        if self._writer.unsent_size or still_sends:
            self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)
        else:
            self.abort()
