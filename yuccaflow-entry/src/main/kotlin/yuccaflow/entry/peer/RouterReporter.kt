package yuccaflow.entry.peer

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import yuccaflow.base.TimerService
import yuccaflow.entry.config.RoutingTable
import yuccaflow.entry.directory.TargetDirectory
import yuccaflow.entry.keys.balance.KeyLoadTracker
import yuccaflow.entry.keys.balance.ReportedServiceTime
import yuccaflow.entry.keys.incarnationOf
import yuccaflow.http.SocketAddress
import kotlin.random.Random

/**
 * Reports to the planner: the keys of this router's requests and the service times of targets, by which the planner balances the key
 * ranges, the targets that have told this router that they leave, whose keys the planner moves, and how far this router has read the
 * streams. The answer says how far the planner has read them. While no planner answers, this router exchanges its positions with other
 * routers instead.
 *
 * @property planner returns the relay address of the planner, or null if this router is the planner or none is known.
 * @property otherRouters returns the relay addresses of the other routers.
 * @property table returns the routing table in force. Service times are reported only under load control, which it enables.
 */
internal class RouterReporter(
    private val node: String,
    private val keyLoadTracker: KeyLoadTracker,
    private val directory: TargetDirectory,
    private val positions: StreamPositions,
    private val planner: () -> SocketAddress?,
    private val otherRouters: () -> List<SocketAddress>,
    private val client: RelayClient,
    private val timer: TimerService,
    private val random: Random = Random,
    private val table: () -> RoutingTable? = { null },
) {
    private var hasPlannerAnswered = false

    /** Reports until cancelled. A lost report is not repeated, because the next one is more recent. */
    suspend fun run() {
        while (true) {
            timer.sleep(REPORT_PERIOD_MS)
            report()
        }
    }

    private suspend fun report() = coroutineScope {
        val address = planner()
        if (address == null || !hasPlannerAnswered) launch { exchangePositions() }
        val samples = keyLoadTracker.drainUnreported()
        val leaving = directory.saidToLeave().map(::incarnationOf)
        val report = RelayCall.KeySamples(node, samples, leaving, positions.current(), drainServiceTimes())
        hasPlannerAnswered = address != null && send(address, report)
    }

    /** Returns the service times to report. They are also added to this router's own averages, which it uses as the planner. */
    private fun drainServiceTimes(): Map<String, ReportedServiceTime> {
        val services = table()?.takeIf { it.hasLoadControl }?.services.orEmpty()
        val states = services.values.filter { it.isKeyed }.flatMap { directory.ofService(it.name) }
        return keyLoadTracker.serviceTimes.drainUnreported(states).also(keyLoadTracker.serviceTimes::addReport)
    }

    private suspend fun exchangePositions() {
        val router = otherRouters().randomOrNull(random) ?: return
        send(router, RelayCall.KeySamples(node, emptyMap(), positions = positions.current()))
    }

    /** Returns whether the router at [address] has told its positions. */
    private suspend fun send(address: SocketAddress, call: RelayCall.KeySamples): Boolean {
        val sentAtMs = timer.nowMs()
        val answer = client.send(address, call, CALL_TIMEOUT_MS)
        if (answer is RelayAnswer.Positions) positions.learn(answer.positions, determinedAfterMs = sentAtMs)
        return answer is RelayAnswer.Positions
    }

    private companion object {
        /** With the age limit of the planner below the age at which routers read the store themselves. */
        const val REPORT_PERIOD_MS = 400L
        const val CALL_TIMEOUT_MS = 500L
    }
}
