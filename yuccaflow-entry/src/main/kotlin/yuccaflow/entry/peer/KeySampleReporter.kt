package yuccaflow.entry.peer

import yuccaflow.base.TimerService
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.keys.KeyLoadTracker
import yuccaflow.entry.keys.incarnationOf
import yuccaflow.http.SocketAddress

/**
 * Sends the keys of this router's requests to the planner, which balances the key ranges by the load of all routers, and the targets that
 * have told this router that they leave, whose keys the planner moves.
 */
internal class KeySampleReporter(
    private val node: String,
    private val keyLoadTracker: KeyLoadTracker,
    private val directory: TargetDirectory,
    private val planner: () -> SocketAddress?,
    private val client: RelayClient,
    private val timer: TimerService,
) {
    /** Reports until cancelled. A lost report is not repeated, because the next one has more recent keys. */
    suspend fun run() {
        while (true) {
            timer.sleep(REPORT_PERIOD_MS)
            val samples = keyLoadTracker.drainUnreported()
            val address = planner() ?: continue
            val leaving = directory.saidToLeave().map(::incarnationOf)
            if (samples.isEmpty() && leaving.isEmpty()) continue
            client.send(address, RelayCall.KeySamples(node, samples, leaving), CALL_TIMEOUT_MS)
        }
    }

    private companion object {
        const val REPORT_PERIOD_MS = 400L
        const val CALL_TIMEOUT_MS = 500L
    }
}
