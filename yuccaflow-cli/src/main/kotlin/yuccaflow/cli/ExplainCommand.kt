package yuccaflow.cli

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Explains a request from routers' logs in [files], or on standard input when there are none. */
internal fun explain(requestId: String, files: List<String>, console: Console): ExitStatus {
    val lines = try {
        if (files.isEmpty()) linesOf(System.`in`.readAllBytes()) else files.flatMap { linesOf(Files.readAllBytes(Path.of(it))) }
    } catch (failure: IOException) {
        console.error("cannot read the log files: $failure")
        return ExitStatus.USAGE
    }
    val explainer = LogExplainer(lines.asSequence())
    if (explainer.eventCount == 0) {
        console.error("none of the ${lines.size} lines is an event of a router. Give the standard output of routers.")
        return ExitStatus.USAGE
    }
    val explanation = explainer.explain(requestId)
    if (explanation == null) {
        console.error(
            "no line of the logs names request $requestId. It was served at the first target and not sampled, " +
                "its router's log is missing, " +
                "or it is among the ${explainer.droppedRequestLines} lines about requests that routers left out.",
        )
        return ExitStatus.UNKNOWN
    }
    console.result(Explanation.serializer(), explanation) { found ->
        val skipped = if (found.skippedLines == 0) emptyList() else listOf("${found.skippedLines} lines are no events and were left out")
        (listOf("request ${found.request}") + found.steps + found.background.map { "  $it" } + skipped).joinToString("\n")
    }
    return ExitStatus.DONE
}

/** The lines of a log. Bytes that are not UTF-8, as in a line that was cut off, are replaced and spoil only their own line. */
private fun linesOf(log: ByteArray): List<String> = log.decodeToString().lines().dropLastWhile { it.isEmpty() }
