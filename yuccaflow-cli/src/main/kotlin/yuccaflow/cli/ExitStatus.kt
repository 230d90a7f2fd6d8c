package yuccaflow.cli

/** Exit statuses of `yuccactl`. They are part of its interface to scripts. */
internal enum class ExitStatus(
    val code: Int,
) {
    /** The command succeeded. */
    DONE(0),

    /** The release note or mark was rejected and is not in force. */
    REJECTED(1),

    /** The command line or the file is not valid. Nothing was sent. */
    USAGE(2),

    /** The outcome is unknown, or the time limit passed before the change was in force on all live routers. */
    UNKNOWN(3),

    /** The log service, the store or the routers could not be reached. Nothing was published. */
    UNREACHABLE(4),
}
