"""Exit statuses, output and progress, which all commands share."""

from garnetusher.cli.console import Progress, progress, say, say_json
from garnetusher.cli.errors import CommandError, ExitStatus, fail, finish

HELD = ExitStatus.HELD
NOT_HELD = ExitStatus.NOT_HELD
USAGE_ERROR = ExitStatus.USAGE_ERROR

__all__ = [
    "HELD",
    "NOT_HELD",
    "USAGE_ERROR",
    "CommandError",
    "ExitStatus",
    "Progress",
    "fail",
    "finish",
    "progress",
    "say",
    "say_json",
]
