package yuccaflow.entry.store

/**
 * Timing of a [StreamFollower].
 *
 * @property waitMs the longest wait for records in one long-polling read. Each call costs money, even if it returns no records.
 * @property waitSpreadMs time by which [waitMs] is shortened at most, at random: routers that start together must not call together
 * later.
 * @property catchUpWaitMs the longest wait of the first read after a snapshot or after records. A read that arrives while an append is
 * being executed may miss the appended records until its wait ends, and appends often come in groups.
 * @property recheckAfterMs time after the start of a longer wait at which the stream is read again without a wait, because the wait misses
 * an append that was being executed when it began; null if a missed record may be read late.
 * @property batchDelayMs delay after records have arrived, so that one call can return several that follow.
 * @property initialBackoffMs delay after the first failed call. It doubles with each further failure up to [maxBackoffMs], plus jitter.
 * @property maxAgeMs the longest time for which neither a read nor another router may have confirmed that no records are missing, before
 * the stream is read without a wait, less up to a third at random; null if that does not matter.
 * @property minRefreshIntervalMs the shortest time between two reads that [StreamFollower.refresh] or another router's position causes, and
 * the pause after an answer without records that names a later end of the stream.
 */
internal data class FollowerSettings(
    val waitMs: Long = 25_000,
    val waitSpreadMs: Long = 0,
    val catchUpWaitMs: Long = 700,
    val recheckAfterMs: Long? = null,
    val maxAgeMs: Long? = null,
    val batchDelayMs: Long = 50,
    val initialBackoffMs: Long = 150,
    val maxBackoffMs: Long = 1_000,
    val minRefreshIntervalMs: Long = 300,
) {
    companion object {
        /** Longer than an append takes, also while the store is slow. */
        private const val RECHECK_AFTER_MS = 400L

        /** Leaves half a second of the two in which records take effect for the read, directly or through another router. */
        private const val MAX_AGE_MS = 1_500L
        private const val WAIT_SPREAD_MS = 5_000L

        /**
         * Settings for a stream whose records take effect within two seconds. The first wait after records is short also where waits are
         * rechecked, because a wait may miss an append that comes after its recheck.
         */
        fun prompt(
            batchDelayMs: Long,
        ) = FollowerSettings(
            batchDelayMs = batchDelayMs,
            recheckAfterMs = RECHECK_AFTER_MS,
            maxAgeMs = MAX_AGE_MS,
            waitSpreadMs = WAIT_SPREAD_MS,
        )
    }
}
