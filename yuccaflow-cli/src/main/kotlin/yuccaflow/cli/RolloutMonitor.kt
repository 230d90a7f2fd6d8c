package yuccaflow.cli

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.Serializable
import yuccaflow.base.TimerService
import yuccaflow.control.RouterEntry
import yuccaflow.control.RouterId
import yuccaflow.control.StatusReport

/** A live router on which a change is not known to be in force. */
@Serializable
internal data class MissingRouter(
    val router: RouterId,
    val zone: String,
    val host: String,
    val reason: String,
)

/** The live routers on which a change is in force, and those on which it is not. */
internal data class RolloutState(
    val inForce: List<RouterId>,
    val missing: List<MissingRouter>,
)

/** Waits until a change is in force on every live router. */
internal class RolloutMonitor(
    private val reader: StreamReader,
    private val adminClient: RouterAdminClient,
    private val timer: TimerService,
) {
    /**
     * Waits until every live router has applied the record of `config` at [offset], or until [deadlineMs] has passed. Calls [progress]
     * on each change. The live routers are read anew in each round, so a router whose lease has ended is no longer waited for, and one
     * that has started is.
     */
    suspend fun await(offset: Long, deadlineMs: Long, progress: (RolloutState) -> Unit): RolloutState {
        val inForce = mutableSetOf<RouterId>()
        var last: RolloutState? = null
        while (true) {
            val unknownRouters = readTable()
            val live = reader.table.routers.values
                .filter { reader.table.isLive(it.id) }
            val missing = missingRouters(live.filter { it.id !in inForce }, offset)
            inForce += live.map { it.id } - missing.map { it.router }.toSet()
            val state = RolloutState(live.map { it.id }.filter { it in inForce }, missing)
            if (state != last) progress(state)
            last = state
            if (unknownRouters == null && missing.isEmpty()) return state
            if (timer.nowMs() >= deadlineMs) return if (unknownRouters == null) state else state.copy(missing = missing + unknownRouters)
            timer.sleep(POLL_MS)
        }
    }

    /** Updates the routers from the log. If that fails, returns an entry that stands for routers that may have started since. */
    private suspend fun readTable(): MissingRouter? = try {
        reader.readControl()
        null
    } catch (failure: LogReadException) {
        MissingRouter(RouterId("?"), "?", "?", "recently started routers are unknown: ${failure.message}")
    }

    private suspend fun missingRouters(routers: List<RouterEntry>, offset: Long): List<MissingRouter> = coroutineScope {
        routers
            .map { entry ->
                async {
                    val reason = when (val answer = adminClient.query(entry.adminAddress, "/status", StatusReport.serializer())) {
                        is RouterQueryResult.NoAnswer -> answer.reason
                        is RouterQueryResult.Answered -> missingReason(answer.report, entry, offset)
                    }
                    reason?.let { MissingRouter(entry.id, entry.zone.value, entry.host, it) }
                }
            }.awaitAll()
            .filterNotNull()
    }

    /** Returns why the record at [offset] is not known to be in force on the router, or null if it is. */
    private fun missingReason(report: StatusReport, entry: RouterEntry, offset: Long): String? = when {
        report.router != entry.id -> "the address now belongs to router ${report.router}"
        report.configPosition < offset -> "it has read `config` up to offset ${report.configPosition} of $offset"
        else -> null
    }

    private companion object {
        const val POLL_MS = 200L
    }
}
