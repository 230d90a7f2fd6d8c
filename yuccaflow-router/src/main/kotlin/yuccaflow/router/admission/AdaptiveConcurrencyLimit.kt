package yuccaflow.router.admission

/**
 * Number of timely answers after which a target gets one more slot. Cold targets warm up within about 20 answers per slot, so a faster
 * increase would overload them.
 */
internal const val ANSWERS_PER_INCREASE: Int = 32

/** Upper bound of the answers needed for an increase, which double each time the target sheds a request. */
private const val MAX_ANSWERS_PER_INCREASE = 512

/**
 * Limits the requests that may run concurrently at a target, between 1 and [slots]. The limit rises with timely answers and is halved
 * when the target sheds a request. Not thread-safe.
 */
internal class AdaptiveConcurrencyLimit(
    private val slots: Int,
) {
    private var answers = 0
    private var answersPerIncrease = ANSWERS_PER_INCREASE

    /** Number of requests that may run at the same time. */
    var limit: Int = 1
        private set

    /** Records an answer that was not late for this target. */
    fun recordTimelyAnswer() {
        if (limit >= slots || ++answers < answersPerIncrease) return
        answers = 0
        limit++
        if (limit == slots) answersPerIncrease = ANSWERS_PER_INCREASE
    }

    /** Records that the target shed a request: halves the limit and doubles the answers needed before the next increase. */
    fun recordShed() {
        limit = (limit / 2).coerceAtLeast(1)
        answers = 0
        answersPerIncrease = (answersPerIncrease * 2).coerceAtMost(MAX_ANSWERS_PER_INCREASE)
    }

    /** Starts over with one slot because the target is cold. */
    fun reset() {
        limit = 1
        answers = 0
        answersPerIncrease = ANSWERS_PER_INCREASE
    }
}
