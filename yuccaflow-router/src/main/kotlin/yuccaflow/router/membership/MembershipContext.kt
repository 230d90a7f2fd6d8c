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

/** Collaborators and state shared by the classes of this package. */
internal class MembershipContext(
    val settings: RouterSettings,
    val replica: Replica,
    val logClient: FailoverLogClient,
    val peers: PeerClient,
    val timer: TimerService,
    val lease: LeaseHolder,
) {
    val routerId: RouterId get() = lease.id

    /** Set by a graceful shutdown, after which the router does not register again. */
    @Volatile
    var isStopping: Boolean = false

    val table: ControlTable get() = replica.state.value.table

    /** This router's entry, or null before it has read its registration. */
    val self: RouterEntry? get() = table.routers[routerId]

    /** Returns the peer address that [router] has registered, or null if the router is unknown. */
    fun addressOf(router: RouterId): SocketAddress? = table.routers[router]?.let { SocketAddress.parseOrNull(it.peerAddress) }

    private val appender = BatchingAppender { record ->
        logClient.append(Streams.CONTROL, encodeControlRecord(record), record::class.simpleName.orEmpty())
    }

    suspend fun append(record: ControlRecord): AppendResult = appender.append(record)

    /**
     * Appends [record] repeatedly until [isDone] holds for the table as it was read back. Only for records that have no
     * effect when they are appended a second time, so that an append whose answer was lost can safely be retried.
     */
    suspend fun appendUntil(isDone: (ControlTable) -> Boolean, record: () -> ControlRecord) {
        while (!isDone(table)) {
            val result = append(record())
            if (result is AppendResult.Appended) awaitRead(result.offset)
            if (!isDone(table)) timer.sleep(RETRY_DELAY_MS)
        }
    }

    /** Waits until the record at [offset] has been read, but at most [READ_TIMEOUT_MS]. */
    suspend fun awaitRead(offset: Long) {
        withTimeoutOrNull(READ_TIMEOUT_MS) { replica.state.first { it.table.position >= offset } }
    }

    private companion object {
        /**
         * Short enough to record the cancellation of a suspicion before the lease ends, and long enough that 490 routers, the largest
         * system to design for, can retry at the same time.
         */
        const val RETRY_DELAY_MS = 100L
        const val READ_TIMEOUT_MS = 1_000L
    }
}
