package yuccaflow.bench

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext

/** Publishes release notes and marks with `yuccactl`, as operators do. */
internal class OperatorCli(
    private val cluster: Cluster,
) {
    /** Publishes a release note and waits until the routers have decided on it; fails unless they accept it. */
    suspend fun publish(name: String, note: String): Int =
        runWithRetries("publish", cluster.group.file("$name.ini", note).path).also {
            check(it == 0) { "yuccactl publish $name: expected exit status 0, found $it" }
        }

    /** Like [publish], but returns the exit status of `yuccactl` instead of failing. */
    suspend fun tryPublish(name: String, note: String): Int = runWithRetries("publish", cluster.group.file("$name.ini", note).path)

    suspend fun leaveZone(zone: String) {
        check(runWithRetries("leave", "zone", zone) == 0) { "yuccactl leave zone $zone: expected exit status 0" }
    }

    suspend fun returnZone(zone: String) {
        check(runWithRetries("return", "zone", zone) == 0) { "yuccactl return zone $zone: expected exit status 0" }
    }

    private suspend fun runWithRetries(vararg arguments: String): Int {
        repeat(MAX_ATTEMPTS - 1) {
            val status = run(arguments.toList())
            if (status != STATUS_NOT_PUBLISHED) return status
            delay(RETRY_DELAY_MS)
        }
        return run(arguments.toList())
    }

    private suspend fun run(arguments: List<String>): Int = withContext(Dispatchers.IO) {
        val process = cluster.group.start("yuccactl", Program.CTL, listOf("--log", "${cluster.log}") + arguments)
        val status = process.awaitExit(EXIT_TIMEOUT_MS)
        if (status != 0) System.err.println("yuccactl ${arguments.joinToString(" ")}: exit status $status\n${process.logTail()}")
        status ?: -1
    }

    private companion object {
        /** Exit status of `yuccactl` when nothing was published, so that a retry is safe. */
        const val STATUS_NOT_PUBLISHED = 4
        const val MAX_ATTEMPTS = 4
        const val RETRY_DELAY_MS = 1_000L
        const val EXIT_TIMEOUT_MS = 35_000L
    }
}
