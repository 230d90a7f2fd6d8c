package yuccaflow.cli

import yuccaflow.control.MarkSubject
import yuccaflow.http.SocketAddress

/** What the operator asks for. */
internal sealed interface Command {
    /** Checks the text of a note without publishing it. */
    data class Check(
        val file: String,
    ) : Command

    /** Publishes a note and waits until it is in force. */
    data class Publish(
        val file: String,
    ) : Command

    /** Marks a zone or host as leaving or returned, and waits until the mark is in force. */
    data class Mark(
        val subject: MarkSubject,
        val name: String,
        val leaving: Boolean,
    ) : Command

    /** Shows the live routers. */
    data object Status : Command

    /** Shows the owners of all ranges. */
    data object Owners : Command

    /** Shows the targets in force. */
    data object Targets : Command

    /** Shows the published notes and marks with their outcomes. */
    data object Notes : Command

    /** Shows the hops of a request. */
    data class Trace(
        val requestId: String,
    ) : Command

    /** Explains a request from routers' logs. */
    data class Explain(
        val requestId: String,
        val files: List<String>,
    ) : Command
}

/** Options that all commands share. */
internal data class Options(
    val log: SocketAddress?,
    val router: SocketAddress?,
    val store: SocketAddress?,
    val timeoutMs: Long,
    val json: Boolean,
)

/** Result of reading the command line. */
internal sealed interface Invocation {
    /** A command is to be run. */
    data class Run(
        val command: Command,
        val options: Options,
    ) : Invocation

    /** Nothing is to be run; [text] is help, the version, or a mistake in the command line. */
    data class Show(
        val text: String,
        val status: ExitStatus,
    ) : Invocation
}
