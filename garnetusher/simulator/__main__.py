"""Hosts many balancer instances behind the simulator's protocol: `python -m garnetusher.simulator`.

Frames are read from standard input; each is answered by one reply frame on standard output.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from garnetusher.policy.balancer import Balancer
from garnetusher.policy.events import Event, RequestArrived
from garnetusher.policy.settings import Settings
from garnetusher.policy.settings_text import SettingsTextError, parse_settings
from garnetusher.simulator import protocol

EXIT_MALFORMED = 2
EXIT_READER_GONE = 3


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """Return `size` bytes, or fewer at the end of input."""
    data = source.read(size)
    while len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


class InstanceHost:
    """The running instances; they share nothing but the decoder's endpoint lists."""

    def __init__(self) -> None:
        self.decoder = protocol.Decoder()
        self.instances: dict[int, Balancer] = {}

    def batch(self, now_us: int, count: int, body: bytes) -> bytes:
        """Hand the records of one frame to their instances and return the reply frame.

        Raises:
            ProtocolError: where the frame, its settings or a class index is malformed.
        """
        replies: list[bytes] = []
        for instance, record in self.decoder.batch(body, count):
            if isinstance(record, protocol.InstanceStarted):
                self.instances[instance] = Balancer(_settings(record.options), record.seed, now_us)
            elif isinstance(record, protocol.InstanceStopped):
                self.instances.pop(instance, None)
            elif instance in self.instances:
                replies.extend(self._handle(now_us, instance, record))
        return protocol.reply(replies)

    def _handle(self, now_us: int, instance: int, event: Event) -> list[bytes]:
        balancer = self.instances[instance]
        class_count = len(balancer.settings.classes)
        if isinstance(event, RequestArrived) and event.class_index >= class_count:
            message = f"instance {instance}: request class {event.class_index} of {class_count}"
            raise protocol.ProtocolError(message)
        try:
            return [protocol.encode(instance, action) for action in balancer.handle(now_us, event)]
        except Exception as error:  # a fault of the policy is told to the simulator and doesn't end the others
            text = f"{type(error).__name__}: {error}"
            return [protocol.encode(instance, protocol.InternalError(text))]


def _settings(text: str) -> Settings:
    try:
        return parse_settings(text)
    except SettingsTextError as error:
        raise protocol.ProtocolError(str(error)) from error


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends.

    Raises:
        ProtocolError: where a frame is malformed; the message has its number.
    """
    host = InstanceHost()
    frame_number = 0
    while True:
        header = read_exactly(source, protocol.HEADER.size)
        if not header:
            return
        try:
            answer = _answer_frame(host, header, source)
        except protocol.ProtocolError as error:
            message = f"batch {frame_number}: {error}"
            raise protocol.ProtocolError(message) from error
        sink.write(answer)
        sink.flush()
        frame_number += 1


def _answer_frame(host: InstanceHost, header: bytes, source: BinaryIO) -> bytes:
    if len(header) < protocol.HEADER.size:
        message = f"truncated header: {len(header)} of {protocol.HEADER.size} bytes"
        raise protocol.ProtocolError(message)
    size, count, now_us = protocol.HEADER.unpack(header)
    body = read_exactly(source, size)
    if len(body) < size:
        message = f"truncated body: {len(body)} of {size} bytes"
        raise protocol.ProtocolError(message)
    return host.batch(now_us, count, body)


def main() -> int:
    """Serve standard input; return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except protocol.ProtocolError as error:
        print(f"garnetusher: {error}", file=sys.stderr)
        return EXIT_MALFORMED
    except BrokenPipeError:
        print("garnetusher: the reader of our replies is gone", file=sys.stderr)
        return EXIT_READER_GONE
    return 0


if __name__ == "__main__":
    sys.exit(main())
