package yuccaflow.router.membership

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.TimerService
import yuccaflow.control.ControlRecord
import yuccaflow.control.ControlTable
import yuccaflow.control.RouterEntry
import yuccaflow.control.RouterId
import yuccaflow.control.encodeControlRecord
import yuccaflow.external.AppendResult
import yuccaflow.external.Streams
import yuccaflow.http.SocketAddress
import yuccaflow.router.peer.PeerClient
import yuccaflow.router.settings.RouterSettings

/** What all classes of this package work with. */
internal class MembershipContext(
    val settings: RouterSettings,
    val replica: Replica,
    val access: FailoverLogClient,
    val peers: PeerClient,
    val timer: TimerService,
    val lease: LeaseHolder,
) {
    val routerId: RouterId get() = lease.id

    /** Set by a planned stop: the router does not register again. */
    @Volatile
    var isStopping: Boolean = false

    val table: ControlTable get() = replica.state.value.table

    /** This router's entry, or null before it has read its registration. */
    val self: RouterEntry? get() = table.routers[routerId]

    /** The address at which [router] is recorded, or null when it is unknown. */
    fun addressOf(router: RouterId): SocketAddress? = table.routers[router]?.let { SocketAddress.parseOrNull(it.peerAddress) }

    private val appender = BatchingAppender { record ->
        access.append(Streams.CONTROL, encodeControlRecord(record), record::class.simpleName.orEmpty())
    }

    suspend fun append(record: ControlRecord): AppendResult = appender.append(record)

    /**
     * Appends what [record] gives again and again until [done] holds for the table that was read. Only for records of which a second
     * copy is void: an append whose answer was lost is then safe to repeat.
     */
    suspend fun appendUntil(done: (ControlTable) -> Boolean, record: () -> ControlRecord) {
        while (!done(table)) {
            val result = append(record())
            if (result is AppendResult.Appended) awaitRead(result.offset)
            if (!done(table)) timer.sleep(REPEAT_PAUSE_MS)
        }
    }

    /** Waits until the record at [offset] was read, but no longer than a second. */
    suspend fun awaitRead(offset: Long) {
        withTimeoutOrNull(READ_TIMEOUT_MS) { replica.state.first { it.table.position >= offset } }
    }

    private companion object {
        /** Short against the lease, so that a cancelled suspicion is recorded in time; long enough for 490 routers to repeat. */
        const val REPEAT_PAUSE_MS = 100L
        const val READ_TIMEOUT_MS = 1_000L
    }
}
