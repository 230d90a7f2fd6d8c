package yuccaflow.cli

import yuccaflow.control.MarkSubject
import yuccaflow.http.SocketAddress

/** A command of the operator. */
internal sealed interface Command {
    /** Checks a release note without publishing it. */
    data class Check(
        val file: String,
    ) : Command

    /** Publishes a release note and waits until it is in force. */
    data class Publish(
        val file: String,
    ) : Command

    /** Marks a zone or host as leaving or returned, and waits until the mark is in force. */
    data class Mark(
        val subject: MarkSubject,
        val name: String,
        val isLeaving: Boolean,
    ) : Command

    /** Shows the live routers. */
    data object Status : Command

    /** Shows the owners of all key ranges. */
    data object Owners : Command

    /** Shows the targets of the current configuration. */
    data object Targets : Command

    /** Shows the published release notes and marks with their outcomes. */
    data object Notes : Command

    /** Shows the trace of a request. */
    data class Trace(
        val requestId: String,
    ) : Command

    /** Explains the handling of a request from the event logs of routers. */
    data class Explain(
        val requestId: String,
        val files: List<String>,
    ) : Command
}

/** Options that are common to all commands. */
internal data class Options(
    val log: SocketAddress?,
    val router: SocketAddress?,
    val store: SocketAddress?,
    val timeoutMs: Long,
    val isJson: Boolean,
)

/** Result of parsing the command line. */
internal sealed interface Invocation {
    /** Run [command]. */
    data class Run(
        val command: Command,
        val options: Options,
    ) : Invocation

    /** Print [text], which is the help, the version or a usage error, and exit with [status]. */
    data class Show(
        val text: String,
        val status: ExitStatus,
    ) : Invocation
}
