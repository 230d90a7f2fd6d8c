package yuccaflow.control

import kotlin.random.Random

/** Maximum age of a target's clock reading that is used for a grant, since clock rates differ. */
private const val MAX_CLOCK_AGE_MS = 500L
private const val LEAVING_RETRY_MS = 200L

/** One router process in a [SimulatedCluster]: keeps its lease, is a witness of others, sends requests and grants, and moves ranges. */
internal class SimulatedRouter(
    private val cluster: SimulatedCluster,
    val id: RouterId,
    val zone: ZoneName,
    val host: String,
) {
    private val random: Random = cluster.random
    private val timing = LeaseTiming()
    private val rate = random.nextDouble(SLOWEST_CLOCK, FASTEST_CLOCK)
    private val offsetMs = random.nextLong(0, 100_000)
    private val lease = RouterLease(id, timing)
    private val failureDetector = FailureDetector(id, timing)
    private val targetStates = mutableMapOf<TargetId, TargetState>()
    private var pausedUntilMs = 0L
    var table: ControlTable = emptyControlTable()
        private set
    var isAlive = true
        private set

    /** True if this process is gone or its lease has ended. */
    val isOver: Boolean get() = !isAlive || lease.hasEnded

    /** True if this router is over and its control table no longer lists it as live. */
    val isFinished: Boolean get() = isOver && !table.isLive(id)

    /** What this router, as the primary, knows about one target and its grants. Times are local. */
    private class TargetState(
        val primaryEpoch: Long,
        /** Time until which grants of the previous primary may be valid or may still arrive. */
        val previousGrantsUntilMs: Long,
    ) {
        var clock: Pair<Long, Long>? = null
        var isHandedOver = false
        val expiryByRangeMs = mutableMapOf<KeyRange, Long>()
        val unansweredUntilMs = mutableMapOf<Int, Long>()
        var sentCount = 0

        /** Epochs of moves whose range the target has revoked, on a revocation sent while no grant was in flight. */
        val revokedMoves = mutableSetOf<Long>()

        val lastUntilMs: Long get() = maxOf(previousGrantsUntilMs, expiryByRangeMs.values.maxOrNull() ?: 0)
    }

    fun start() {
        val peer = cluster.routers.filter { it !== this && it.isAlive }.randomOrNull(random)
        if (peer != null && random.nextBoolean()) {
            table = controlTable(snapshotOf(peer.table, ConfigState.Empty))
            cluster.tableUpdated(table)
            lease.tableUpdated(table)
            failureDetector.tableUpdated(localMs(), table)
        }
        every(60) { readLog() }
        every(timing.heartbeatMs) { sendHeartbeats() }
        every(50) { if (!lease.hasEnded) failureDetector.recordsToAppend(localMs(), table).forEach { cluster.append(this, it) } }
        every(25) { sendRequests() }
        every(300) { renewGrants() }
        every(100) { completeMoves() }
        every(150) { plan() }
        every(500) { maintainMembership() }
    }

    fun pause(durationMs: Long) {
        pausedUntilMs = maxOf(pausedUntilMs, cluster.nowMs + durationMs)
    }

    fun kill() {
        isAlive = false
    }

    /**
     * Starts a planned stop. Once this router has read back its [ControlRecord.RouterLeaving] it sends nothing more, and it appends
     * [ControlRecord.RouterStopped] when no grant can be valid any longer.
     */
    fun stop() {
        if (isOver) return
        if (table.routers[id]?.stage == RouterStage.LEAVING) {
            val grantedUntilMs = targetStates.values.maxOfOrNull { it.lastUntilMs } ?: 0
            lease.relinquish()
            run(maxOf(0, grantedUntilMs + timing.driftMarginMs - localMs())) { cluster.append(this, ControlRecord.RouterStopped(id)) }
        } else {
            cluster.append(this, ControlRecord.RouterLeaving(id))
            run(LEAVING_RETRY_MS) { stop() }
        }
    }

    fun maySend(target: TargetId): Boolean {
        val primary = table.primaries[target]
        return isAlive && lease.isValidAt(localMs()) && primary?.router == id && targetStates[target]?.isHandedOver == false
    }

    private fun localMs(): Long = offsetMs + (cluster.nowMs * rate).toLong()

    /** Runs [action] after [delayMs]; after the end of the pause if the process is paused then, and never if it is gone. */
    private fun run(delayMs: Long, action: () -> Unit) {
        cluster.after(delayMs) {
            if (isAlive && cluster.nowMs < pausedUntilMs) {
                run(pausedUntilMs - cluster.nowMs, action)
            } else if (isAlive) {
                action()
            }
        }
    }

    private fun every(periodMs: Long, action: () -> Unit) {
        run(random.nextLong(1, periodMs + 1)) {
            action()
            every(periodMs, action)
        }
    }

    private fun readLog() {
        val beganMs = localMs()
        cluster.after(cluster.delayMs()) {
            if (!cluster.reachesLog(this)) return@after
            val fromPosition = table.position
            val toPosition = minOf(cluster.log.size, fromPosition.toInt() + random.nextInt(1, 30))
            val records = cluster.log.subList(fromPosition.toInt(), toPosition).toList()
            val isEnd = fromPosition + records.size == cluster.log.size.toLong()
            run(cluster.delayMs()) { if (table.position == fromPosition) applyRead(records, beganMs.takeIf { isEnd }) }
        }
    }

    private fun applyRead(records: List<ControlRecord?>, confirmedFromMs: Long?) {
        for (record in records) {
            table = table.apply(table.position + 1, record).table
            lease.tableUpdated(table)
            failureDetector.tableUpdated(localMs(), table)
            updateTargetStates()
        }
        if (records.isNotEmpty()) cluster.tableUpdated(table)
        confirmedFromMs?.let { lease.logConfirmed(it) }
    }

    private fun updateTargetStates() {
        targetStates.keys.retainAll { table.primaries[it]?.router == id }
        for (primary in table.primaries.values.filter { it.router == id }) {
            if (targetStates[primary.target]?.primaryEpoch == primary.epoch) continue
            // The previous primary may have handed the target over while its grants were still valid.
            targetStates[primary.target] =
                TargetState(primary.epoch, previousGrantsUntilMs = localMs() + timing.leaseMs + timing.driftMarginMs)
        }
    }

    private fun sendHeartbeats() {
        val sentAtMs = localMs()
        for (witness in table.routers[id]?.witnesses.orEmpty()) {
            val peer = cluster.routers.firstOrNull { it.isAlive && it.id == witness } ?: continue
            cluster.after(cluster.delayMs()) {
                if (!cluster.isBlocked(this, peer)) peer.run(0) { peer.answerHeartbeat(this, sentAtMs) }
            }
        }
    }

    private fun answerHeartbeat(from: SimulatedRouter, sentAtMs: Long) {
        failureDetector.heartbeatReceived(from.id, localMs())
        if (!lease.isValidAt(localMs())) return
        val position = table.position
        cluster.after(cluster.delayMs()) {
            if (!cluster.isBlocked(this, from)) from.run(0) { from.heartbeatAnswered(this, sentAtMs, position) }
        }
    }

    private fun heartbeatAnswered(witness: SimulatedRouter, sentAtMs: Long, position: Long) {
        lease.heartbeatAnswered(witness.id, sentAtMs, position)
        if (position <= table.position) return
        // The witness has read further: read the missing records from it.
        cluster.after(cluster.delayMs()) {
            if (cluster.isBlocked(this, witness) || !witness.isAlive || position <= table.position) return@after
            val fromPosition = table.position
            val records = cluster.log.subList(fromPosition.toInt(), position.toInt()).toList()
            run(cluster.delayMs()) { if (!cluster.isBlocked(witness, this) && table.position == fromPosition) applyRead(records, null) }
        }
    }

    /** Sends a request to each target to which this router may send; the check directly before is what is tested. */
    private fun sendRequests() {
        for (target in cluster.targets.keys) if (maySend(target)) cluster.requestSent(this, target)
    }

    private fun renewGrants() {
        for ((target, state) in targetStates.toMap()) {
            if (!maySend(target)) continue
            val clock = state.clock?.takeIf { localMs() - it.second <= MAX_CLOCK_AGE_MS }
            val ranges = table.ranges(SERVICE).filter { it.owner == target && it.move == null }.map { it.range }
            val untilMs = lease.validUntilMs
            val number = state.sentCount++
            if (clock != null) {
                ranges.forEach { state.expiryByRangeMs[it] = maxOf(untilMs, state.expiryByRangeMs[it] ?: 0) }
                state.unansweredUntilMs[number] = untilMs
            }
            call(target) {
                if (clock != null) it.grant(ranges, clock.first + (untilMs - clock.second))
                val clockMs = it.clockMs()
                return@call {
                    state.clock = clockMs to localMs()
                    state.unansweredUntilMs -= number
                }
            }
        }
    }

    /** Sends [effect] to [target], and runs what it returns on this router as the answer. */
    private fun call(target: TargetId, effect: (SimulatedTarget) -> (() -> Unit)) {
        cluster.after(cluster.delayMs()) {
            if (!cluster.reachesTargets(this)) return@after
            val answer = effect(cluster.targets.getValue(target))
            cluster.after(cluster.delayMs()) { if (cluster.reachesTargets(this)) run(0, answer) }
        }
    }

    private fun completeMoves() {
        for (entry in table.ranges(SERVICE)) {
            val move = entry.move ?: continue
            val primary = table.primaries[entry.owner]
            val state = targetStates[entry.owner]
            val releasesForEnded = primary != null && !table.isLive(primary.router) && lease.isValidAt(localMs()) && random.nextInt(10) == 0
            if (state != null && primary?.router == id && !state.isHandedOver && lease.isValidAt(localMs())) {
                releaseOwn(entry, move, state)
            } else if (releasesForEnded) {
                cluster.append(this, ControlRecord.RangeReleased(SERVICE, entry.range, move.epoch, id))
            }
        }
    }

    private fun releaseOwn(entry: RangeEntry, move: MoveEntry, state: TargetState) {
        val settledMs = localMs() - timing.driftMarginMs
        val isExpired = settledMs > maxOf(state.previousGrantsUntilMs, state.expiryByRangeMs[entry.range] ?: 0)
        val isRevoked = settledMs > state.previousGrantsUntilMs && move.epoch in state.revokedMoves
        if (isExpired || isRevoked) cluster.append(this, ControlRecord.RangeReleased(SERVICE, entry.range, move.epoch, id))
        val hasNoGrantInFlight = state.unansweredUntilMs.values.none { it >= settledMs }
        call(entry.owner) { target ->
            target.revoke(entry.range)
            return@call { if (hasNoGrantInFlight) state.revokedMoves += move.epoch }
        }
    }

    private fun plan() {
        if (!lease.isValidAt(localMs())) return
        val live = table.routers.values.filter { it.stage == RouterStage.LIVE }
        for (target in cluster.targets.keys) {
            val primary = table.primaries[target]
            if (primary == null || (!table.isLive(primary.router) && random.nextInt(4) == 0)) {
                val chosen = live.randomOrNull(random) ?: continue
                cluster.append(this, ControlRecord.PrimaryAssigned(target, chosen.id, primary?.epoch ?: NO_EPOCH, id))
            } else if (primary.router == id && !cluster.isCalm && targetStates[target]?.isHandedOver == false && random.nextInt(60) == 0) {
                targetStates.getValue(target).isHandedOver = true
                cluster.append(this, ControlRecord.PrimaryAssigned(target, live.random(random).id, primary.epoch, id))
            }
        }
        planRanges()
    }

    private fun planRanges() {
        if (table.ranges(SERVICE).isEmpty() && table.primaries.isNotEmpty()) {
            val bounds = listOf("", "f", "m", "t", null)
            for (index in 0 until TARGET_COUNT) {
                val range = KeyRange(bounds[index].orEmpty(), bounds[index + 1])
                cluster.append(this, ControlRecord.RangeAssigned(SERVICE, range, TargetId("t$index")))
            }
        }
        val entry = table.ranges(SERVICE).randomOrNull(random)?.takeIf { !cluster.isCalm } ?: return
        val move = entry.move
        val to = cluster.targets.keys.random(random)
        val record =
            when (random.nextInt(if (move == null) 12 else 40)) {
                0 -> if (move == null) ControlRecord.MoveStarted(SERVICE, entry.range, entry.epoch, to) else null
                1 -> if (move != null) ControlRecord.MoveCancelled(SERVICE, entry.range, move.epoch) else null
                2 -> move?.let { ControlRecord.RangeReleased(SERVICE, entry.range, it.epoch, id).takeIf { !isPrimaryOf(entry.owner) } }
                else -> null
            }
        // Another router's release is appended only while the owner's primary is live, where it must be void.
        if (record is ControlRecord.RangeReleased && !isPrimaryLive(entry.owner)) return
        record?.let { cluster.append(this, it) }
    }

    private fun isPrimaryOf(target: TargetId): Boolean = table.primaries[target]?.router == id

    private fun isPrimaryLive(target: TargetId): Boolean = table.primaries[target]?.let { table.isLive(it.router) } ?: false

    private fun maintainMembership() {
        // While the log is unreachable an append certainly fails, so no change of witnesses is in progress.
        if (lease.hasEnded || !cluster.reachesLog(this)) return
        val entry = table.routers[id]
        val wanted = chooseWitnesses(id, zone, table.routers.values)
        if (entry == null) {
            cluster.append(this, ControlRecord.RouterRegistered(id, zone, host, "address-$host", "", "", wanted))
        } else if (table.isLive(id) && entry.suspicion == null && wanted != entry.witnesses) {
            lease.witnessChangeStarted()
            cluster.append(this, ControlRecord.WitnessesChanged(id, entry.epoch, wanted))
        }
    }
}
