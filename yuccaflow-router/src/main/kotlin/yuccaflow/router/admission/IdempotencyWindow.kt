package yuccaflow.router.admission

import com.google.common.hash.HashCode
import kotlinx.coroutines.CompletableDeferred
import yuccaflow.base.TimerService
import yuccaflow.control.ServiceName
import yuccaflow.router.peer.ForwardOutcome

/** IdempotencyLookup requests, as the design states. */
internal const val WINDOW_ENTRIES: Int = 10_000

/** How long an outcome is remembered after it became known. */
internal const val WINDOW_MS: Long = 600_000

/** Bodies kept of all remembered answers. Beyond it the oldest bodies go, but not the knowledge that the request ran. */
private const val WINDOW_BODY_BYTES = 16L * 1024 * 1024

/** Identity of a non-idempotent request: an `Idempotency-Key` within a service. */
internal data class IdempotencyKey(
    val service: ServiceName,
    val value: String,
)

/** What the window knows of a request. */
internal sealed interface IdempotencyLookup {
    /** Unknown so far: the caller of [IdempotencyWindow.begin] must run it and report to [IdempotencyWindow.finish]. */
    class First(
        val entry: IdempotencyEntry,
    ) : IdempotencyLookup

    /** It is running or has run; its outcome is or will be that of [entry]. */
    class Repeat(
        val entry: IdempotencyEntry,
    ) : IdempotencyLookup

    /** The key was used before for another request. */
    data object Misused : IdempotencyLookup

    /** Every remembered request is still running. */
    data object Full : IdempotencyLookup
}

/** A remembered request. */
internal class IdempotencyEntry(
    val key: IdempotencyKey,
    val fingerprint: HashCode,
) {
    /** Completed when the request has run, has not run, or its outcome is lost. */
    val outcome = CompletableDeferred<Unit>()

    /** The outcome; null while the request runs. */
    @Volatile
    var known: ForwardOutcome? = null

    var knownSinceMs: Long = 0
}

/** Remembers non-idempotent requests, so that a repeat with the same `Idempotency-Key` does not run again. */
internal class IdempotencyWindow(
    private val timer: TimerService,
) {
    private val entries = LinkedHashMap<IdempotencyKey, IdempotencyEntry>()
    private var bodyBytes = 0L

    /** Looks up [key], and remembers it when it is new. [fingerprint] identifies the content of the request. */
    @Synchronized
    fun begin(key: IdempotencyKey, fingerprint: HashCode): IdempotencyLookup {
        evictExpired()
        entries[key]?.let { return if (it.fingerprint == fingerprint) IdempotencyLookup.Repeat(it) else IdempotencyLookup.Misused }
        if (entries.size >= WINDOW_ENTRIES && !evictOldestKnown()) return IdempotencyLookup.Full
        return IdempotencyLookup.First(IdempotencyEntry(key, fingerprint).also { entries[key] = it })
    }

    /** Sets the outcome of [entry]. A request that did not run is forgotten, so that a repeat may run. */
    @Synchronized
    fun finish(entry: IdempotencyEntry, outcome: ForwardOutcome) {
        // Moves the entry to the end: the map is in the order in which outcomes became known.
        entries.remove(entry.key)
        if (outcome !is ForwardOutcome.NotRun) {
            entries[entry.key] = entry
            bodyBytes += bodySize(outcome)
        }
        entry.known = outcome
        entry.knownSinceMs = timer.nowMs()
        dropBodies()
        entry.outcome.complete(Unit)
    }

    private fun evictExpired() {
        val oldestMs = timer.nowMs() - WINDOW_MS
        val expired = entries.values.takeWhile { it.known == null || it.knownSinceMs < oldestMs }.filter { it.known != null }
        expired.forEach(::evict)
    }

    private fun evictOldestKnown(): Boolean {
        val oldest = entries.values.firstOrNull { it.known != null } ?: return false
        evict(oldest)
        return true
    }

    private fun evict(entry: IdempotencyEntry) {
        entries.remove(entry.key)
        bodyBytes -= bodySize(entry.known)
    }

    private fun dropBodies() {
        if (bodyBytes <= WINDOW_BODY_BYTES) return
        for (entry in entries.values) {
            if (bodyBytes <= WINDOW_BODY_BYTES) return
            val size = bodySize(entry.known)
            if (size == 0L) continue
            bodyBytes -= size
            entry.known = ForwardOutcome.Unknown("the request ran before, and its answer is no longer kept")
        }
    }

    private fun bodySize(outcome: ForwardOutcome?): Long = (outcome as? ForwardOutcome.Answered)?.body?.size?.toLong() ?: 0
}
