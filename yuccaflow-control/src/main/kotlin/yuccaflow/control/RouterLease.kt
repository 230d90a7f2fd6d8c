package yuccaflow.control

/** Value of [RouterLease.validUntilMs] while the router holds no valid lease. */
const val NO_LEASE_MS: Long = Long.MIN_VALUE

/**
 * The lease of router [self]. Only with a valid lease may the router send requests that rely on it being the sole sender, and renew
 * grants.
 *
 * The lease is valid for [LeaseTiming.leaseMs] from the start of its latest confirmation. A confirmation is either a read of `control` that
 * reached the end, or heartbeat answers from a majority of the recorded witnesses, none of which had read further than this router. An
 * uncancelled suspicion in the control table makes the lease invalid. Once the lease has ended it never becomes valid again.
 *
 * Methods that report events must be called by one thread at a time; [validUntilMs] and [hasEnded] may be read from any thread. All times
 * are local monotonic time.
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
    private var isRegistered = false
    private var logConfirmedFromMs = NO_LEASE_MS
    private var heartbeatConfirmedFromMs = NO_LEASE_MS
    private val answers = mutableMapOf<RouterId, List<Answer>>()

    /** Epoch of this router's entry before a change of its witnesses that has not been read back; null if there is none. */
    private var pendingChangeEpoch: Long? = null

    /** True once this router has relinquished its lease or has read that it was ended. */
    @Volatile
    var hasEnded: Boolean = false
        private set

    /** Monotonic time until which the lease is valid; [NO_LEASE_MS] if it is not valid. */
    @Volatile
    var validUntilMs: Long = NO_LEASE_MS
        private set

    /** Returns whether the lease is valid at [nowMs]. */
    fun isValidAt(nowMs: Long): Boolean = nowMs < validUntilMs

    /** Reports that this router has applied all records up to the position of [newTable]. */
    fun tableUpdated(newTable: ControlTable) {
        table = newTable
        val entry = table.liveRouter(self)
        if (entry != null) isRegistered = true
        if (entry == null && isRegistered) hasEnded = true
        if (entry != null && pendingChangeEpoch?.let { it != entry.epoch } == true) pendingChangeEpoch = null
        refresh()
    }

    /**
     * Reports that a single read of `control`, sent to the log service at [beganMs] directly or through a peer, returned all records up to
     * the end. The table of the last [tableUpdated] must include them.
     */
    fun logConfirmed(beganMs: Long) {
        if (isRegistered && !isSuspected()) logConfirmedFromMs = maxOf(logConfirmedFromMs, beganMs)
        refresh()
    }

    /**
     * Reports that [witness] answered the heartbeat sent at [sentAtMs]; [position] is the position up to which it has read `control`.
     * Answers of a witness that holds no valid lease itself must not be reported.
     */
    fun heartbeatAnswered(witness: RouterId, sentAtMs: Long, position: Long) {
        // An answer with a later position counts only once this router has read as far, so newer answers must not replace it.
        val kept = answers[witness].orEmpty().filter { it.sentAtMs > sentAtMs - timing.leaseMs }
        answers[witness] = kept + Answer(sentAtMs, position)
        refresh()
    }

    /**
     * Reports that this router is about to append a change of its own witnesses. Until it has read the change back, only reads of the log
     * confirm the lease, since other readers may already count the new witnesses.
     */
    fun witnessChangeStarted() {
        pendingChangeEpoch = table.routers[self]?.epoch
    }

    /** Reports that the change of witnesses was certainly not appended, so that the recorded witnesses still count. */
    fun witnessChangeFailed() {
        pendingChangeEpoch = null
        refresh()
    }

    /** Ends the lease for good. Must be called before this router appends [ControlRecord.RouterStopped]. */
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
        if (pendingChangeEpoch == null) heartbeatConfirmedFromMs = maxOf(heartbeatConfirmedFromMs, majorityConfirmedFromMs(entry.witnesses))
        val beganMs = maxOf(logConfirmedFromMs, heartbeatConfirmedFromMs)
        validUntilMs = if (beganMs == NO_LEASE_MS) NO_LEASE_MS else beganMs + timing.leaseMs
    }

    /** Start of the latest confirmation by a majority of [witnesses], or [NO_LEASE_MS] if there is none. */
    private fun majorityConfirmedFromMs(witnesses: List<RouterId>): Long {
        answers.keys.retainAll(witnesses.toSet())
        if (witnesses.isEmpty()) return NO_LEASE_MS
        return witnesses
            .map { witness ->
                answers[witness].orEmpty().filter { it.position <= table.position }.maxOfOrNull { it.sentAtMs } ?: NO_LEASE_MS
            }.sortedDescending()[majorityOf(witnesses.size) - 1]
    }
}
