package yuccaflow.cli

/** Exit statuses of `yuccactl`, which scripts rely on. */
internal enum class ExitStatus(
    val code: Int,
) {
    /** The command did what was asked. */
    DONE(0),

    /** The note or mark was rejected and is not in force. */
    REJECTED(1),

    /** The command line or the file is not valid; nothing was sent. */
    USAGE(2),

    /** The outcome is unknown, or the time limit passed before the change was in force everywhere. */
    UNKNOWN(3),

    /** The log service or the routers could not be reached; nothing was published. */
    UNREACHABLE(4),
}
