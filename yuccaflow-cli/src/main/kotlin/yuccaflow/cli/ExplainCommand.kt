package yuccaflow.cli

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Explains the request [requestId] from the event logs of routers in [files], or from standard input if there are none. */
internal fun explain(requestId: String, files: List<String>, console: Console): ExitStatus {
    val lines = try {
        if (files.isEmpty()) linesOf(System.`in`.readAllBytes()) else files.flatMap { linesOf(Files.readAllBytes(Path.of(it))) }
    } catch (failure: IOException) {
        console.error("cannot read the log files: $failure")
        return ExitStatus.USAGE
    }
    val explainer = LogExplainer(lines.asSequence())
    if (explainer.eventCount == 0) {
        console.error("none of the ${lines.size} lines is an event of a router. Pass the standard output of routers.")
        return ExitStatus.USAGE
    }
    val explanation = explainer.explain(requestId)
    if (explanation == null) {
        console.error(
            "no log line mentions request $requestId. Either the first target served it and it was not sampled, " +
                "or the log of its router is missing, " +
                "or it is among the ${explainer.droppedRequestEvents} request events that the routers dropped.",
        )
        return ExitStatus.UNKNOWN
    }
    console.result(Explanation.serializer(), explanation) { found ->
        val skipped = if (found.skippedLines == 0) emptyList() else listOf("${found.skippedLines} lines are not events and were skipped")
        (listOf("request ${found.request}") + found.steps + found.background.map { "  $it" } + skipped).joinToString("\n")
    }
    return ExitStatus.DONE
}

/** Returns the lines of [log]. Invalid UTF-8, as in a truncated line, is replaced and thus affects only its own line. */
private fun linesOf(log: ByteArray): List<String> = log.decodeToString().lines().dropLastWhile { it.isEmpty() }
