"""Exit statuses, output and progress, which all commands share."""

from garnetusher.cli.console import Progress, progress, say, say_json
from garnetusher.cli.errors import CommandError, ExitStatus, fail, finish

SUCCESS = ExitStatus.SUCCESS
FAILURE = ExitStatus.FAILURE
USAGE_ERROR = ExitStatus.USAGE_ERROR

__all__ = [
    "FAILURE",
    "SUCCESS",
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
