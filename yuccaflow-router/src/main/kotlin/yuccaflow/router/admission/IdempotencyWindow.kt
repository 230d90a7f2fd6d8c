package yuccaflow.router.admission

import com.google.common.hash.HashCode
import kotlinx.coroutines.CompletableDeferred
import yuccaflow.base.TimerService
import yuccaflow.control.ServiceName
import yuccaflow.router.peer.ForwardOutcome

/** Maximum number of remembered requests. */
internal const val MAX_IDEMPOTENCY_ENTRIES: Int = 10_000

/** How long a request is remembered after its outcome became known. */
internal const val IDEMPOTENCY_RETENTION_MS: Long = 600_000

/**
 * Maximum total size of the remembered response bodies. Above it the oldest bodies are evicted; their entries stay, so that a repeated
 * request still does not run again.
 */
private const val MAX_IDEMPOTENCY_BODY_BYTES = 16L * 1024 * 1024

/** Identifies a non-idempotent request by its `Idempotency-Key`, which is scoped to a service. */
internal data class IdempotencyKey(
    val service: ServiceName,
    val value: String,
)

/** Result of looking up a request in the [IdempotencyWindow]. */
internal sealed interface IdempotencyLookup {
    /** A new request: the caller of [IdempotencyWindow.begin] must run it and pass its outcome to [IdempotencyWindow.finish]. */
    class First(
        val entry: IdempotencyEntry,
    ) : IdempotencyLookup

    /** A repeat of a request that is running or has run, with the outcome of [entry]. */
    class Repeat(
        val entry: IdempotencyEntry,
    ) : IdempotencyLookup

    /** The key was already used for a different request. */
    data object KeyReused : IdempotencyLookup

    /** The window is full, and every request in it is still running. */
    data object WindowFull : IdempotencyLookup
}

/** A request remembered in the [IdempotencyWindow]. [fingerprint] is a hash of its method, request target and body. */
internal class IdempotencyEntry(
    val key: IdempotencyKey,
    val fingerprint: HashCode,
) {
    /** Completes when the outcome is set, whether the request has run, has not run, or its answer was lost. */
    val completed = CompletableDeferred<Unit>()

    /** The outcome; null while the request is running. */
    @Volatile
    var result: ForwardOutcome? = null

    var completedAtMs: Long = 0
}

/** Remembers non-idempotent requests, so that a repeated request with the same `Idempotency-Key` does not run again. Thread-safe. */
internal class IdempotencyWindow(
    private val timer: TimerService,
) {
    private val entries = LinkedHashMap<IdempotencyKey, IdempotencyEntry>()
    private var bodyBytes = 0L

    /** Looks up [key] and remembers it if it is new. [fingerprint] identifies the content of the request. */
    @Synchronized
    fun begin(key: IdempotencyKey, fingerprint: HashCode): IdempotencyLookup {
        evictExpired()
        entries[key]?.let { return if (it.fingerprint == fingerprint) IdempotencyLookup.Repeat(it) else IdempotencyLookup.KeyReused }
        if (entries.size >= MAX_IDEMPOTENCY_ENTRIES && !evictOldestCompleted()) return IdempotencyLookup.WindowFull
        return IdempotencyLookup.First(IdempotencyEntry(key, fingerprint).also { entries[key] = it })
    }

    /** Sets the outcome of [entry]. A request that has not run is forgotten, so that a repeat of it may run. */
    @Synchronized
    fun finish(entry: IdempotencyEntry, outcome: ForwardOutcome) {
        // Reinserts the entry at the end, which keeps the map in the order in which the outcomes became known.
        entries.remove(entry.key)
        if (outcome !is ForwardOutcome.NotRun) {
            entries[entry.key] = entry
            bodyBytes += bodySize(outcome)
        }
        entry.result = outcome
        entry.completedAtMs = timer.nowMs()
        evictBodies()
        entry.completed.complete(Unit)
    }

    private fun evictExpired() {
        val oldestMs = timer.nowMs() - IDEMPOTENCY_RETENTION_MS
        val expired = entries.values.takeWhile { it.result == null || it.completedAtMs < oldestMs }.filter { it.result != null }
        expired.forEach(::evict)
    }

    private fun evictOldestCompleted(): Boolean {
        val oldest = entries.values.firstOrNull { it.result != null } ?: return false
        evict(oldest)
        return true
    }

    private fun evict(entry: IdempotencyEntry) {
        entries.remove(entry.key)
        bodyBytes -= bodySize(entry.result)
    }

    private fun evictBodies() {
        if (bodyBytes <= MAX_IDEMPOTENCY_BODY_BYTES) return
        for (entry in entries.values) {
            if (bodyBytes <= MAX_IDEMPOTENCY_BODY_BYTES) return
            val size = bodySize(entry.result)
            if (size == 0L) continue
            bodyBytes -= size
            entry.result = ForwardOutcome.Unknown("the request ran before, and its answer is no longer kept")
        }
    }

    private fun bodySize(outcome: ForwardOutcome?): Long = (outcome as? ForwardOutcome.Answered)?.body?.size?.toLong() ?: 0
}
