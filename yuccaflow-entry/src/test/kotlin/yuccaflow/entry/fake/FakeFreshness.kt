package yuccaflow.entry.fake

import yuccaflow.base.TimerService
import yuccaflow.entry.store.StreamFreshness

/** A view that is as recent as the test says: always, unless [freshAtMs] is set. [onWait] runs instead of a wait for a read. */
internal class FakeFreshness(
    private val timer: TimerService,
) : StreamFreshness {
    override var freshAtMs: Long? = null
    var onWait: () -> Unit = { }

    override fun isFresh(maxAgeMs: Long) = freshAtMs?.let { timer.nowMs() - it <= maxAgeMs } ?: true

    /** Whether later records are known to exist. */
    var isMissingRecords = false

    override fun isOutdated(maxAgeMs: Long) = isMissingRecords && !isFresh(maxAgeMs)

    override suspend fun awaitFresh(maxAgeMs: Long, timeoutMs: Long) {
        if (!isFresh(maxAgeMs)) onWait()
    }
}
