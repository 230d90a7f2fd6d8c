package yuccaflow.control

import kotlin.random.Random

/** A target's clock reading older than this is refreshed before it is used, since the clocks' rates differ. */
private const val MAX_CLOCK_AGE_MS = 500L
private const val LEAVING_RETRY_MS = 200L

/** One run of a router process in a [SimWorld]: reads the log, keeps its lease, is a witness, sends grants and moves ranges. */
internal class SimRouter(
    private val world: SimWorld,
    val id: RouterId,
    val zone: ZoneName,
    val host: String,
) {
    private val random: Random = world.random
    private val timing = LeaseTiming()
    private val rate = random.nextDouble(SLOWEST_CLOCK, FASTEST_CLOCK)
    private val offsetMs = random.nextLong(0, 100_000)
    private val lease = RouterLease(id, timing)
    private val tracker = FailureDetector(id, timing)
    private val orders = mutableMapOf<TargetId, Orders>()
    private var pausedUntilMs = 0L
    var table: ControlTable = emptyControlTable()
        private set
    var isAlive = true
        private set
    val isOver: Boolean get() = !isAlive || lease.hasEnded

    /** True when this run has nothing left to do. */
    val isFinished: Boolean get() = isOver && !table.isLive(id)

    /** What this router, as a primary, knows of its orders to one target. Times are local. */
    private class Orders(
        val primaryEpoch: Long,
        /** Until then grants of the primary before this one may stand or arrive. */
        val assumedUntilMs: Long,
    ) {
        var clock: Pair<Long, Long>? = null
        var handedOver = false
        val grantedUntilMs = mutableMapOf<KeyRange, Long>()
        val unansweredUntilMs = mutableMapOf<Int, Long>()
        var sent = 0

        /** Moves whose range the target gave up on a revocation that was sent while no grant was on its way. */
        val revoked = mutableSetOf<Long>()

        val lastUntilMs: Long get() = maxOf(assumedUntilMs, grantedUntilMs.values.maxOrNull() ?: 0)
    }

    fun start() {
        val peer = world.routers.filter { it !== this && it.isAlive }.randomOrNull(random)
        if (peer != null && random.nextBoolean()) {
            table = controlTable(snapshotOf(peer.table, ConfigState.Empty))
            world.tableRead(table)
            lease.tableUpdated(table)
            tracker.tableUpdated(localMs(), table)
        }
        every(60) { readLog() }
        every(timing.heartbeatMs) { beat() }
        every(50) { if (!lease.hasEnded) tracker.recordsToAppend(localMs(), table).forEach { world.append(this, it) } }
        every(25) { send() }
        every(300) { renewGrants() }
        every(100) { completeMoves() }
        every(150) { plan() }
        every(500) { maintainMembership() }
    }

    fun pause(durationMs: Long) {
        pausedUntilMs = maxOf(pausedUntilMs, world.nowMs + durationMs)
    }

    fun kill() {
        isAlive = false
    }

    /** A planned stop: once the leaving was read back nothing is sent any more, and the stop is recorded when no grant can stand. */
    fun stop() {
        if (isOver) return
        if (table.routers[id]?.stage == RouterStage.LEAVING) {
            val heldUntilMs = orders.values.maxOfOrNull { it.lastUntilMs } ?: 0
            lease.relinquish()
            run(maxOf(0, heldUntilMs + timing.driftMarginMs - localMs())) { world.append(this, ControlRecord.RouterStopped(id)) }
        } else {
            world.append(this, ControlRecord.RouterLeaving(id))
            run(LEAVING_RETRY_MS) { stop() }
        }
    }

    fun maySend(target: TargetId): Boolean {
        val primary = table.primaries[target]
        return isAlive && lease.mayAct(localMs()) && primary?.router == id && orders[target]?.handedOver == false
    }

    private fun localMs(): Long = offsetMs + (world.nowMs * rate).toLong()

    /** Runs [action] after [delayMs], later if the process is paused then, never if it was lost. */
    private fun run(delayMs: Long, action: () -> Unit) {
        world.after(delayMs) {
            if (isAlive && world.nowMs < pausedUntilMs) {
                run(pausedUntilMs - world.nowMs, action)
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
        world.after(world.delayMs()) {
            if (!world.reachesLog(this)) return@after
            val fromPosition = table.position
            val toPosition = minOf(world.log.size, fromPosition.toInt() + random.nextInt(1, 30))
            val records = world.log.subList(fromPosition.toInt(), toPosition).toList()
            val isEnd = fromPosition + records.size == world.log.size.toLong()
            run(world.delayMs()) { if (table.position == fromPosition) applyRead(records, beganMs.takeIf { isEnd }) }
        }
    }

    private fun applyRead(records: List<ControlRecord?>, confirmedFromMs: Long?) {
        for (record in records) {
            table = table.apply(table.position + 1, record).table
            lease.tableUpdated(table)
            tracker.tableUpdated(localMs(), table)
            noteOrders()
        }
        if (records.isNotEmpty()) world.tableRead(table)
        confirmedFromMs?.let { lease.logConfirmed(it) }
    }

    private fun noteOrders() {
        orders.keys.retainAll { table.primaries[it]?.router == id }
        for (primary in table.primaries.values.filter { it.router == id }) {
            if (orders[primary.target]?.primaryEpoch == primary.epoch) continue
            // The primary before this one may have handed over while its grants stood.
            orders[primary.target] = Orders(primary.epoch, assumedUntilMs = localMs() + timing.leaseMs + timing.driftMarginMs)
        }
    }

    private fun beat() {
        val sentAtMs = localMs()
        for (witness in table.routers[id]?.witnesses.orEmpty()) {
            val peer = world.routers.firstOrNull { it.isAlive && it.id == witness } ?: continue
            world.after(world.delayMs()) {
                if (!world.isCut(this, peer)) peer.run(0) { peer.answerHeartbeat(this, sentAtMs) }
            }
        }
    }

    private fun answerHeartbeat(from: SimRouter, sentAtMs: Long) {
        tracker.heartbeatReceived(from.id, localMs())
        if (!lease.mayAct(localMs())) return
        val position = table.position
        world.after(world.delayMs()) {
            if (!world.isCut(this, from)) from.run(0) { from.heartbeatAnswered(this, sentAtMs, position) }
        }
    }

    private fun heartbeatAnswered(witness: SimRouter, sentAtMs: Long, position: Long) {
        lease.heartbeatAnswered(witness.id, sentAtMs, position)
        if (position <= table.position) return
        // Catches up through the witness, which keeps the records that it has read.
        world.after(world.delayMs()) {
            if (world.isCut(this, witness) || !witness.isAlive || position <= table.position) return@after
            val fromPosition = table.position
            val records = world.log.subList(fromPosition.toInt(), position.toInt()).toList()
            run(world.delayMs()) { if (!world.isCut(witness, this) && table.position == fromPosition) applyRead(records, null) }
        }
    }

    /** Sends work: the check directly before the send is what is tested. */
    private fun send() {
        for (target in world.targets.keys) if (maySend(target)) world.acting(this, target)
    }

    private fun renewGrants() {
        for ((target, known) in orders.toMap()) {
            if (!maySend(target)) continue
            val clock = known.clock?.takeIf { localMs() - it.second <= MAX_CLOCK_AGE_MS }
            val ranges = table.ranges(SERVICE).filter { it.owner == target && it.move == null }.map { it.range }
            val untilMs = lease.validUntilMs
            val number = known.sent++
            if (clock != null) {
                ranges.forEach { known.grantedUntilMs[it] = maxOf(untilMs, known.grantedUntilMs[it] ?: 0) }
                known.unansweredUntilMs[number] = untilMs
            }
            order(target) {
                if (clock != null) it.grant(ranges, clock.first + (untilMs - clock.second))
                val clockMs = it.clockMs()
                return@order {
                    known.clock = clockMs to localMs()
                    known.unansweredUntilMs -= number
                }
            }
        }
    }

    /** Carries [effect] to [target] and what it returns back to this router. */
    private fun order(target: TargetId, effect: (SimTarget) -> (() -> Unit)) {
        world.after(world.delayMs()) {
            if (!world.reachesTargets(this)) return@after
            val answer = effect(world.targets.getValue(target))
            world.after(world.delayMs()) { if (world.reachesTargets(this)) run(0, answer) }
        }
    }

    private fun completeMoves() {
        for (entry in table.ranges(SERVICE)) {
            val move = entry.move ?: continue
            val primary = table.primaries[entry.owner]
            val known = orders[entry.owner]
            val releasesForEnded = primary != null && !table.isLive(primary.router) && lease.mayAct(localMs()) && random.nextInt(10) == 0
            if (known != null && primary?.router == id && !known.handedOver && lease.mayAct(localMs())) {
                releaseOwn(entry, move, known)
            } else if (releasesForEnded) {
                world.append(this, ControlRecord.RangeReleased(SERVICE, entry.range, move.epoch, id))
            }
        }
    }

    private fun releaseOwn(entry: RangeEntry, move: MoveEntry, known: Orders) {
        val settledMs = localMs() - timing.driftMarginMs
        val isExpired = settledMs > maxOf(known.assumedUntilMs, known.grantedUntilMs[entry.range] ?: 0)
        val isRevoked = settledMs > known.assumedUntilMs && move.epoch in known.revoked
        if (isExpired || isRevoked) world.append(this, ControlRecord.RangeReleased(SERVICE, entry.range, move.epoch, id))
        val isQuiet = known.unansweredUntilMs.values.none { it >= settledMs }
        order(entry.owner) { target ->
            target.revoke(entry.range)
            return@order { if (isQuiet) known.revoked += move.epoch }
        }
    }

    private fun plan() {
        if (!lease.mayAct(localMs())) return
        val live = table.routers.values.filter { it.stage == RouterStage.LIVE }
        for (target in world.targets.keys) {
            val primary = table.primaries[target]
            if (primary == null || (!table.isLive(primary.router) && random.nextInt(4) == 0)) {
                val chosen = live.randomOrNull(random) ?: continue
                world.append(this, ControlRecord.PrimaryAssigned(target, chosen.id, primary?.epoch ?: NO_EPOCH, id))
            } else if (primary.router == id && !world.isCalm && orders[target]?.handedOver == false && random.nextInt(60) == 0) {
                orders.getValue(target).handedOver = true
                world.append(this, ControlRecord.PrimaryAssigned(target, live.random(random).id, primary.epoch, id))
            }
        }
        planRanges()
    }

    private fun planRanges() {
        if (table.ranges(SERVICE).isEmpty() && table.primaries.isNotEmpty()) {
            val bounds = listOf("", "f", "m", "t", null)
            for (index in 0 until SIM_TARGETS) {
                val range = KeyRange(bounds[index].orEmpty(), bounds[index + 1])
                world.append(this, ControlRecord.RangeAssigned(SERVICE, range, TargetId("t$index")))
            }
        }
        val entry = table.ranges(SERVICE).randomOrNull(random)?.takeIf { !world.isCalm } ?: return
        val move = entry.move
        val to = world.targets.keys.random(random)
        val record =
            when (random.nextInt(if (move == null) 12 else 40)) {
                0 -> if (move == null) ControlRecord.MoveStarted(SERVICE, entry.range, entry.epoch, to) else null
                1 -> if (move != null) ControlRecord.MoveCancelled(SERVICE, entry.range, move.epoch) else null
                2 -> move?.let { ControlRecord.RangeReleased(SERVICE, entry.range, it.epoch, id).takeIf { !isPrimaryOf(entry.owner) } }
                else -> null
            }
        // A release by a router that is not the primary of the owner must be void while that primary lives.
        if (record is ControlRecord.RangeReleased && !isPrimaryLive(entry.owner)) return
        record?.let { world.append(this, it) }
    }

    private fun isPrimaryOf(target: TargetId): Boolean = table.primaries[target]?.router == id

    private fun isPrimaryLive(target: TargetId): Boolean = table.primaries[target]?.let { table.isLive(it.router) } ?: false

    private fun maintainMembership() {
        // While the log cannot be reached an append certainly fails, so that no change is under way.
        if (lease.hasEnded || !world.reachesLog(this)) return
        val entry = table.routers[id]
        val wanted = chooseWitnesses(id, zone, table.routers.values)
        if (entry == null) {
            world.append(this, ControlRecord.RouterRegistered(id, zone, host, "address-$host", "", "", wanted))
        } else if (table.isLive(id) && entry.suspicion == null && wanted != entry.witnesses) {
            lease.witnessChangeStarted()
            world.append(this, ControlRecord.WitnessesChanged(id, entry.epoch, wanted))
        }
    }
}
