package yuccaflow.router.membership

import yuccaflow.control.ControlTable
import yuccaflow.control.LeaseTiming
import yuccaflow.control.RouterId
import yuccaflow.control.RouterLease

/** Holds this router's id and its lease under that id. Thread-safe wrapper of [RouterLease]. */
internal class LeaseHolder(
    private val timing: LeaseTiming,
    private val newId: () -> RouterId,
) {
    /** One run of this router under one id. */
    private class Incarnation(
        val id: RouterId,
        val lease: RouterLease,
    )

    private val lock = Any()
    private var table: ControlTable? = null

    @Volatile
    private var incarnation = newIncarnation()

    /** Id of this router; changes when other routers have ended its lease. */
    val id: RouterId get() = incarnation.id

    /** Local monotonic time until which the lease is valid. */
    val validUntilMs: Long get() = incarnation.lease.validUntilMs

    /** Switches to a new id, which holds no lease yet. */
    fun startNewIncarnation() = synchronized(lock) {
        incarnation = newIncarnation()
        table?.let { incarnation.lease.tableUpdated(it) }
    }

    /** Updates the lease from a control table that this router has read. */
    fun tableUpdated(read: ControlTable) = synchronized(lock) {
        table = read
        incarnation.lease.tableUpdated(read)
    }

    /** Records that [self] has read `control` up to its end, in a read that began at [beganMs]. */
    fun logConfirmed(self: RouterId, beganMs: Long) = update(self) { logConfirmed(beganMs) }

    /** Records the answer of [witness] to a heartbeat that [self] sent at [sentAtMs]. */
    fun heartbeatAnswered(self: RouterId, witness: RouterId, sentAtMs: Long, position: Long) =
        update(self) { heartbeatAnswered(witness, sentAtMs, position) }

    /** Records that [self] is changing its witnesses. Until the change has been read back, only the log confirms the lease. */
    fun witnessChangeStarted(self: RouterId) = update(self) { witnessChangeStarted() }

    /** Records that the change of witnesses was certainly not appended. */
    fun witnessChangeFailed(self: RouterId) = update(self) { witnessChangeFailed() }

    /** Ends the lease permanently. */
    fun relinquish() = synchronized(lock) { incarnation.lease.relinquish() }

    /** Applies [change] unless the id has changed since: confirmations for a former id do not apply to the current one. */
    private fun update(self: RouterId, change: RouterLease.() -> Unit) = synchronized(lock) {
        if (incarnation.id == self) incarnation.lease.change()
    }

    private fun newIncarnation(): Incarnation = newId().let { Incarnation(it, RouterLease(it, timing)) }
}
