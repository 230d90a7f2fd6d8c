package yuccaflow.entry.store

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import yuccaflow.base.TimerService
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events
import kotlin.random.Random

/**
 * Receives the records of a stream in the order of their offsets.
 *
 * `writtenAfterMs` is the start of the last read that reached the end of the stream before these records: the earliest time at which the
 * new ones among them may have been written, or null if they may be older than this process.
 */
internal interface StreamListener {
    /** Replaces the entire state with [records]. */
    fun onSnapshot(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long? = null)

    /** Applies the next [records]. The stream has then been read up to [endOffset]. */
    fun onRecords(records: List<KeyedRecord>, endOffset: Long, writtenAfterMs: Long? = null)
}

/**
 * Timing of a [StreamFollower].
 *
 * @property waitMs the longest wait for records in one long-polling read. Each call costs money, even if it returns no records.
 * @property catchUpWaitMs the longest wait of the first read after a snapshot or after records. A read that arrives while an append is
 * being executed may miss the appended records until its wait ends, and appends often come in groups.
 * @property recheckAfterMs time after the start of a longer wait at which the stream is read again without a wait, because the wait misses
 * an append that was being executed when it began; null if a missed record may be read late.
 * @property batchDelayMs delay after records have arrived, so that one call can return several that follow.
 * @property initialBackoffMs delay after the first failed call. It doubles with each further failure up to [maxBackoffMs], plus jitter.
 * @property minRefreshIntervalMs the shortest time between two waits that are ended by [StreamFollower.refresh].
 */
internal data class FollowerSettings(
    val waitMs: Long = 25_000,
    val catchUpWaitMs: Long = 700,
    val recheckAfterMs: Long? = null,
    val batchDelayMs: Long = 50,
    val initialBackoffMs: Long = 150,
    val maxBackoffMs: Long = 1_000,
    val minRefreshIntervalMs: Long = 300,
) {
    companion object {
        /** Longer than an append takes, also while the store is slow. */
        private const val RECHECK_AFTER_MS = 400L

        /**
         * Settings for a stream whose records take effect within two seconds. The first wait after records is short also where waits are
         * rechecked, because a wait may miss an append that comes after its recheck.
         */
        fun prompt(batchDelayMs: Long) = FollowerSettings(batchDelayMs = batchDelayMs, recheckAfterMs = RECHECK_AFTER_MS)
    }
}

/** Passes the records of one stream to a listener: first a snapshot, then the following records as long-polling reads return them. */
internal class StreamFollower(
    private val store: KeyedStore,
    val stream: KeyedStream,
    private val timer: TimerService,
    private val events: EventLog,
    private val listener: StreamListener,
    private val settings: () -> FollowerSettings,
) {
    /** When the last read that reached the end of the stream was started, or null if there was none. */
    var confirmedAtMs: Long? = null
        private set

    /** When a call to the store last failed, or null if none has. */
    var failedAtMs: Long? = null
        private set

    private var consecutiveFailures = 0
    private val refreshRequests = Channel<Unit>(Channel.CONFLATED)
    private var refreshedAtMs = Long.MIN_VALUE / 2

    /** Ends the current wait and reads at once. To be called if there is evidence that a record was missed. */
    fun refresh() {
        if (timer.nowMs() - refreshedAtMs < settings().minRefreshIntervalMs) return
        refreshedAtMs = timer.nowMs()
        refreshRequests.trySend(Unit)
    }

    /** Follows the stream until cancelled. */
    suspend fun run() {
        while (true) {
            val end = takeSnapshot()
            follow(end)
        }
    }

    private suspend fun takeSnapshot(): Long {
        while (true) {
            val startedAtMs = timer.nowMs()
            when (val result = store.snapshot(stream)) {
                is SnapshotResult.Snapshot -> {
                    onAnswered(startedAtMs, isAtEnd = false)
                    events.log(Events.STREAM_SNAPSHOT) {
                        put("stream", stream.name)
                        put("records", result.records.size)
                        put("end_offset", result.endOffset)
                    }
                    listener.onSnapshot(result.records, result.endOffset, confirmedAtMs)
                    return result.endOffset
                }
                is SnapshotResult.Failed -> onFailed(result.reason)
            }
        }
    }

    /** Reads the records from [from] on. Returns when the store no longer has the next ones, so that a new snapshot is needed. */
    private suspend fun follow(from: Long) {
        var next = from
        var isCaughtUp = false
        while (true) {
            val startedAtMs = timer.nowMs()
            val waitMs = if (isCaughtUp) settings().waitMs else minOf(settings().waitMs, settings().catchUpWaitMs)
            when (val result = readOrRefresh(next, waitMs)) {
                is StreamReadResult.Read -> {
                    // An answer without records may report a later end of the stream. The records before that end are yet to be read.
                    next = result.records.lastOrNull()?.let { it.offset + 1 } ?: next
                    listener.onRecords(result.records, next, confirmedAtMs)
                    onAnswered(startedAtMs, isAtEnd = next >= result.endOffset)
                    isCaughtUp = result.records.isEmpty()
                    if (!isCaughtUp) timer.sleep(settings().batchDelayMs)
                }
                StreamReadResult.Expired -> {
                    events.log(Events.STREAM_EXPIRED) {
                        put("stream", stream.name)
                        put("offset", next)
                    }
                    return
                }
                is StreamReadResult.Failed -> onFailed(result.reason)
            }
        }
    }

    private suspend fun readOrRefresh(from: Long, waitMs: Long): StreamReadResult = coroutineScope {
        val call = async { store.read(stream, from, waitMs) }
        val recheck = async { readMissed(from, waitMs) }
        select {
            call.onAwait { it }
            recheck.onAwait { it }
            refreshRequests.onReceive {
                call.cancel()
                store.read(stream, from, 0)
            }
        }.also {
            call.cancel()
            recheck.cancel()
        }
    }

    /** Returns what a wait from [from] on that has just begun has missed. Suspends until cancelled if it has missed nothing. */
    private suspend fun readMissed(from: Long, waitMs: Long): StreamReadResult {
        val recheckAfterMs = settings().recheckAfterMs
        if (recheckAfterMs == null || waitMs <= recheckAfterMs) awaitCancellation()
        timer.sleep(recheckAfterMs)
        val startedAtMs = timer.nowMs()
        val result = store.read(stream, from, 0)
        if (result !is StreamReadResult.Read) awaitCancellation()
        if (result.records.isNotEmpty()) return result
        if (result.endOffset <= from) confirmedAtMs = startedAtMs
        awaitCancellation()
    }

    private fun onAnswered(startedAtMs: Long, isAtEnd: Boolean) {
        if (isAtEnd) confirmedAtMs = startedAtMs
        if (consecutiveFailures == 0) return
        events.log(Events.STORE_REGAINED) {
            put("stream", stream.name)
            put("failures", consecutiveFailures)
        }
        consecutiveFailures = 0
    }

    private suspend fun onFailed(reason: String) {
        failedAtMs = timer.nowMs()
        if (consecutiveFailures++ == 0) {
            events.log(Events.STORE_LOST) {
                put("stream", stream.name)
                put("reason", reason)
            }
        }
        val doublings = (consecutiveFailures - 1).coerceAtMost(MAX_DOUBLINGS)
        val backoffMs = (settings().initialBackoffMs shl doublings).coerceAtMost(settings().maxBackoffMs)
        timer.sleep(backoffMs + Random.nextLong(backoffMs / 2 + 1))
    }

    private companion object {
        const val MAX_DOUBLINGS = 8
    }
}
