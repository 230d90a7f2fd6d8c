package yuccaflow.control

/** [RouterLease.validUntilMs] of a router that may not act. */
const val NO_LEASE_MS: Long = Long.MIN_VALUE

/**
 * The rules by which router [self] knows whether it may act. It may act while it holds a confirmation that began less than a lease ago:
 * a read of `control` that reached the end, or heartbeat answers from a majority of its recorded witnesses, none of which had read more
 * than it has itself. A standing suspicion blocks both. Once the lease has ended it never becomes valid again.
 *
 * The events must come from one coroutine at a time; [validUntilMs] may be read from any thread.
 */
class RouterLease(
    private val self: RouterId,
    private val timing: LeaseTiming = LeaseTiming(),
) {
    private class Answer(
        val sentAtMs: Long,
        val position: Long,
    )

    private var table: ControlTable = emptyControlTable()
    private var registered = false
    private var logBeganMs = NO_LEASE_MS
    private var heartbeatBeganMs = NO_LEASE_MS
    private val answers = mutableMapOf<RouterId, List<Answer>>()
    private var replacedEpoch: Long? = null

    /** True from the moment at which this router gave up its lease or read that it was ended. */
    @Volatile
    var hasEnded: Boolean = false
        private set

    /** Monotonic time until which this router may act; [NO_LEASE_MS] when it may not act. */
    @Volatile
    var validUntilMs: Long = NO_LEASE_MS
        private set

    /** Tells whether this router may send work and renew grants at [nowMs]. */
    fun mayAct(nowMs: Long): Boolean = nowMs < validUntilMs

    /** This router has applied all records up to the position of [newTable]. */
    fun tableUpdated(newTable: ControlTable) {
        table = newTable
        val entry = table.liveRouter(self)
        if (entry != null) registered = true
        if (entry == null && registered) hasEnded = true
        if (entry != null && replacedEpoch?.let { it != entry.epoch } == true) replacedEpoch = null
        refresh()
    }

    /**
     * A single read of `control` that was sent to the log service at [beganMs], directly or through a peer, returned all records up to the
     * end, and the table of the last [tableUpdated] holds them.
     */
    fun logConfirmed(beganMs: Long) {
        if (registered && !isSuspected()) logBeganMs = maxOf(logBeganMs, beganMs)
        refresh()
    }

    /**
     * [witness] answered the heartbeat that was sent at [sentAtMs]; [position] is what it has read of `control`. Answers of a witness that
     * holds no valid lease itself must not be given.
     */
    fun heartbeatAnswered(witness: RouterId, sentAtMs: Long, position: Long) {
        // An answer with a later position waits until this router has read as far; newer ones must not push it out before that.
        val kept = answers[witness].orEmpty().filter { it.sentAtMs > sentAtMs - timing.leaseMs }
        answers[witness] = kept + Answer(sentAtMs, position)
        refresh()
    }

    /**
     * This router is about to append a change of its own witnesses. Until it has read the change back only the log confirms its lease,
     * since readers may already count the new witnesses.
     */
    fun witnessChangeStarted() {
        replacedEpoch = table.routers[self]?.epoch
    }

    /** The change was certainly not appended, so that the recorded witnesses still count. */
    fun witnessChangeFailed() {
        replacedEpoch = null
        refresh()
    }

    /** This router ends its own lease; to be called before it appends [ControlRecord.RouterStopped]. */
    fun relinquish() {
        hasEnded = true
        refresh()
    }

    private fun isSuspected(): Boolean = table.routers[self]?.suspicion != null

    private fun refresh() {
        val entry = table.liveRouter(self)
        if (hasEnded || entry == null || entry.suspicion != null) {
            validUntilMs = NO_LEASE_MS
            return
        }
        if (replacedEpoch == null) heartbeatBeganMs = maxOf(heartbeatBeganMs, heartbeatConfirmation(entry.witnesses))
        val beganMs = maxOf(logBeganMs, heartbeatBeganMs)
        validUntilMs = if (beganMs == NO_LEASE_MS) NO_LEASE_MS else beganMs + timing.leaseMs
    }

    /** Time at which the latest confirmation by a majority of [witnesses] began, or [NO_LEASE_MS]. */
    private fun heartbeatConfirmation(witnesses: List<RouterId>): Long {
        answers.keys.retainAll(witnesses.toSet())
        if (witnesses.isEmpty()) return NO_LEASE_MS
        return witnesses
            .map { witness ->
                answers[witness].orEmpty().filter { it.position <= table.position }.maxOfOrNull { it.sentAtMs } ?: NO_LEASE_MS
            }.sortedDescending()[majorityOf(witnesses.size) - 1]
    }
}
