package yuccaflow.entry.store

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import yuccaflow.base.SuspensionDetector
import yuccaflow.base.TimerService
import yuccaflow.entry.telemetry.EventLog
import yuccaflow.entry.telemetry.Events
import kotlin.random.Random

/**
 * Passes the records of one stream to a listener: first a snapshot, then the following records as long-polling reads return them.
 *
 * A long-polling read is no proof that there are no new records: the store may leave it waiting although a record was appended, and a
 * silent connection looks the same. So what this follower knows has an age, the time since all records were last known to be passed on.
 * Own reads and the confirmations of other routers ([learnPosition]) renew it, and a follower whose knowledge is too old reads without a
 * wait.
 */
internal class StreamFollower(
    private val store: KeyedStore,
    val stream: KeyedStream,
    private val timer: TimerService,
    private val events: EventLog,
    private val listener: StreamListener,
    private val random: Random = Random,
    private val storeEra: StoreEra = StoreEra(events),
    private val settings: () -> FollowerSettings,
) : StreamFreshness {
    /** The era of the store in which the stream was read up to [nextOffset]. */
    var era = 0L
        private set

    /** When the last read that reached the end of the stream was started, or null if there was none. */
    var confirmedAtMs: Long? = null
        private set

    /** When a call to the store last failed, or null if none has. */
    var failedAtMs: Long? = null
        private set

    /** The offset of the next record, or null before the first snapshot. */
    var nextOffset: Long? = null
        private set

    private val suspensions = SuspensionDetector(timer::nowMs, timer::timeOfDayMs)
    private var latestFreshAtMs: Long? = null

    /** Counts the changes of what [isFresh] relies on. */
    private val freshnessChanges = MutableStateFlow(0L)

    override val freshAtMs: Long? get() = latestFreshAtMs?.takeIf { it >= suspensions.uninterruptedSinceMs() }

    /** The end of the stream that another router has reported and this follower has not reached, or null. */
    private var reportedEnd: ReportedEnd? = null

    /** When the store last showed, to this router or to another one, that there are records which this follower has not passed on. */
    private var latestMissingAtMs: Long? = null

    /** The age that a wait for a recent view has asked for in vain, or null if the view has been that recent since. */
    private var unmetMaxAgeMs: Long? = null

    private var consecutiveFailures = 0
    private val refreshRequests = Channel<ReadReason>(Channel.CONFLATED)
    private var refreshedAtMs = Long.MIN_VALUE / 2

    /**
     * Reads without a wait, at most once in [FollowerSettings.minRefreshIntervalMs]. To be called if there is evidence that a record was
     * missed.
     */
    fun refresh() = requestRead(ReadReason.EVIDENCE)

    /**
     * Records that another router has passed on the records before [endOffset], and that these were all records at [confirmedAtMs], or at
     * an unknown time if that is null. Requests a read as [refresh] does if this follower has fewer records. A position of another [era]
     * is not compared.
     */
    fun learnPosition(endOffset: Long, confirmedAtMs: Long?, era: Long = 0) {
        storeEra.learn(era, EraSource.ROUTER, stream)
        val next = nextOffset?.takeIf { era == this.era } ?: return
        if (endOffset > next) {
            reportedEnd = ReportedEnd(endOffset, timer.nowMs())
            confirmedAtMs?.let(::recordMissing)
            return requestRead(ReadReason.OTHER_ROUTER)
        }
        if (confirmedAtMs != null) recordFresh(confirmedAtMs)
    }

    override fun isFresh(maxAgeMs: Long): Boolean {
        val freshAtMs = freshAtMs ?: return false
        return reportedEnd == null && timer.nowMs() - freshAtMs <= maxAgeMs
    }

    override fun isOutdated(maxAgeMs: Long): Boolean {
        val earliestMs = maxOf(timer.nowMs() - maxAgeMs, suspensions.uninterruptedSinceMs())
        val isComplete = latestFreshAtMs?.let { it >= earliestMs } ?: false
        return !isComplete && latestMissingAtMs?.let { it >= earliestMs } ?: false
    }

    override suspend fun awaitFresh(maxAgeMs: Long, timeoutMs: Long) {
        if (isFresh(maxAgeMs) || !isReadExpectedSoon()) return
        refresh()
        withTimeoutOrNull(timeoutMs) { freshnessChanges.first { isFresh(maxAgeMs) } }
        unmetMaxAgeMs = maxAgeMs.takeUnless(::isFresh)
    }

    /** Follows the stream until cancelled. */
    suspend fun run() {
        while (true) {
            takeSnapshot()
            follow()
        }
    }

    private suspend fun takeSnapshot() {
        while (true) {
            val startedAtMs = timer.nowMs()
            when (val result = store.snapshot(stream) { if (nextOffset != null) recordMissing(timer.nowMs()) }) {
                is SnapshotResult.Snapshot -> {
                    onAnswered()
                    storeEra.learn(result.era, EraSource.STORE, stream)
                    if (result.era > era) beginEra(result.era)
                    events.log(Events.STREAM_SNAPSHOT) {
                        put("stream", stream.name)
                        put("records", result.records.size)
                        put("end_offset", result.endOffset)
                        if (era > 0) put("era", era)
                    }
                    listener.onSnapshot(result.records, result.endOffset, freshAtMs)
                    nextOffset = result.endOffset
                    recordFresh(startedAtMs)
                    return
                }
                is SnapshotResult.Failed -> onFailed(result.reason)
            }
        }
    }

    private fun beginEra(newEra: Long) {
        era = newEra
        // Both were reported by offsets of the former era.
        reportedEnd = null
        latestMissingAtMs = null
        listener.onNewEra(newEra)
    }

    /**
     * Reads the following records. Returns when the store does not have the next ones, when a new snapshot is less to read, or when there
     * is a newer era.
     */
    private suspend fun follow() {
        var isCaughtUp = false
        while (storeEra.current <= era) {
            val next = checkNotNull(nextOffset) { "expected a snapshot before the records that follow it" }
            val waitMs = if (isCaughtUp) drawWaitMs() else minOf(settings().waitMs, settings().catchUpWaitMs)
            val (result, startedAtMs) = readNext(next, waitMs) ?: return
            when (result) {
                is StreamReadResult.Read -> {
                    if (result.era != era) return
                    onRead(result, next, startedAtMs)
                    if (hasLargeBacklog(result)) return logBacklog(result)
                    isCaughtUp = result.records.isEmpty()
                    val showsNoRecords = isCaughtUp && result.endOffset > next
                    if (showsNoRecords) timer.sleep(settings().minRefreshIntervalMs)
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

    /** Whether the records after those of [result] are probably large and replace each other, so that the newest ones are less to read. */
    private fun hasLargeBacklog(result: StreamReadResult.Read): Boolean {
        val last = result.records.lastOrNull() ?: return false
        val bytes = result.records.sumOf { it.value?.size ?: 0 }
        return result.endOffset - last.offset > 2 && bytes >= LARGE_ANSWER_BYTES
    }

    private fun logBacklog(result: StreamReadResult.Read) = events.log(Events.STREAM_BACKLOG) {
        put("stream", stream.name)
        put("offset", nextOffset)
        put("end_offset", result.endOffset)
    }

    private fun onRead(result: StreamReadResult.Read, from: Long, startedAtMs: Long) {
        // An answer without records may report a later end of the stream. The records before that end are yet to be read.
        val next = result.records.lastOrNull()?.let { it.offset + 1 } ?: from
        listener.onRecords(result.records, next, freshAtMs)
        nextOffset = next
        reportedEnd = reportedEnd?.takeIf { it.offset > next }
        onAnswered()
        if (next >= result.endOffset) recordConfirmed(startedAtMs) else recordMissing(timer.nowMs())
    }

    /**
     * Waits up to [waitMs] for the records from [from] on, and reads them without a wait where there is a reason to. The first of the two
     * whose answer shows records ends the other one, because both answers would take the same link. Returns null if a newer era of the
     * store becomes known.
     */
    private suspend fun readNext(from: Long, waitMs: Long): TimedRead? = coroutineScope {
        val waitHasRecords = CompletableDeferred<Unit>()
        val missedHasRecords = CompletableDeferred<Unit>()
        val wait = async { read(from, waitMs) { waitHasRecords.complete(Unit) } }
        val missed = async { readMissed(from, waitMs) { missedHasRecords.complete(Unit) } }
        val newerEra = async { storeEra.awaitNewerThan(era) }
        select<TimedRead?> {
            newerEra.onAwait { null }
            wait.onAwait { it }
            missed.onAwait { it }
            waitHasRecords.onAwait {
                missed.cancel()
                wait.await()
            }
            missedHasRecords.onAwait {
                wait.cancel()
                missed.await()
            }
        }.also {
            wait.cancel()
            missed.cancel()
            newerEra.cancel()
        }
    }

    /** Reads the records from [from] on. [onRecordsArriving] is called when an answer that has some begins to arrive. */
    private suspend fun read(from: Long, waitMs: Long, onRecordsArriving: () -> Unit): TimedRead {
        val startedAtMs = timer.nowMs()
        val result = store.read(stream, from, waitMs) { endOffset ->
            if (endOffset > from) {
                recordMissing(timer.nowMs())
                onRecordsArriving()
            }
        }
        return TimedRead(result, startedAtMs)
    }

    /** Returns what the wait of [waitMs] from [from] on that has just begun has missed. Does not return while it has missed nothing. */
    private suspend fun readMissed(from: Long, waitMs: Long, onRecordsArriving: () -> Unit): TimedRead {
        val waitStartedAtMs = timer.nowMs()
        var maxAgeMs = drawMaxAgeMs()
        var recheckAtMs = settings().recheckAfterMs?.takeIf { it < waitMs }?.let { waitStartedAtMs + it }
        while (true) {
            val reason = awaitReasonToRead(waitStartedAtMs, recheckAtMs, maxAgeMs)
            if (reason == ReadReason.AGE) maxAgeMs = drawMaxAgeMs()
            if (reason == ReadReason.RECHECK) recheckAtMs = null
            val read = read(from, waitMs = 0, onRecordsArriving)
            val result = read.result
            if (result !is StreamReadResult.Read || result.era != era) return read
            if (result.records.isNotEmpty()) {
                logMissed(reason, waitStartedAtMs)
                return read
            }
            if (result.endOffset > from) return read
            recordConfirmed(read.startedAtMs)
        }
    }

    private fun isReadExpectedSoon(): Boolean = nextOffset != null && consecutiveFailures == 0 && unmetMaxAgeMs == null

    private fun drawWaitMs(): Long = settings().let { maxOf(it.catchUpWaitMs, it.waitMs - random.nextLong(it.waitSpreadMs + 1)) }

    private fun drawMaxAgeMs(): Long? = settings().maxAgeMs?.let { it - random.nextLong(it / AGE_SPREAD_DIVISOR + 1) }

    private suspend fun awaitReasonToRead(waitStartedAtMs: Long, recheckAtMs: Long?, maxAgeMs: Long?): ReadReason {
        while (true) {
            val nowMs = timer.nowMs()
            val tooOldAtMs = maxAgeMs?.let { (freshAtMs ?: waitStartedAtMs) + it }
            if (recheckAtMs != null && recheckAtMs <= nowMs) return ReadReason.RECHECK
            if (tooOldAtMs != null && tooOldAtMs <= nowMs) return ReadReason.AGE
            val dueAtMs = listOfNotNull(recheckAtMs, tooOldAtMs).minOrNull() ?: return refreshRequests.receive()
            withTimeoutOrNull(dueAtMs - nowMs) { refreshRequests.receive() }?.let { return it }
        }
    }

    private fun requestRead(reason: ReadReason) {
        if (timer.nowMs() - refreshedAtMs < settings().minRefreshIntervalMs) return
        refreshedAtMs = timer.nowMs()
        refreshRequests.trySend(reason)
    }

    private fun recordConfirmed(startedAtMs: Long) {
        confirmedAtMs = maxOf(confirmedAtMs ?: startedAtMs, startedAtMs)
        // A read that reached the end proves an earlier report of a later end wrong.
        reportedEnd = reportedEnd?.takeIf { it.reportedAtMs > startedAtMs }
        recordFresh(startedAtMs)
    }

    private fun recordMissing(atMs: Long) {
        latestMissingAtMs = maxOf(latestMissingAtMs ?: atMs, atMs)
    }

    private fun recordFresh(atMs: Long) {
        latestFreshAtMs = maxOf(latestFreshAtMs ?: atMs, atMs)
        unmetMaxAgeMs = unmetMaxAgeMs?.takeUnless(::isFresh)
        freshnessChanges.value++
    }

    private fun logMissed(reason: ReadReason, waitStartedAtMs: Long) = events.log(Events.STREAM_WAIT_MISSED) {
        put("stream", stream.name)
        put("found_by", reason.name.lowercase())
        put("waited_ms", timer.nowMs() - waitStartedAtMs)
    }

    private fun onAnswered() {
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
        timer.sleep(backoffMs + random.nextLong(backoffMs / 2 + 1))
    }

    /** Why a follower reads without a wait while a long-polling read is under way. */
    private enum class ReadReason { RECHECK, AGE, OTHER_ROUTER, EVIDENCE }

    private class ReportedEnd(
        val offset: Long,
        val reportedAtMs: Long,
    )

    private data class TimedRead(
        val result: StreamReadResult,
        val startedAtMs: Long,
    )

    private companion object {
        const val MAX_DOUBLINGS = 8

        /** Size of an answer from which on the link may not carry one for each record. */
        const val LARGE_ANSWER_BYTES = 131_072

        /** Part of the longest age by which it varies: routers that know of the same read must not read at the same time. */
        const val AGE_SPREAD_DIVISOR = 3
    }
}
