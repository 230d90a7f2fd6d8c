package yuccaflow.cli

/** The commands that show the state of a system, independent of where it is kept. */
internal interface StateCommands {
    /** Shows the routers. */
    suspend fun status(): ExitStatus

    /** Shows the owners of all key ranges. */
    suspend fun owners(): ExitStatus

    /** Shows the targets. */
    suspend fun targets(): ExitStatus

    /** Shows the configuration that the operators have published. */
    suspend fun notes(): ExitStatus
}
