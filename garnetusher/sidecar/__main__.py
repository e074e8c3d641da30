"""The entry point of a sidecar, `python -m garnetusher.sidecar`, which reads its options from the environment."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Mapping
from dataclasses import dataclass

from garnetusher.sidecar import logs, service
from garnetusher.sidecar.configuration import (
    ADMIN_VARIABLE,
    CONFIG_VARIABLE,
    ENVIRONMENT,
    SOCKET_VARIABLE,
    Configuration,
    open_inherited_socket,
)
from garnetusher.sidecar.configuration_section import ConfigurationError
from garnetusher.sidecar.errors import NOTHING
from garnetusher.sidecar.startup import CONFIGURATION_ERRORS, load_configuration, make_event_loop

EXIT_OK = 0
EXIT_CANNOT_START = 1
EXIT_BAD_CONFIGURATION = 2


@dataclass(slots=True)
class Invocation:
    """The options of this process, from the environment.

    Attributes:
        path: configuration file.
        configuration: parsed content of the configuration file.
        inherited: listening socket, if the platform holds it open and this process inherits it.
    """

    path: str
    configuration: Configuration
    inherited: socket.socket | None

    @classmethod
    def from_environment(cls, environment: Mapping[str, str]) -> Invocation:
        """Read the environment variables and the configuration file.

        Raises:
            OSError: the file cannot be read.
            ConfigurationError: a variable or the file is malformed.
            SettingsTextError: a policy setting is missing or invalid.
        """
        path = environment.get(CONFIG_VARIABLE)
        if path is None:
            raise ConfigurationError(CONFIG_VARIABLE, ENVIRONMENT, "the path of the configuration file", NOTHING)
        configuration = load_configuration(path, environment.get(ADMIN_VARIABLE))
        descriptor = environment.get(SOCKET_VARIABLE)
        return cls(path, configuration, open_inherited_socket(descriptor) if descriptor else None)


def main() -> int:
    """Run the sidecar and return the exit status."""
    logs.configure()
    # SIGHUP would end the process until `service.run` handles it, and the file may be replaced before that.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        invocation = Invocation.from_environment(os.environ)
    except CONFIGURATION_ERRORS as error:
        print(f"garnetusher.sidecar: configuration: {error!r}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    try:
        with asyncio.Runner(loop_factory=make_event_loop) as runner:
            runner.run(service.run(invocation.configuration, invocation.path, invocation.inherited))
    except OSError as error:
        print(f"garnetusher.sidecar: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
