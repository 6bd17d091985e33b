"""Exit codes of the operators' tool, for scripts."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command; a code means the same for all commands."""

    DONE = 0
    DIFFERENT = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    NOT_IN_FORCE = 7


DESCRIPTIONS = {
    ExitCode.DONE: "done; for `diff`: no difference",
    ExitCode.DIFFERENT: "`diff` found differences",
    ExitCode.USAGE: "the command line or the settings are wrong",
    ExitCode.INVALID: "the folder is not valid; nothing was changed",
    ExitCode.CONFLICT: "another operator was faster; nothing was changed",
    ExitCode.UNAVAILABLE: "the platform is away; nothing was changed",
    ExitCode.UNKNOWN: "the folder may have been written; run `diff`",
    ExitCode.NOT_IN_FORCE: "`apply`, `status`: not in force on all nodes",
}
