package yuccaflow.router.membership

import yuccaflow.control.ControlTable
import yuccaflow.control.LeaseTiming
import yuccaflow.control.RouterId
import yuccaflow.control.RouterLease

/** This router's id and its lease under that id. Makes the rules of [RouterLease] usable from several coroutines. */
internal class LeaseHolder(
    private val timing: LeaseTiming,
    private val newId: () -> RouterId,
) {
    private class Life(
        val id: RouterId,
        val lease: RouterLease,
    )

    private val lock = Any()
    private var table: ControlTable? = null

    @Volatile
    private var life = newLife()

    /** Id of this run of the router, until its lease is ended by others. */
    val id: RouterId get() = life.id

    /** Monotonic time until which this router may act. */
    val validUntilMs: Long get() = life.lease.validUntilMs

    /** Begins a new life under a new id, which holds no lease yet. */
    fun renew() = synchronized(lock) {
        life = newLife()
        table?.let { life.lease.tableUpdated(it) }
    }

    /** Takes in a table that this router has read. */
    fun tableRead(read: ControlTable) = synchronized(lock) {
        table = read
        life.lease.tableUpdated(read)
    }

    /** Takes in a read of `control` that [self] began at [beganMs] and that reached the end. */
    fun logConfirmed(self: RouterId, beganMs: Long) = update(self) { logConfirmed(beganMs) }

    /** Takes in the answer of [witness] to a heartbeat that [self] sent at [sentAtMs]. */
    fun heartbeatAnswered(self: RouterId, witness: RouterId, sentAtMs: Long, position: Long) =
        update(self) { heartbeatAnswered(witness, sentAtMs, position) }

    /** Only the log confirms the lease until a change of witnesses was read back. */
    fun witnessesChanging(self: RouterId) = update(self) { witnessChangeStarted() }

    /** The change of witnesses was certainly not appended. */
    fun witnessesKept(self: RouterId) = update(self) { witnessChangeFailed() }

    /** Ends the lease for good. */
    fun giveUp() = synchronized(lock) { life.lease.relinquish() }

    /** What an earlier life has learned says nothing about the present one. */
    private fun update(self: RouterId, change: RouterLease.() -> Unit) = synchronized(lock) { if (life.id == self) life.lease.change() }

    private fun newLife(): Life = newId().let { Life(it, RouterLease(it, timing)) }
}
