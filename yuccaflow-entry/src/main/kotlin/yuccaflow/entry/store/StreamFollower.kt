package yuccaflow.entry.store

import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import yuccaflow.base.TimerService
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events
import kotlin.random.Random

/** Receives the records of a stream in order. */
internal interface StreamListener {
    /** Replaces everything known by [records]. */
    fun onSnapshot(records: List<KeyedRecord>, endOffset: Long)

    /** Takes newer records. */
    fun onRecords(records: List<KeyedRecord>, endOffset: Long)
}

/**
 * How a stream is followed.
 *
 * @property waitMs the longest wait for a record in one call. Each call costs money, also one that brings nothing.
 * @property catchUpWaitMs the longest wait of the first read after a snapshot or after records. A read that arrives while an append is
 * being carried out may miss it until the wait is over, and appends often come in groups.
 * @property refreshPeriodMs least time between two waits that are ended by [StreamFollower.refresh].
 * @property batchDelayMs pause after records have arrived, which lets one call bring those that come next.
 */
internal data class FollowerSettings(
    val waitMs: Long = 25_000,
    val catchUpWaitMs: Long = 700,
    val batchDelayMs: Long = 50,
    val firstBackoffMs: Long = 150,
    val longestBackoffMs: Long = 1_000,
    val refreshPeriodMs: Long = 300,
)

/** Keeps a listener up to date with one stream: a snapshot first, then reads that wait for the next records. */
internal class StreamFollower(
    private val store: KeyedStore,
    private val stream: KeyedStream,
    private val timer: TimerService,
    private val events: EventLog,
    private val listener: StreamListener,
    private val settings: () -> FollowerSettings,
) {
    /** When the latest read that reached the end of the stream was started, or null. */
    var confirmedAtMs: Long? = null
        private set

    /** When the store was last found unreachable, or null. */
    var failedAtMs: Long? = null
        private set

    private var failures = 0
    private val refreshes = Channel<Unit>(Channel.CONFLATED)
    private var refreshedAtMs = Long.MIN_VALUE / 2

    /** Ends the present wait, because something shows that a record may have been missed. */
    fun refresh() {
        if (timer.nowMs() - refreshedAtMs < settings().refreshPeriodMs) return
        refreshedAtMs = timer.nowMs()
        refreshes.trySend(Unit)
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
                    answered(startedAtMs, isAtEnd = false)
                    events.log(Events.STREAM_SNAPSHOT) {
                        put("stream", stream.name)
                        put("records", result.records.size)
                        put("end_offset", result.endOffset)
                    }
                    listener.onSnapshot(result.records, result.endOffset)
                    return result.endOffset
                }
                is SnapshotResult.Failed -> failed(result.reason)
            }
        }
    }

    /** Returns when a snapshot is needed. */
    private suspend fun follow(from: Long) {
        var next = from
        var isSettled = false
        while (true) {
            val startedAtMs = timer.nowMs()
            val waitMs = if (isSettled) settings().waitMs else minOf(settings().waitMs, settings().catchUpWaitMs)
            when (val result = readOrRefresh(next, waitMs)) {
                is StreamReadResult.Read -> {
                    // An answer without records may name a later end: what lies between is still to be read.
                    next = result.records.lastOrNull()?.let { it.offset + 1 } ?: next
                    listener.onRecords(result.records, next)
                    answered(startedAtMs, isAtEnd = next >= result.endOffset)
                    isSettled = result.records.isEmpty()
                    if (!isSettled) timer.sleep(settings().batchDelayMs)
                }
                StreamReadResult.Expired -> {
                    events.log(Events.STREAM_EXPIRED) {
                        put("stream", stream.name)
                        put("offset", next)
                    }
                    return
                }
                is StreamReadResult.Failed -> failed(result.reason)
            }
        }
    }

    private suspend fun readOrRefresh(from: Long, waitMs: Long): StreamReadResult = coroutineScope {
        val call = async { store.read(stream, from, waitMs) }
        select {
            call.onAwait { it }
            refreshes.onReceive {
                call.cancel()
                store.read(stream, from, 0)
            }
        }
    }

    private fun answered(startedAtMs: Long, isAtEnd: Boolean) {
        if (isAtEnd) confirmedAtMs = startedAtMs
        if (failures == 0) return
        events.log(Events.STORE_REGAINED) {
            put("stream", stream.name)
            put("failures", failures)
        }
        failures = 0
    }

    private suspend fun failed(reason: String) {
        failedAtMs = timer.nowMs()
        if (failures++ == 0) {
            events.log(Events.STORE_LOST) {
                put("stream", stream.name)
                put("reason", reason)
            }
        }
        val doublings = (failures - 1).coerceAtMost(MAX_DOUBLINGS)
        val backoffMs = (settings().firstBackoffMs shl doublings).coerceAtMost(settings().longestBackoffMs)
        timer.sleep(backoffMs + Random.nextLong(backoffMs / 2 + 1))
    }

    private companion object {
        const val MAX_DOUBLINGS = 8
    }
}
