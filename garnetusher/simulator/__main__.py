"""Run many balancer instances behind the simulator's protocol: `python -m garnetusher.simulator`.

The process reads frames from standard input and answers each of them with one reply frame on standard output.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from garnetusher.policy.balancer import Balancer
from garnetusher.policy.events import Event, RequestArrived
from garnetusher.policy.settings import Settings
from garnetusher.policy.settings_text import SettingsTextError, parse_settings
from garnetusher.simulator import protocol

EXIT_MALFORMED_INPUT = 2
EXIT_BROKEN_PIPE = 3


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
    """The running balancer instances, which share one decoder with its endpoint lists and no other state."""

    def __init__(self) -> None:
        self.decoder = protocol.Decoder()
        self.instances: dict[int, Balancer] = {}

    def handle_frame(self, now_us: int, count: int, body: bytes) -> bytes:
        """Pass the records of one frame to their instances and return the reply frame.

        Raises:
            ProtocolError: the frame or its settings are malformed, or a class index is out of range.
        """
        reply_records: list[bytes] = []
        for instance, record in self.decoder.decode_records(body, count):
            if isinstance(record, protocol.InstanceStarted):
                self.instances[instance] = Balancer(_settings(record.settings_text), record.seed, now_us)
            elif isinstance(record, protocol.InstanceStopped):
                self.instances.pop(instance, None)
            elif instance in self.instances:
                reply_records.extend(self._handle(now_us, instance, record))
        return protocol.encode_reply_frame(reply_records)

    def _handle(self, now_us: int, instance: int, event: Event) -> list[bytes]:
        balancer = self.instances[instance]
        class_count = len(balancer.settings.classes)
        if isinstance(event, RequestArrived) and event.class_index >= class_count:
            message = f"instance {instance}: expected a class index below {class_count}, got {event.class_index}"
            raise protocol.ProtocolError(message)
        try:
            return [protocol.encode_record(instance, action) for action in balancer.handle(now_us, event)]
        except Exception as error:  # the reply reports the exception, and the other instances keep running
            text = f"{type(error).__name__}: {error}"
            return [protocol.encode_record(instance, protocol.InternalError(text))]


def _settings(text: str) -> Settings:
    try:
        return parse_settings(text)
    except SettingsTextError as error:
        raise protocol.ProtocolError(str(error)) from error


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends.

    Raises:
        ProtocolError: a frame is malformed; the message starts with `batch N`, where N is the number of the frame,
            counted from 0.
    """
    host = InstanceHost()
    frame_number = 0
    while True:
        header = read_exactly(source, protocol.HEADER.size)
        if not header:
            return
        try:
            reply_frame = _answer_frame(host, header, source)
        except protocol.ProtocolError as error:
            message = f"batch {frame_number}: {error}"
            raise protocol.ProtocolError(message) from error
        sink.write(reply_frame)
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
    return host.handle_frame(now_us, count, body)


def main() -> int:
    """Answer the frames of standard input and return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except protocol.ProtocolError as error:
        print(f"garnetusher: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        print("garnetusher: standard output was closed by its reader", file=sys.stderr)
        return EXIT_BROKEN_PIPE
    return 0


if __name__ == "__main__":
    sys.exit(main())
