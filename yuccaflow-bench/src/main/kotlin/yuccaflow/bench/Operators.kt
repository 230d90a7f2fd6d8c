package yuccaflow.bench

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext

/** Publishes notes and marks through `yuccactl`, as operators do. */
internal class Operators(
    private val cluster: Cluster,
) {
    /** Publishes a note and waits until the routers accepted or rejected it; returns the exit status of `yuccactl`. */
    suspend fun publish(name: String, note: String): Int =
        ctl("publish", cluster.group.file("$name.ini", note).path).also { check(it == 0) { "yuccactl publish $name: exit status $it" } }

    /** Like [publish], but leaves it to the caller to judge the exit status. */
    suspend fun tryPublish(name: String, note: String): Int = ctl("publish", cluster.group.file("$name.ini", note).path)

    suspend fun leaveZone(zone: String) {
        check(ctl("leave", "zone", zone) == 0) { "yuccactl leave zone $zone failed" }
    }

    suspend fun returnZone(zone: String) {
        check(ctl("return", "zone", zone) == 0) { "yuccactl return zone $zone failed" }
    }

    private suspend fun ctl(vararg arguments: String): Int {
        repeat(TRIES - 1) {
            val status = ctlOnce(arguments.toList())
            if (status != NOTHING_PUBLISHED) return status
            delay(RETRY_MS)
        }
        return ctlOnce(arguments.toList())
    }

    private suspend fun ctlOnce(arguments: List<String>): Int = withContext(Dispatchers.IO) {
        val process = cluster.group.start("yuccactl", Program.CTL, listOf("--log", "${cluster.log}") + arguments)
        val status = process.awaitExit(CTL_LIMIT_MS)
        if (status != 0) System.err.println("yuccactl ${arguments.joinToString(" ")}: exit status $status\n${process.tail()}")
        status ?: -1
    }

    private companion object {
        /** Exit status of `yuccactl` when nothing was published, so that it may run again. */
        const val NOTHING_PUBLISHED = 4
        const val TRIES = 4
        const val RETRY_MS = 1_000L
        const val CTL_LIMIT_MS = 35_000L
    }
}
