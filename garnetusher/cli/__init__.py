"""What all commands share: exit statuses, output, progress and arguments."""

from garnetusher.cli.console import Progress, progress, say, say_json
from garnetusher.cli.errors import CommandError, ExitStatus, fail, finish

HELD = ExitStatus.HELD
NOT_HELD = ExitStatus.NOT_HELD
WRONG = ExitStatus.WRONG_CALL

__all__ = [
    "HELD",
    "NOT_HELD",
    "WRONG",
    "CommandError",
    "ExitStatus",
    "Progress",
    "fail",
    "finish",
    "progress",
    "say",
    "say_json",
]
